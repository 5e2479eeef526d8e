#pragma once

#include "placement/placement.h"

/// Checks whether orders may be sent now.
namespace cuminslip::placement {

/// Returns why no orders may be sent at all; empty if they may.
auto
ExplainOrderingBlocked(const Placement& aPlacement,
                       const PlacementInput& aInput,
                       TimePoint aNow) -> std::string;

/// Returns why no orders may be sent to aEndpoint; empty if they may. An
/// endpoint that does not check fencing numbers is blocked until it has
/// reported after all orders of a previous orderer have expired.
auto
ExplainEndpointBlocked(const Placement& aPlacement,
                       const PlacementInput& aInput,
                       const PlacedEndpoint& aEndpoint,
                       TimePoint aNow) -> std::string;

/// Number of transfers in progress. While transfers of a previous orderer may
/// still run, returns the transfer limit, since their number is not known.
auto
CountTransfers(const Placement& aPlacement, TimePoint aNow) -> std::size_t;

/// Lifetime of an order sent now, limited so that the order expires before the
/// lease ends even after the maximum network delay. Not positive if the lease
/// ends too soon.
auto
OrderLifetime(const Placement& aPlacement,
              const PlacementInput& aInput,
              TimePoint aNow) -> Millis;

} // namespace cuminslip::placement
