#pragma once

#include "endpoints/holdings.h"
#include "endpoints/membership.h"
#include "endpoints/registry.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

/// Frees memory whose owner is no more. Controllers without I/O; not thread
/// safe.
namespace cuminslip::endpoints {

/// Age at which an endpoint's holdings are asked for again, at rest and while
/// an instance has lately gone silent, stopped or restarted.
inline constexpr auto kInspectionAge = Millis(30000);
inline constexpr auto kUrgentInspectionAge = Millis(2000);

/// Tells whether this instance uses a holding.
using IsHeldFunction = std::function<bool(const HoldingId&)>;

/// Memory of earlier sweeps.
struct OrphanSweep
{
  /// Time for which a lease must be over before its memory is freed.
  Millis mExpiryMargin{ 2000 };
  /// Time between two attempts to free the same holding.
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

/// Endpoints that this instance is to sweep and whose holdings were reported
/// more than aMaxAge ago, or never: their state is to be asked for.
auto
EndpointsToInspect(const Membership& aMembership,
                   const Registry& aRegistry,
                   Millis aMaxAge,
                   TimePoint aNow) -> std::vector<EndpointId>;

/// Compares what the endpoints that this instance sweeps report with who is
/// alive. Freed are holdings
/// - of an incarnation that has ended for certain,
/// - of this instance itself that it does not use,
/// - of an owner that is silent or unknown once the lease is over; an owner
/// that
///   is only cut off goes on renewing, so its lease is not over.
auto
SweepOrphans(OrphanSweep& aSweep,
             const Membership& aMembership,
             const Registry& aRegistry,
             const IsHeldFunction& aIsHeld,
             TimePoint aNow) -> std::vector<ReleaseAction>;

} // namespace cuminslip::endpoints
