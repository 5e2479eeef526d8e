#include "policy/borrowing.h"

namespace cuminslip {

auto
ShouldBorrow(const PromptWork& aPrompt,
             const LaneChoice& aOwn,
             const BorrowRules& aRules) -> bool
{
  const auto target = static_cast<double>(aPrompt.mAnswerTarget.count());
  const auto waited = static_cast<double>(aPrompt.mWaited.count());
  if (aOwn.mReason == LaneReason::Wait) {
    return waited >= target * aRules.mOwnShare;
  }
  return !aOwn.mEngine || waited + aOwn.mFirstEventMillis > target;
}

auto
IsBetterBorrowed(const LaneChoice& aOwn,
                 const LaneChoice& aOther,
                 const BorrowRules& aRules) -> bool
{
  if (!aOther.mEngine) {
    return false;
  }
  const auto gain = static_cast<double>(aRules.mMinGain.count());
  return !aOwn.mEngine ||
         aOther.mFirstEventMillis + gain < aOwn.mFirstEventMillis;
}

} // namespace cuminslip
