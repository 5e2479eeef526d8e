#pragma once

#include "requests/internal/frontstate.h"

/// Handles an endpoint's response during an attempt.
namespace cuminslip::requests {

/// Creates the handlers of the attempt's call. They look up the request and the
/// attempt by id and ignore events that arrive after either has ended.
auto
MakeCallHandlers(Front& aFront,
                 const Request& aRequest,
                 const AttemptId& aAttempt) -> wire::CallHandlers;

} // namespace cuminslip::requests
