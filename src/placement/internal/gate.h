#pragma once

#include "placement/placement.h"

/// Whether an order may be given now.
namespace cuminslip::placement {

/// Why nothing may be ordered at all; empty when orders may be given.
auto
ExplainOrderingBlocked(const Placement& aPlacement,
                       const PlacementInput& aInput,
                       TimePoint aNow) -> std::string;

/// Why nothing may be ordered of this endpoint; empty when it may.
auto
ExplainEndpointBlocked(const Placement& aPlacement,
                       const PlacementInput& aInput,
                       const PlacedEndpoint& aEndpoint,
                       TimePoint aNow) -> std::string;

/// Transfers that run, or that an earlier orderer may have running.
auto
CountTransfers(const Placement& aPlacement, TimePoint aNow) -> std::size_t;

/// Lifetime to give to an order sent now.
auto
OrderLifetime(const Placement& aPlacement,
              const PlacementInput& aInput,
              TimePoint aNow) -> Millis;

} // namespace cuminslip::placement
