#pragma once

#include "policy/endpointchoice.h"
#include "requests/internal/frontstate.h"

/// Sends requests to endpoints.
namespace cuminslip::requests {

/// Starts every waiting request that has a place now and refuses those whose
/// time is over.
auto
PumpQueue(Front& aFront) -> void;

/// Sends the request to the endpoint of aChoice.
auto
StartAttempt(Front& aFront,
             Request& aRequest,
             const EndpointChoice& aChoice,
             const std::vector<EndpointView>& aViews) -> void;

/// Takes the end of the running attempt as a failure and decides what follows.
auto
FailAttempt(Front& aFront,
            Request& aRequest,
            CallOutcome aOutcome,
            Ran aRan,
            const std::string& aCause) -> void;

/// Forgets the running attempt. Its memory at the engine is released for
/// aReason; None says that the engine holds nothing.
auto
CloseAttempt(Front& aFront, Request& aRequest, endpoints::ReleaseReason aReason)
  -> void;

/// Fails attempts from which nothing was heard for too long.
auto
FailSilentAttempts(Front& aFront) -> void;

} // namespace cuminslip::requests
