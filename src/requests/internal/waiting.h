#pragma once

#include "policy/endpointchoice.h"
#include "requests/internal/frontstate.h"

/// Connects requests with the wait queue and the choice of an endpoint.
namespace cuminslip::requests {

/// Chooses an endpoint for the request in the current state. Sends nothing.
auto
TryChoice(Front& aFront, const Request& aRequest) -> EndpointChoice;

/// Creates the wait queue entry of a request. aChoice provides the predicted
/// times and the cached prefix.
auto
MakeEntry(const Front& aFront,
          const Request& aRequest,
          const EndpointChoice& aChoice) -> WaitEntry;

/// Collects the state of the wait queue for admission control.
auto
CollectQueueState(const Front& aFront, const WaitEntry& aEntry) -> WaitFigures;

} // namespace cuminslip::requests
