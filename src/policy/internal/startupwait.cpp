#include "policy/startupwait.h"

#include <algorithm>

namespace cuminslip {

auto
DecideStartup(Millis aAge,
              std::optional<Millis> aAllowance,
              const StartupRules& aRules) -> StartupDecision
{
  const auto left = std::max(aRules.mUsualTime - aAge, Millis(0));
  const auto most =
    aAllowance ? std::min(aRules.mMaxWait, *aAllowance / 2) : aRules.mMaxWait;
  if (left >= most) {
    return { Millis(0), std::max(left, aRules.mOverdueRetry) };
  }
  return { most, aRules.mOverdueRetry };
}

} // namespace cuminslip
