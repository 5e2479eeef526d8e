#include "policy/stopping.h"

namespace cuminslip {

auto
MayServeWhileStopping(const StoppingWork& aWork, const StopRules& aRules)
  -> bool
{
  if (aWork.mAllowance <= aWork.mUntilClosed) {
    return true;
  }
  return aWork.mArrivedAfter < aRules.mTrafficTime &&
         aWork.mAnswerMillis <= static_cast<double>(aWork.mUntilClosed.count());
}

} // namespace cuminslip
