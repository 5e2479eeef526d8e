#pragma once

#include "forwarding/internal/forwarderstate.h"

/// Parts of prompts that end the engines which write an answer on them. The
/// entry instances share their evidence in load notices.
namespace cuminslip::forwarding {

/// Returns the parts of the flight's prompt that are judged.
auto
SuspectsOf(const Flight& aFlight) -> std::vector<SuspectKey>;

/// Records that the connection to the engine of the flight's attempt ended. A
/// flight on which the engine had begun to write is no evidence.
auto
NoteEndpointEnd(Forwarder& aForwarder, const Flight& aFlight) -> void;

/// Records that an engine wrote on the flight's prompt.
auto
NoteSoundAnswer(Forwarder& aForwarder, const Flight& aFlight) -> void;

/// Returns true if the engine of the flight's attempt ended with the answer
/// begun, and others did before on a part of the prompt.
auto
IsSuspect(const Forwarder& aForwarder, const Flight& aFlight) -> bool;

/// Returns the failure of a flight whose prompt has a harmful part, unless this
/// instance tries the part with it.
auto
CheckSuspects(Forwarder& aForwarder, Flight& aFlight) -> std::optional<Failure>;

/// Returns the evidence for a notice: a bounded number of parts, the most
/// suspect and the latest ones.
auto
ReportSuspects(const Forwarder& aForwarder) -> std::vector<ReportedSuspect>;

/// Returns the evidence for a notice if there is news, or if none was reported
/// for a while.
auto
TakeDueReports(Forwarder& aForwarder) -> std::vector<ReportedSuspect>;

/// Adds the evidence of another instance.
auto
ApplyEvidence(Forwarder& aForwarder, const std::vector<ReportedSuspect>& aParts)
  -> void;

/// Makes a load notice due when evidence was not reported for a while.
auto
RepeatEvidence(Forwarder& aForwarder) -> void;

} // namespace cuminslip::forwarding
