#pragma once

#include "base/clock.h"
#include "templates/types/template.h"

/// Token bucket that limits the token rate of a client account.
namespace cuminslip {

/// The level may become negative, so that a request larger than the burst is
/// still admitted; the account then waits until the level is positive again.
struct TokenBucket
{
  double mLevel = 0;
  TimePoint mUpdated;
  bool mIsStarted = false;

  auto operator==(const TokenBucket&) const -> bool = default;
};

/// Adds the tokens earned until aNow; a new bucket starts full. Not thread
/// safe.
auto
RefillBucket(TokenBucket& aBucket, const AccountLimits& aLimits, TimePoint aNow)
  -> void;

/// Takes aTokens and returns true if the level is above zero; otherwise returns
/// false. Not thread safe.
auto
TakeTokens(TokenBucket& aBucket,
           const AccountLimits& aLimits,
           double aTokens,
           TimePoint aNow) -> bool;

/// Takes the tokens that other instances admitted for the account since their
/// last report. A negative aTokens returns the tokens of a request that did not
/// run, up to the burst. Not thread safe.
auto
ChargeTokens(TokenBucket& aBucket,
             const AccountLimits& aLimits,
             double aTokens,
             TimePoint aNow) -> void;

/// Returns the time until the level is above zero: 0 if it is already, 1 hour
/// if the account earns no tokens. Precondition: RefillBucket was called.
/// Thread safe.
auto
TimeUntilTokens(const TokenBucket& aBucket, const AccountLimits& aLimits)
  -> Millis;

} // namespace cuminslip
