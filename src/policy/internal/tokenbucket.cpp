#include "policy/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace cuminslip {

namespace {

constexpr Millis kNeverFilled{ 3600000 };
constexpr double kMillisPerSecond = 1000;

} // namespace

auto
RefillBucket(TokenBucket& aBucket, const AccountLimits& aLimits, TimePoint aNow)
  -> void
{
  if (!aBucket.mIsStarted) {
    aBucket = { aLimits.mBurstTokens, aNow, true };
    return;
  }
  const auto passed =
    std::chrono::duration<double>(aNow - aBucket.mUpdated).count();
  if (passed <= 0) {
    return;
  }
  aBucket.mLevel = std::min(aLimits.mBurstTokens,
                            aBucket.mLevel + passed * aLimits.mTokensPerSecond);
  aBucket.mUpdated = aNow;
}

auto
TakeTokens(TokenBucket& aBucket,
           const AccountLimits& aLimits,
           double aTokens,
           TimePoint aNow) -> bool
{
  RefillBucket(aBucket, aLimits, aNow);
  if (aBucket.mLevel <= 0) {
    return false;
  }
  aBucket.mLevel -= aTokens;
  return true;
}

auto
ChargeTokens(TokenBucket& aBucket,
             const AccountLimits& aLimits,
             double aTokens,
             TimePoint aNow) -> void
{
  RefillBucket(aBucket, aLimits, aNow);
  aBucket.mLevel = std::min(aLimits.mBurstTokens, aBucket.mLevel - aTokens);
}

auto
TimeUntilTokens(const TokenBucket& aBucket, const AccountLimits& aLimits)
  -> Millis
{
  if (aBucket.mLevel > 0) {
    return Millis(0);
  }
  if (aLimits.mTokensPerSecond <= 0) {
    return kNeverFilled;
  }
  const auto millis =
    -aBucket.mLevel / aLimits.mTokensPerSecond * kMillisPerSecond;
  return Millis(static_cast<std::int64_t>(std::floor(millis)) + 1);
}

} // namespace cuminslip
