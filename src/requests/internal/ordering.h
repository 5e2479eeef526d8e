#pragma once

#include "requests/internal/frontstate.h"

/// Runs the placement orderer of this failure domain.
namespace cuminslip::requests {

/// Initializes the orderer from the front's settings and ports.
auto
StartOrdering(Front& aFront) -> void;

/// Adds the prompt tokens of an admitted request to the demand.
auto
RecordDemand(Front& aFront, const Request& aRequest) -> void;

/// Advances the orderer if this instance is a candidate for its lease.
auto
TickOrdering(Front& aFront) -> void;

} // namespace cuminslip::requests
