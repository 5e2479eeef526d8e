#pragma once

#include "base/clock.h"

#include <cstddef>
#include <deque>

/// One instance's part of the retry budget of a service. All instances share
/// the budget without coordination: each may use a fraction of its own requests
/// and an equal part of the common slack. The functions change only the given
/// SendRetryBudget and do no I/O; they are not thread safe.
namespace cuminslip {

struct RetryBudgetRules
{
  /// Retries allowed per request, in any window, over all instances.
  double mRatio = 0.2;
  /// Additional retries allowed in any window, over all instances.
  double mSlack = 0;
  Millis mWindow{ 10000 };
  /// Fraction of the ratio and the slack that is used. The rest is a margin for
  /// windows that begin between those that the instances check, and for
  /// instances that join or leave.
  double mUsedShare = 0.7;

  auto operator==(const RetryBudgetRules&) const -> bool = default;
};

/// Times of the requests and retries of one instance, oldest first. The aNow of
/// a call must not be earlier than that of the call before.
struct SendRetryBudget
{
  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRepeats;
};

/// Records a request of this instance.
auto
NoteRequest(SendRetryBudget& aBudget,
            const RetryBudgetRules& aRules,
            TimePoint aNow) -> void;

/// Returns true if this instance may retry a request now. aInstances is the
/// number of instances that share the slack, at least 1.
auto
MayRetrySend(SendRetryBudget& aBudget,
             const RetryBudgetRules& aRules,
             std::size_t aInstances,
             TimePoint aNow) -> bool;

/// Records a retry. Precondition: MayRetrySend returned true.
auto
Draw(SendRetryBudget& aBudget, TimePoint aNow) -> void;

} // namespace cuminslip
