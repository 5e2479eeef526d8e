#pragma once

#include "forwarding/internal/forwarderstate.h"

/// What endpoints state about themselves in their answers: that they leave,
/// want no requests for a time, or accept a limited rate. How they warm up is
/// in warmup.h.
namespace cuminslip::forwarding {

/// An answer as evidence about its endpoint.
struct StatementSource
{
  EndpointId mEndpoint;
  /// Incarnation to which the request was sent.
  Incarnation mIncarnation = 0;
  TimePoint mSentAt{};
  /// The endpoint served the request, so that the absence of a statement
  /// counts too.
  bool mIsServed = false;
};

/// Whether an endpoint may be sent a request.
struct SendCheck
{
  /// It has a request limit or is cold.
  bool mIsLimited = false;
  /// Time until this instance may send, 0 for now; empty if the endpoint leaves
  /// or this instance holds no share of what it accepts.
  std::optional<Millis> mUntilSend = Millis(0);
  /// The limit was not confirmed lately and may have ended.
  bool mIsTrialDue = false;
};

/// Returns true if a request may be sent now.
auto
MaySendNow(const SendCheck& aCheck) -> bool;

/// Records what an answer states about its endpoint. An answer of another
/// incarnation than the known one says nothing.
auto
NoteStatement(Forwarder& aForwarder,
              const StatementSource& aSource,
              const EndpointStatement& aStatement) -> void;

/// Checks what the endpoint stated, and the bound for cold endpoints.
auto
CheckSend(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> SendCheck;

/// Checks the endpoint of an attempt and that none of its engines is in an
/// evacuated failure domain.
auto
CheckSend(Forwarder& aForwarder, const Attempt& aAttempt) -> SendCheck;

/// Counts a request that is sent to an endpoint against this instance's share.
auto
DrawSend(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void;

/// Takes back DrawSend for a request that did not reach the endpoint.
auto
ReturnSend(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void;

/// Forgets the limit of an endpoint that has left.
auto
ForgetStatements(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void;

/// Returns the limits for the next notice, a bounded number in turn.
auto
ReportStatements(Forwarder& aForwarder) -> std::vector<ReportedStatement>;

auto
ApplyReports(Forwarder& aForwarder,
             const std::string& aInstance,
             const std::vector<ReportedStatement>& aLimits) -> void;

/// Makes a load notice due when limits were not reported lately.
auto
RepeatStatements(Forwarder& aForwarder) -> void;

/// Applies the present list of instances to the roster.
auto
RefreshRoster(Forwarder& aForwarder) -> void;

} // namespace cuminslip::forwarding
