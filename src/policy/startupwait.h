#pragma once

#include "base/clock.h"

#include <optional>

/// Decides what a request does that arrives before the instance has a routing
/// document. Answers the load after a loss of power: all instances start
/// together, callers leave when they get no answer for about two seconds, and
/// where a control instance is missing the others wait for the longest lease of
/// an earlier leader. Pure functions; thread safe.
namespace cuminslip {

struct StartupRules
{
  /// Usual time from the start of all instances to the first routing document.
  Millis mUsualTime{ 800 };
  /// Longest wait. A request that would wait for longer is refused at once.
  Millis mMaxWait{ 1000 };
  /// Retry-After time when the document is overdue.
  Millis mOverdueRetry{ 500 };

  auto operator==(const StartupRules&) const -> bool = default;
};

struct StartupDecision
{
  /// How long the request waits for the document; zero if it is refused now.
  Millis mWait{ 0 };
  /// Retry-After time of the refusal, now or at the end of the wait.
  Millis mRetryAfter{ 0 };

  auto operator==(const StartupDecision&) const -> bool = default;
};

/// aAge is the time since the start of the instance, aAllowance that of the
/// caller, if stated.
auto
DecideStartup(Millis aAge,
              std::optional<Millis> aAllowance,
              const StartupRules& aRules) -> StartupDecision;

} // namespace cuminslip
