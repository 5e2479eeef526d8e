#pragma once

#include "policy/endpointchoice.h"
#include "requests/internal/frontstate.h"

/// Sends requests to endpoints.
namespace cuminslip::requests {

/// Starts all waiting requests for which an endpoint has capacity and refuses
/// those whose queue time has expired.
auto
PumpQueue(Front& aFront) -> void;

/// Sends the request to the endpoint in aChoice. Precondition: aChoice has an
/// index, which refers to aViews.
auto
StartAttempt(Front& aFront,
             Request& aRequest,
             const EndpointChoice& aChoice,
             const std::vector<EndpointView>& aViews) -> void;

/// Ends the running attempt as failed, then retries the request or fails it.
/// Precondition: the request has an attempt.
auto
FailAttempt(Front& aFront,
            Request& aRequest,
            CallOutcome aOutcome,
            Ran aRan,
            const std::string& aCause) -> void;

/// Ends the running attempt, if any. Its memory at the engine is released with
/// aReason; None means that the engine holds no memory.
auto
CloseAttempt(Front& aFront, Request& aRequest, endpoints::ReleaseReason aReason)
  -> void;

/// Fails attempts whose engines have sent nothing for too long. Calls of plain
/// services are limited only by the request's deadline.
auto
FailSilentAttempts(Front& aFront) -> void;

} // namespace cuminslip::requests
