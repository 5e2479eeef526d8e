#pragma once

#include "requests/internal/frontstate.h"

/// Keeps and frees memory at engines: runs the ledger of this instance's
/// holdings and the sweep of those that nobody owns.
namespace cuminslip::requests {

/// Sets up the ledger with the front's settings.
auto
StartHoldings(Front& aFront) -> void;

/// Enters the stream of an attempt that is about to be sent.
auto
HoldStream(Front& aFront, const Request& aRequest, const Attempt& aAttempt)
  -> void;

/// Frees the stream of an attempt; repeated until the engine confirms it, is
/// gone, or the lease has run out.
auto
ReleaseStream(Front& aFront,
              const AttemptId& aAttempt,
              endpoints::ReleaseReason aReason) -> void;

/// Forgets the stream of an attempt that the engine has freed itself.
auto
DropStream(Front& aFront, const AttemptId& aAttempt) -> void;

/// Sends releases and renewals that are due, and sweeps.
auto
TickHoldings(Front& aFront) -> void;

/// Sends a controller's call to an endpoint; the reply comes on this task.
auto
CallEndpoint(Front& aFront,
             endpoints::EndpointCall aCall,
             endpoints::EndpointReply aReply) -> void;

} // namespace cuminslip::requests
