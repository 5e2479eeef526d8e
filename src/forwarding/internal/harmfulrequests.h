#pragma once

#include "forwarding/internal/forwarderstate.h"

/// Requests, and parts of prompts, that end the endpoints which run them. The
/// entry instances share their evidence in load notices.
namespace cuminslip::forwarding {

/// Returns what of the flight's request is judged, the whole request last.
auto
SuspectsOf(const Flight& aFlight) -> std::vector<SuspectKey>;

/// Records that the connection to the endpoint of the flight's attempt ended. A
/// flight on which an engine had begun to write is no evidence.
auto
NoteEndpointEnd(Forwarder& aForwarder, const Flight& aFlight) -> void;

/// Confirms the ends seen before an answer of the endpoint of this attempt.
auto
ConfirmEnds(Forwarder& aForwarder, const Attempt& aAttempt) -> void;

/// Forgets the ends that were not confirmed, since this instance lost its way
/// to the endpoints.
auto
DropUnconfirmedEnds(Forwarder& aForwarder) -> void;

/// Records that an endpoint ran the flight's request, or wrote on its prompt.
auto
NoteSoundAnswer(Forwarder& aForwarder, const Flight& aFlight) -> void;

/// Returns true if the endpoint of the flight's attempt ended and may have
/// begun the answer, and others did before on the request or a part of its
/// prompt.
auto
IsSuspect(const Forwarder& aForwarder, const Flight& aFlight) -> bool;

/// Returns the failure of a flight whose request, or a part of whose prompt, is
/// harmful, unless this instance tries it with the flight.
auto
CheckSuspects(Forwarder& aForwarder, Flight& aFlight) -> std::optional<Failure>;

/// Returns the evidence for a notice: a bounded number of suspects, the most
/// suspect and the latest ones.
auto
ReportSuspects(const Forwarder& aForwarder) -> std::vector<ReportedSuspect>;

/// Returns the latest ends of endpoints, a bounded number.
auto
ReportEnds(const Forwarder& aForwarder) -> std::vector<ReportedEnd>;

/// Adds the ends of endpoints that another instance knows of.
auto
ApplyEnds(Forwarder& aForwarder, const std::vector<ReportedEnd>& aEnds) -> void;

/// Returns the evidence for a notice if there is news, or if none was reported
/// for a while.
auto
TakeDueReports(Forwarder& aForwarder) -> std::vector<ReportedSuspect>;

/// Adds the evidence of another instance.
auto
ApplyEvidence(Forwarder& aForwarder,
              const std::vector<ReportedSuspect>& aSuspects) -> void;

/// Makes a load notice due when evidence was not reported for a while, and
/// confirms ends that no failure of connections followed.
auto
RepeatEvidence(Forwarder& aForwarder) -> void;

} // namespace cuminslip::forwarding
