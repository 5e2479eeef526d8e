#pragma once

#include "endpoints/holdings.h"
#include "endpoints/membership.h"
#include "endpoints/registry.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

/// Finds holdings whose owner no longer exists. Does no I/O. Not thread safe.
namespace cuminslip::endpoints {

/// Age at which an endpoint's holdings are requested again: normally, and
/// shortly after an instance went silent, stopped or restarted.
inline constexpr auto kInspectionAge = Millis(30000);
inline constexpr auto kUrgentInspectionAge = Millis(2000);

/// Returns whether this instance uses a holding.
using IsHeldFunction = std::function<bool(const HoldingId&)>;

/// State kept between sweeps.
struct OrphanSweep
{
  /// Time for which a holding must look like an orphan before it is freed. Not
  /// applied if its owner has certainly ended.
  Millis mExpiryMargin{ 2000 };
  /// Interval between attempts to free the same holding.
  Millis mRetryDelay{ 1000 };
  struct Suspect
  {
    TimePoint mFirstSeen;
    TimePoint mNextTry;
  };
  std::map<std::pair<EndpointId, HoldingId>, Suspect> mSuspects;
};

/// The instance of aAlive that sweeps aEndpoint, chosen by rendezvous hashing.
/// Precondition: aAlive is not empty.
auto
SweeperOf(const std::vector<InstanceRecord>& aAlive,
          const EndpointId& aEndpoint) -> InstanceId;

/// Model engines that this instance sweeps and whose holdings were reported at
/// least aMaxAge ago, or never. Their state should be requested.
auto
EndpointsToInspect(const Membership& aMembership,
                   const Registry& aRegistry,
                   Millis aMaxAge,
                   TimePoint aNow) -> std::vector<EndpointId>;

/// Compares the holdings reported by the endpoints that this instance sweeps
/// with the state of their owners. Releases holdings
/// - of an incarnation that has certainly ended,
/// - of this instance that it does not use,
/// - of a silent or unknown owner whose lease has expired.
/// An owner that is only unreachable from here keeps renewing its leases, so
/// they don't expire.
auto
SweepOrphans(OrphanSweep& aSweep,
             const Membership& aMembership,
             const Registry& aRegistry,
             const IsHeldFunction& aIsHeld,
             TimePoint aNow) -> std::vector<ReleaseAction>;

} // namespace cuminslip::endpoints
