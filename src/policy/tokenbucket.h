#pragma once

#include "base/clock.h"
#include "templates/types/template.h"

/// Limits a client account by tokens.
namespace cuminslip {

/// The bucket may go below zero, so that one request larger than the burst is
/// still admitted; its account then waits until the debt is paid.
struct TokenBucket
{
  double mLevel = 0;
  TimePoint mUpdated;
  bool mIsStarted = false;

  auto operator==(const TokenBucket&) const -> bool = default;
};

/// Fills the bucket up to aNow; a new one starts full. Not thread safe.
auto
RefillBucket(TokenBucket& aBucket, const AccountLimits& aLimits, TimePoint aNow)
  -> void;

/// Takes aTokens when the level is above zero; false otherwise. Not thread
/// safe.
auto
TakeTokens(TokenBucket& aBucket,
           const AccountLimits& aLimits,
           double aTokens,
           TimePoint aNow) -> bool;

/// Takes what other instances admitted for the account since their last
/// report, or returns tokens of a request that did not run (negative).
auto
ChargeTokens(TokenBucket& aBucket,
             const AccountLimits& aLimits,
             double aTokens,
             TimePoint aNow) -> void;

/// Time until the level is above zero; 0 when it is. Precondition: refilled.
/// Thread safe.
auto
TimeUntilTokens(const TokenBucket& aBucket, const AccountLimits& aLimits)
  -> Millis;

} // namespace cuminslip
