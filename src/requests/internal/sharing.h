#pragma once

#include "requests/internal/frontstate.h"

/// Shares what is known of endpoints and instances within the failure domain.
namespace cuminslip::requests {

/// Begins the membership with the front's settings.
auto
StartSharing(Front& aFront) -> void;

/// Sends what is due and notices instances that come or go.
auto
TickSharing(Front& aFront) -> void;

/// Passes on news of an endpoint.
auto
ShareEndpointState(Front& aFront, const EndpointId& aEndpoint) -> void;

} // namespace cuminslip::requests
