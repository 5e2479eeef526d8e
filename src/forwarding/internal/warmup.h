#pragma once

#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/statements.h"

/// Which endpoints are cold, and what this instance may send them: its share of
/// the bound of their service (policy/warmup.h). Does nothing without
/// ForwardSettings::mWarmUp, and limits no endpoint of a service without a
/// rate.
namespace cuminslip::forwarding {

/// What a cold endpoint accepts from this instance.
struct WarmUpCheck
{
  /// Time until this instance may send, 0 for now; empty if it holds no share.
  std::optional<Millis> mUntilSend;
};

/// Returns no value for an endpoint that is warm or without a bound.
auto
CheckWarmUp(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> std::optional<WarmUpCheck>;

/// Counts a request that is sent to an endpoint against this instance's share,
/// if it is cold. Returns true if it was counted.
auto
DrawWarmUp(Forwarder& aForwarder, const EndpointId& aEndpoint) -> bool;

/// Takes back a counted request that did not reach the endpoint.
auto
ReturnWarmUp(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void;

/// Applies a new notice of an endpoint that has not left. aIsWhole is true if
/// it came with the whole state of a control instance, in which notices may be
/// older than a heartbeat.
auto
NoteWarmUpNotice(Forwarder& aForwarder,
                 const directory::EndpointNotice& aNotice,
                 bool aIsWhole) -> void;

/// Applies what an answer of the endpoint's present incarnation states. Returns
/// true if that is news for other instances.
auto
NoteStatedWarmUp(Forwarder& aForwarder,
                 const StatementSource& aSource,
                 Millis aWarmUpTime) -> bool;

/// Applies what another instance reports.
auto
ApplyReportedWarmUp(Forwarder& aForwarder, const ReportedStatement& aReport)
  -> void;

/// Handles a request that found no connection, or whose connection broke
/// without an answer: the endpoint may have restarted.
auto
NoteUnreachedEndpoint(Forwarder& aForwarder, const EndpointId& aEndpoint)
  -> void;

/// Handles an answer of an endpoint.
auto
NoteContact(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void;

/// Handles the end of an evacuation, during which endpoints of the domain may
/// have become cold.
auto
NoteRestoredDomain(Forwarder& aForwarder, const FailureDomainId& aDomain)
  -> void;

/// Counts a request that is refused for lack of capacity. Returns the number of
/// cold endpoints of its service that accept none from this instance now.
auto
NoteWarmUpRefusal(Forwarder& aForwarder, const Flight& aFlight) -> std::size_t;

/// Adds what answers to this instance stated. Reports of others are not
/// repeated: each repetition would delay the end by the time of a notice.
auto
AddReportedWarmUps(const Forwarder& aForwarder,
                   std::vector<ReportedStatement>& aReports) -> void;

auto
HasReportedWarmUps(const Forwarder& aForwarder) -> bool;

} // namespace cuminslip::forwarding
