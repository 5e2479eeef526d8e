#pragma once

#include "requests/internal/frontstate.h"

/// Shares the state of endpoints and instances within the failure domain.
namespace cuminslip::requests {

/// Initializes the membership from the front's settings.
auto
StartSharing(Front& aFront) -> void;

/// Sends due messages and detects instances that join or leave.
auto
TickSharing(Front& aFront) -> void;

/// Shares the changed state of an endpoint.
auto
ShareEndpointState(Front& aFront, const EndpointId& aEndpoint) -> void;

} // namespace cuminslip::requests
