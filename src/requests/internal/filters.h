#pragma once

#include "requests/internal/frontstate.h"

/// The filter chain that each caller's request passes.
namespace cuminslip::requests {

enum class FilterResult : std::uint8_t
{
  /// The next filter takes the request.
  Continue,
  /// The request waits for something; AdvanceRequest goes on.
  Wait,
  /// The request has its final answer.
  Done
};

/// Finds the client account of the caller's key.
auto
IdentifyCaller(Front& aFront, Request& aRequest) -> FilterResult;

/// Refuses while the instance is not ready or stopping.
auto
CheckReadiness(Front& aFront, Request& aRequest) -> FilterResult;

/// Reads the body and the headers.
auto
ParseRequest(Front& aFront, Request& aRequest) -> FilterResult;

/// Finds kind of work, length class, deadline and prefixes.
auto
ClassifyRequest(Front& aFront, Request& aRequest) -> FilterResult;

/// Refuses what may not be served without the quorum.
auto
CheckIsolation(Front& aFront, Request& aRequest) -> FilterResult;

/// Decides whether the request can be answered in its time.
auto
AdmitRequest(Front& aFront, Request& aRequest) -> FilterResult;

/// Records a non-idempotent call before it is sent.
auto
ClaimRun(Front& aFront, Request& aRequest) -> FilterResult;

/// Puts the request among those that wait for an endpoint.
auto
EnterQueue(Front& aFront, Request& aRequest) -> FilterResult;

/// Passes the request through the filters it has not passed yet.
auto
AdvanceRequest(Front& aFront, Request& aRequest) -> void;

} // namespace cuminslip::requests
