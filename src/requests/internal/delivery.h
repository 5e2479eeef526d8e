#pragma once

#include "requests/internal/frontstate.h"

/// What goes to the caller.
namespace cuminslip::requests {

/// Ends a request with a refusal or failure: the final answer goes out at once,
/// the claim is settled and the request is forgotten.
auto
RefuseRequest(Front& aFront, Request& aRequest, const Refusal& aRefusal)
  -> void;

/// Passes on the next piece of an answer.
auto
DeliverPiece(Front& aFront, Request& aRequest, const std::string& aText)
  -> void;

/// Ends a model answer.
auto
FinishAnswer(Front& aFront, Request& aRequest, const std::string& aReason)
  -> void;

/// Passes on a plain service's whole answer and ends the request.
auto
FinishServiceCall(Front& aFront,
                  Request& aRequest,
                  const wire::HttpResponse& aResponse) -> void;

/// Answers with the recorded outcome of an earlier run.
auto
ReplayRun(Front& aFront, Request& aRequest, const std::string& aRecord) -> void;

/// Ends a request whose caller has gone away; cancels what runs.
auto
DropRequest(Front& aFront, Request& aRequest) -> void;

} // namespace cuminslip::requests
