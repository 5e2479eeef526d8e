#pragma once

#include "requests/internal/frontstate.h"

/// Manages memory held at engines: renews and releases this instance's holdings
/// and releases orphaned ones.
namespace cuminslip::requests {

/// Initializes the ledger from the front's settings.
auto
StartHoldings(Front& aFront) -> void;

/// Adds the stream of an attempt that is about to be sent to the ledger.
auto
HoldStream(Front& aFront, const Request& aRequest, const Attempt& aAttempt)
  -> void;

/// Releases the stream of an attempt. The release is repeated until the engine
/// confirms it or is gone, or the lease has expired.
auto
ReleaseStream(Front& aFront,
              const AttemptId& aAttempt,
              endpoints::ReleaseReason aReason) -> void;

/// Removes the stream of an attempt that the engine has already freed.
auto
DropStream(Front& aFront, const AttemptId& aAttempt) -> void;

/// Sends due releases and renewals, and releases orphaned holdings.
auto
TickHoldings(Front& aFront) -> void;

/// Sends a control call to an endpoint. aReply is called on the front task,
/// possibly before this function returns. It gets no value if the address is
/// invalid or the call ends without a complete answer.
auto
CallEndpoint(Front& aFront,
             endpoints::EndpointCall aCall,
             endpoints::EndpointReply aReply) -> void;

} // namespace cuminslip::requests
