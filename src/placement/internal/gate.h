#pragma once

#include "placement/placement.h"

/// Checks whether orders may be sent now.
namespace cuminslip::placement {

/// Returns why no orders may be sent at all; empty if they may.
auto
ExplainOrderingBlocked(const Placement& aPlacement,
                       const PlacementInput& aInput,
                       TimePoint aNow) -> std::string;

/// Returns why no orders may be sent to aEndpoint; empty if they may.
auto
ExplainEndpointBlocked(const Placement& aPlacement,
                       const PlacementInput& aInput,
                       const PlacedEndpoint& aEndpoint,
                       TimePoint aNow) -> std::string;

/// Number of transfers in progress, including those that a previous orderer may
/// have started.
auto
CountTransfers(const Placement& aPlacement, TimePoint aNow) -> std::size_t;

/// Lifetime of an order sent now. Not positive if the lease ends too soon.
auto
OrderLifetime(const Placement& aPlacement,
              const PlacementInput& aInput,
              TimePoint aNow) -> Millis;

} // namespace cuminslip::placement
