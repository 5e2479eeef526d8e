#pragma once

#include "requests/internal/frontstate.h"

/// Runs the orderer of this failure domain's placement.
namespace cuminslip::requests {

/// Sets up the orderer's ports.
auto
StartOrdering(Front& aFront) -> void;

/// Notes the prompt tokens of an admitted request as demand.
auto
RecordDemand(Front& aFront, const Request& aRequest) -> void;

/// Advances the orderer on the instances that may hold its lease.
auto
TickOrdering(Front& aFront) -> void;

} // namespace cuminslip::requests
