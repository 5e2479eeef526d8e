#pragma once

#include "requests/internal/frontstate.h"

/// Sends answers to callers.
namespace cuminslip::requests {

/// Ends a request with a refusal or failure: closes its attempt and its claim,
/// sends the final answer and removes the request.
auto
RefuseRequest(Front& aFront, Request& aRequest, const Refusal& aRefusal)
  -> void;

/// Delivers the next piece of an answer.
auto
DeliverPiece(Front& aFront, Request& aRequest, const std::string& aText)
  -> void;

/// Completes a model's answer and ends the request.
auto
FinishAnswer(Front& aFront, Request& aRequest, const std::string& aReason)
  -> void;

/// Forwards a plain service's response and ends the request.
auto
FinishServiceCall(Front& aFront,
                  Request& aRequest,
                  const wire::HttpResponse& aResponse) -> void;

/// Answers with the recorded outcome of an earlier run and ends the request.
auto
ReplayRun(Front& aFront, Request& aRequest, const std::string& aRecord) -> void;

/// Ends a request whose caller has disconnected or reads too slowly, and
/// cancels its attempt.
auto
DropRequest(Front& aFront, Request& aRequest) -> void;

} // namespace cuminslip::requests
