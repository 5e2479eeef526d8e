#pragma once

#include "fakes/engine/enginecore.h"

namespace cuminslip::fakes {

/// Ends the current step: reads its chunk and gives out its pieces.
auto
FinishStep(Engine& aEngine) -> void;

/// Begins a step at aStart if there is work and none is under way.
auto
BeginStep(Engine& aEngine, TimePoint aStart) -> void;

/// Gives back a stream's memory and forgets it.
auto
RemoveStream(Engine& aEngine, const std::string& aAttempt) -> void;

/// Forgets a stream, giving out its end with aReason.
auto
EndStream(Engine& aEngine,
          const std::string& aAttempt,
          const std::string& aReason) -> void;

/// Ends orders that are due. Model unloading waits for running streams.
auto
FinishOrders(Engine& aEngine) -> void;

/// Releases a holding and, for a reservation, its parts.
auto
RemoveHolding(Engine& aEngine, const std::string& aId) -> void;

} // namespace cuminslip::fakes
