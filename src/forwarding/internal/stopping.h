#pragma once

#include "forwarding/internal/forwarderstate.h"

/// Requests at an instance that is being stopped. The decision is that of
/// policy/stopping.h.
namespace cuminslip::forwarding {

/// Returns the refusal of a flight whose answer would be cut by the end of this
/// instance, or nothing. A flight that may have run is not refused.
/// aAnswerMillis is the forecast time to the end of its answer.
auto
CheckStop(const Forwarder& aForwarder,
          const Flight& aFlight,
          double aAnswerMillis) -> std::optional<Failure>;

/// Returns the time to the end of the flight's answer on idle endpoints: the
/// answer target of a plain request, and the time of the longest answer to a
/// prompt, which as many engines as allowed prefill.
/// Precondition: the flight has a service.
auto
LeastAnswerMillis(const Forwarder& aForwarder, const Flight& aFlight) -> double;

/// Returns the forecast time to the end of the flight's longest answer when its
/// first event comes after aFirstEventMillis from an engine with aWork.
/// Precondition: the flight's service has engines.
auto
ForecastAnswerMillis(const Forwarder& aForwarder,
                     const Flight& aFlight,
                     const EngineWork& aWork,
                     double aFirstEventMillis) -> double;

} // namespace cuminslip::forwarding
