#pragma once

#include "base/clock.h"
#include "policy/requestlimits.h"

#include <cstddef>

/// Keeps all instances together within the requests per second that an endpoint
/// can take while it is cold, for some seconds after its start. Addresses the
/// load pattern in which all endpoints of a failure domain come back at once
/// and every instance sends to the idle ones first. A few instances hold equal
/// shares of the rate, as for request limits (policy/requestlimits.h); the
/// others send a cold endpoint nothing. Pure functions; thread safe.
namespace cuminslip {

/// What an operator allows for one cold endpoint: in any one second at most
/// mRate x mOvershoot + mSlack requests. All values are finite and not
/// negative.
struct WarmUpBound
{
  /// Requests per second; 0 for no bound.
  double mRate = 0;
  double mOvershoot = 1;
  double mSlack = 0;

  auto operator==(const WarmUpBound&) const -> bool = default;
};

/// Returns the requests that a cold endpoint may get in any one second.
auto
AllowedPerSecond(const WarmUpBound& aBound) -> double;

/// How the holders of a cold endpoint share what it accepts.
struct WarmUpShares
{
  /// Requests per second of all holders together, at most that of the bound; 0
  /// if the bound leaves no room for a request.
  double mRate = 0;
  std::size_t mHolders = 0;

  auto operator==(const WarmUpShares&) const -> bool = default;
};

/// Returns the shares with the most holders, but not more than one for each
/// request per second. Each holder may send one saved request and what it saves
/// up in LimitRules::mBurstTime besides its rate, and one more holder may begin
/// while the former one uses up what it saved, so that in one second no more
/// requests fall than the bound allows.
auto
ShareWarmUp(const WarmUpBound& aBound, const LimitRules& aRules)
  -> WarmUpShares;

} // namespace cuminslip
