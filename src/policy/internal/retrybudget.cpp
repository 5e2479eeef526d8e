#include "policy/retrybudget.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
DropOld(std::deque<TimePoint>& aTimes, Millis aWindow, TimePoint aNow) -> void
{
  while (!aTimes.empty() && aTimes.front() + aWindow <= aNow) {
    aTimes.pop_front();
  }
}

} // namespace

auto
NoteRequest(SendRetryBudget& aBudget,
            const RetryBudgetRules& aRules,
            TimePoint aNow) -> void
{
  DropOld(aBudget.mRequests, aRules.mWindow, aNow);
  aBudget.mRequests.push_back(aNow);
}

auto
MayRetrySend(SendRetryBudget& aBudget,
             const RetryBudgetRules& aRules,
             std::size_t aInstances,
             TimePoint aNow) -> bool
{
  DropOld(aBudget.mRequests, aRules.mWindow, aNow);
  DropOld(aBudget.mRepeats, aRules.mWindow, aNow);
  const auto share =
    aRules.mSlack / static_cast<double>(std::max<std::size_t>(aInstances, 1));
  const auto allowed =
    aRules.mUsedShare *
    (aRules.mRatio * static_cast<double>(aBudget.mRequests.size()) + share);
  return static_cast<double>(aBudget.mRepeats.size() + 1) <= allowed;
}

auto
Draw(SendRetryBudget& aBudget, TimePoint aNow) -> void
{
  aBudget.mRepeats.push_back(aNow);
}

} // namespace cuminslip
