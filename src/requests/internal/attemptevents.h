#pragma once

#include "requests/internal/frontstate.h"

/// What comes back from an endpoint during an attempt.
namespace cuminslip::requests {

/// Handlers of the attempt's call. They find request and attempt by id, so that
/// what comes after either has ended is dropped.
auto
MakeCallHandlers(Front& aFront,
                 const Request& aRequest,
                 const AttemptId& aAttempt) -> wire::CallHandlers;

} // namespace cuminslip::requests
