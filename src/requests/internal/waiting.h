#pragma once

#include "policy/endpointchoice.h"
#include "requests/internal/frontstate.h"

/// Links requests to the wait queue and the choice of an endpoint.
namespace cuminslip::requests {

/// Chooses an endpoint for the request as of now, without sending anything.
auto
TryChoice(Front& aFront, const Request& aRequest) -> EndpointChoice;

/// The wait queue's entry for a request, from a trial choice.
auto
MakeEntry(const Front& aFront,
          const Request& aRequest,
          const EndpointChoice& aChoice) -> WaitEntry;

/// What waits now, as admission looks at it.
auto
CollectWaitFigures(const Front& aFront, const WaitEntry& aEntry) -> WaitFigures;

} // namespace cuminslip::requests
