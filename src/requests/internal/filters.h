#pragma once

#include "requests/internal/frontstate.h"

/// The filter chain for callers' requests.
namespace cuminslip::requests {

enum class FilterResult : std::uint8_t
{
  /// Continue with the next filter.
  Continue,
  /// The request waits for an event. AdvanceRequest resumes the chain.
  Wait,
  /// The request has received its final answer.
  Done
};

/// Determines the client account from the caller's key.
auto
IdentifyCaller(Front& aFront, Request& aRequest) -> FilterResult;

/// Refuses requests while the instance is not ready or is stopping, and if the
/// client account has no template.
auto
CheckReadiness(Front& aFront, Request& aRequest) -> FilterResult;

/// Parses the path and the body.
auto
ParseRequest(Front& aFront, Request& aRequest) -> FilterResult;

/// Determines the kind of work, length class, deadline and prefix hashes.
auto
ClassifyRequest(Front& aFront, Request& aRequest) -> FilterResult;

/// Refuses requests that must not be served without the quorum.
auto
CheckIsolation(Front& aFront, Request& aRequest) -> FilterResult;

/// Applies admission control, including the client account's limits.
auto
AdmitRequest(Front& aFront, Request& aRequest) -> FilterResult;

/// Records a non-idempotent call with an idempotency key before it is sent. If
/// an earlier call used the key, waits for its end and answers with its
/// recorded outcome, or refuses the request. Other calls pass.
auto
ClaimRun(Front& aFront, Request& aRequest) -> FilterResult;

/// Adds the request to the wait queue.
auto
EnterQueue(Front& aFront, Request& aRequest) -> FilterResult;

/// Applies the remaining filters to the request.
auto
AdvanceRequest(Front& aFront, Request& aRequest) -> void;

} // namespace cuminslip::requests
