#pragma once

#include "base/clock.h"

#include <cstddef>
#include <deque>

/// One instance's share of the budget for repeated sends to a service, which
/// all instances draw on without asking each other: a share of its own
/// requests, and an equal part of the common slack. Pure; not thread safe.
namespace cuminslip {

struct RetryBudgetRules
{
  /// Repeats allowed for each request, in any window, over all instances.
  double mRatio = 0.2;
  /// Repeats allowed besides, over all instances.
  double mSlack = 0;
  Millis mWindow{ 10000 };
  /// Part of the ratio and of the slack that is given out; the rest covers
  /// windows that begin in between, and instances that come and go.
  double mUsedShare = 0.7;

  auto operator==(const RetryBudgetRules&) const -> bool = default;
};

struct RepeatBudget
{
  std::deque<TimePoint> mRequests;
  std::deque<TimePoint> mRepeats;
};

/// Notes a request of this instance.
auto
NoteRequest(RepeatBudget& aBudget,
            const RetryBudgetRules& aRules,
            TimePoint aNow) -> void;

/// True when this instance may repeat a send now. aInstances is the number of
/// instances that share the slack, at least 1.
auto
MayRetrySend(RepeatBudget& aBudget,
             const RetryBudgetRules& aRules,
             std::size_t aInstances,
             TimePoint aNow) -> bool;

/// Notes a repeat. Precondition: MayRetrySend.
auto
Draw(RepeatBudget& aBudget, TimePoint aNow) -> void;

} // namespace cuminslip
