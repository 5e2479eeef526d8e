#pragma once

#include "forwarding/internal/forwarderstate.h"

/// Requests that are sent through other instances while this one reaches no
/// endpoint. One hop only; the other instance chooses endpoints, repeats and
/// draws on budgets, so that everything counts once.
namespace cuminslip::forwarding {

/// Prefix of the headers between instances. They are removed from what
/// endpoints answer.
inline constexpr auto kRelayHeaderPrefix = std::string_view("cuminslip-relay-");

/// Records that the endpoint of the flight's attempt gave no connection.
auto
NoteUnreached(Forwarder& aForwarder, const Flight& aFlight) -> void;

/// Records the answer of an endpoint to a request sent at aSentAt.
auto
NoteReached(Forwarder& aForwarder, TimePoint aSentAt) -> void;

/// Sends a flight through another instance if it should be, or fails it if this
/// instance is cut off and no other one is left. Returns false if the flight is
/// to be placed here.
auto
RelayFlight(Forwarder& aForwarder, Flight& aFlight) -> bool;

/// Ends the attempt of a relayed flight if the head of its answer says that the
/// other instance failed it. Returns true then; the flight may be gone.
auto
HandleRelayFailure(Forwarder& aForwarder,
                   Flight& aFlight,
                   const wire::Headers& aHeaders) -> bool;

/// Retries or fails a flight after an attempt through another instance without
/// an answer for the caller.
auto
RecoverRelay(Forwarder& aForwarder,
             Flight& aFlight,
             SendOutcome aOutcome,
             std::string_view aReason) -> void;

/// Adds what the other instance must know of a failure of the flight that it
/// sent through this one.
auto
WriteRelayFailure(const Forwarder& aForwarder,
                  const Flight& aFlight,
                  const Failure& aFailure,
                  wire::HttpResponse& aResponse) -> void;

} // namespace cuminslip::forwarding
