#include "policy/runverdict.h"

namespace cuminslip {

auto
ClassifyOutcome(SendOutcome aOutcome) -> RunVerdict
{
  switch (aOutcome) {
    case SendOutcome::NotConnected:
    case SendOutcome::RefusedNotRun:
      return RunVerdict::NotRun;
    case SendOutcome::Answered:
      return RunVerdict::Ran;
    case SendOutcome::Unanswered:
    case SendOutcome::NotAnAnswer:
      break;
  }
  return RunVerdict::MayHaveRun;
}

auto
MayRetryRequest(const RetryFacts& aFacts) -> bool
{
  const auto isHarmless =
    aFacts.mRule == RetryRule::Always ||
    ClassifyOutcome(aFacts.mOutcome) == RunVerdict::NotRun;
  return isHarmless && aFacts.mSends < aFacts.mMaxSends && aFacts.mHasTime &&
         aFacts.mHasBudget;
}

} // namespace cuminslip
