#pragma once

#include "requests/internal/frontstate.h"

/// Keeps and frees memory at engines.
namespace cuminslip::requests {

/// Cancels an attempt and repeats it until the engine confirms, is gone, or
/// the lease has run out.
auto
CancelAttempt(Front& aFront, const Attempt& aAttempt) -> void;

/// Repeats cancels that are due.
auto
RetryCancels(Front& aFront) -> void;

/// Renews the leases of all running streams, one call for each engine.
auto
RenewLeases(Front& aFront) -> void;

} // namespace cuminslip::requests
