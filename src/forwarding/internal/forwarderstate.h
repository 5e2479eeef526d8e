#pragma once

#include "base/digest.h"
#include "directory/endpointview.h"
#include "forwarding/eventsplitter.h"
#include "forwarding/forwarder.h"
#include "forwarding/loadnotice.h"
#include "policy/crashevidence.h"
#include "policy/instanceroster.h"
#include "policy/reach.h"
#include "policy/requestlimits.h"
#include "policy/runverdict.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace cuminslip::forwarding {

/// Id of a request in flight.
using FlightId = std::uint64_t;

/// Work that a flight has assigned to one engine.
struct AssignedWork
{
  EndpointId mEngine;
  std::string mAddress;
  LoadGroup mGroup;
  bool mIsHelper = false;
  /// Predicted end of the prefill of its part of the prompt.
  TimePoint mPrefillEnd{};
  /// Memory requested there; the id is empty when there is none.
  HoldingId mHolding;
  std::int64_t mHoldTokens = 0;
  bool mIsReserved = false;
};

/// One attempt to send a request to an endpoint.
struct Attempt
{
  wire::ExchangeId mExchange = 0;
  EndpointId mEndpoint;
  /// Incarnation of the endpoint when the request was sent.
  Incarnation mIncarnation = 0;
  std::string mAddress;
  TimePoint mSentAt{};
  int mStatus = 0;
  AnswerFacts mAnswer;
  /// Buffers the body of an answer that is not streamed.
  std::string mBody;
  EventSplitter mSplitter;
  /// A complete event was received.
  bool mHasEvents = false;
  /// The answer ended with its connection, not with a length or chunks.
  bool mIsUnframed = false;
  /// Peer address of the instance that the request was sent through, instead of
  /// to an endpoint; empty if none.
  std::string mRelay;
  std::vector<AssignedWork> mWork;
  /// mWork was announced to the other entry instances.
  bool mIsAnnounced = false;
  /// Was counted against this instance's share of a cold endpoint.
  bool mIsWarmUpDrawn = false;
};

/// A request in flight.
struct Flight
{
  FlightId mId = 0;
  ForwardRequest mRequest;
  wire::CallerPort mCaller;
  std::shared_ptr<const routing::RoutingTable> mTable;
  const routing::Route* mRoute = nullptr;
  const routing::Service* mService = nullptr;
  /// By DigestRequest.
  std::uint64_t mDigest = 0;
  /// What of the request may end endpoints: the parts of the prompt that other
  /// prompts may share, in their order, and the whole request.
  std::vector<SuspectKey> mSuspects;
  /// The harmful one that this flight tries.
  std::optional<SuspectKey> mTrial;
  /// The harmful one for which it is refused.
  std::optional<SuspectKey> mHarmful;
  /// Shortest pause target of all routes to the service.
  Millis mStrictestPause{ 0 };
  AccountId mAccount;
  /// Of its client account or its route; 0 is the highest.
  int mPriority = 0;
  TimePoint mArrived{};
  /// Deadline of the final answer.
  TimePoint mDeadline{};
  wire::TimerId mDeadlineTimer = 0;
  Attempt mAttempt;
  int mSends = 0;
  std::set<EndpointId> mTried;
  /// The request may have run in an earlier attempt.
  bool mMayHaveRun = false;
  /// Came through another instance, so that it is not sent through a third one.
  bool mIsRelayed = false;
  /// Instances that it was sent through, and endpoints without a connection.
  std::set<std::string> mTriedRelays;
  std::size_t mUnconnected = 0;
  /// Is sent to an endpoint though this instance is cut off, to learn if it is.
  bool mIsReachTrial = false;
  /// The caller received the head of the answer and the events up to
  /// mLastEvent.
  bool mHasStarted = false;
  /// Waits for an endpoint; placement is retried when capacity may be free.
  bool mIsWaiting = false;
  /// Has waited for engines.
  bool mHasWaited = false;
  /// What it sees of the waiting prompts, while these are being placed.
  std::optional<OwnQueue> mQueue;
  /// The forecast by which it is refused, and the latest start at which it
  /// would not have been; -1 if there is none.
  std::optional<RoomForecast> mForecast;
  double mStartByMillis = -1;
  /// Waits as a short prompt that is late on every engine.
  bool mIsDeferred = false;
  /// Waits for the first routing document.
  bool mIsUnadmitted = false;
  /// Fires at the end of the claim of the attempt's engines.
  wire::TimerId mClaimTimer = 0;
  int mClaims = 0;
  /// Claims one of the last free slots of an engine.
  bool mIsSlotClaimed = false;
  /// Number of other instances' long prompts on the claimed engines when the
  /// claim began.
  std::int64_t mCompetingPrompts = 0;
  /// Fires when engines have not confirmed their reservations in time.
  wire::TimerId mReservationTimer = 0;
  /// When reservations were last requested or renewed.
  TimePoint mReservationsRenewedAt{};
  std::optional<std::uint64_t> mLastEvent;
  std::uint64_t mEvents = 0;
  TimePoint mFirstEventAt{};
  TimePoint mLastEventAt{};
  Millis mLongestPause{ 0 };
};

/// Health of an endpoint, by the calls of this instance to it.
struct EndpointHealth
{
  int mFailuresInRow = 0;
  TimePoint mEjectedUntil{};
  std::optional<ReportedLoad> mLoad;
  TimePoint mLoadAt{};
  bool mHasMalformedStatement = false;
};

/// What the answers of one incarnation of an endpoint state about it, and this
/// instance's share of its request limit.
struct StatedEndpoint
{
  Incarnation mIncarnation = 0;
  bool mIsLeaving = false;
  /// End of the time for which it wants no requests from this instance.
  TimePoint mPausedUntil{};
  RequestLimit mLimit;
  /// When an answer last stated the limit, or another instance reported it. An
  /// answer to an earlier request can't end it.
  TimePoint mLearnedAt{};
  /// The last answer to this instance.
  TimePoint mAnsweredAt{};
  SendAllowance mAllowance;
  /// This instance's share at the roster's version mShareVersion.
  double mShare = 0;
  std::uint64_t mShareVersion = 0;
};

/// How this instance learned that an endpoint is cold.
enum class WarmUpSign : std::uint8_t
{
  Notice,
  Answer,
  /// Another instance had the answer.
  Report,
  Unreached,
  /// Its failure domain is no longer evacuated.
  Restored
};

/// What is known of the warm-up of one incarnation of an endpoint, and this
/// instance's share of what it accepts until then.
struct WarmUpState
{
  Incarnation mIncarnation = 0;
  /// The last sign.
  WarmUpSign mSign = WarmUpSign::Notice;
  TimePoint mLearnedAt{};
  TimePoint mColdUntil{};
  /// It was not reached, and may have restarted or still restart until the next
  /// contact.
  bool mAwaitsContact = false;
  /// When a restart would have been announced to an instance that is connected.
  TimePoint mAnnouncedUntil{};
  /// By answers to this instance; reported to the others.
  TimePoint mStatedUntil{};
  SendAllowance mAllowance;
  /// This instance's share at these versions of the roster and the routing
  /// document.
  double mShare = 0;
  std::uint64_t mRosterVersion = 0;
  routing::Version mRoutingVersion = 0;
};

/// The load reported by another entry instance.
struct RemoteLoad
{
  /// Peer address.
  std::string mInstance;
  std::uint64_t mSequence = 0;
  TimePoint mHeard{};
  /// Checksums of the engines that have work of the instance.
  std::vector<std::uint64_t> mEngines;
  /// It reaches no endpoint.
  bool mIsCutOff = false;
  /// Engine milliseconds of its waiting prompts, by priority.
  std::vector<double> mWaitingMillis;
};

/// The work of another entry instance on one engine.
struct RemoteShare
{
  /// Owned by Forwarder::mRemote.
  const RemoteLoad* mSource = nullptr;
  EngineWork mWork;
};

/// The work of all instances on an engine of another group.
struct EngineSummary
{
  TimePoint mHeard{};
  EngineWork mWork;
};

/// What is known of requests and parts of prompts that may end endpoints.
struct SuspectKnowledge
{
  EvidenceTable mEvidence;
  /// Ends of endpoints, by the keys of EndpointCrash.
  std::map<std::uint64_t, TimePoint> mEnds;
  /// Ends that only this instance saw, by the same keys. They are not reported
  /// until it is known to reach other endpoints.
  std::map<std::uint64_t, TimePoint> mUnconfirmed;
  std::set<SuspectKey> mHarmful;
  TimePoint mJudgedAt{};
  /// End of the last trial of a harmful one by this instance.
  std::map<SuspectKey, TimePoint> mTrialEnds;
  /// Last sound answers to this instance, since mSoundSince and in the span
  /// before it.
  std::unordered_map<SuspectKey, TimePoint> mSound;
  std::unordered_map<SuspectKey, TimePoint> mFormerSound;
  TimePoint mSoundSince{};
  /// There is evidence that was not reported yet.
  bool mHasNews = false;
  TimePoint mReportedAt{};
};

/// When a stop of this instance began, and when it abandons its requests.
struct StopTimes
{
  TimePoint mBegan{};
  TimePoint mClosesAt{};
};

struct Forwarder
{
  ForwardSettings mSettings;
  ForwardPorts mPorts;
  std::mt19937_64 mRandom;
  std::shared_ptr<const routing::RoutingTable> mTable;
  directory::EndpointView mView;
  std::map<EndpointId, EndpointHealth> mHealth;
  std::map<FlightId, std::unique_ptr<Flight>> mFlights;
  FlightId mNextFlight = 1;
  std::map<std::string, SendRetryBudget> mBudgets;
  evacuation::Evacuations mEvacuations;
  std::vector<directory::EntryInstance> mEntries;
  InstanceRoster mRoster;
  /// The endpoints that have not left, by the checksums of their ids.
  std::unordered_map<std::uint64_t, EndpointId> mEndpointsByKey;
  /// By checksum of the endpoint's id.
  std::unordered_map<std::uint64_t, StatedEndpoint> mStated;
  std::size_t mNextReported = 0;
  /// The endpoints that are cold, by checksum of their ids.
  std::unordered_map<std::uint64_t, WarmUpState> mWarmUps;
  SuspectKnowledge mSuspects;
  Reach mReach;
  /// Instances that refused a relayed request or gave no answer, until when
  /// they are not used, by peer address.
  std::map<std::string, TimePoint> mAvoidedRelays;
  /// Services whose endpoints the other instances did not reach either, until
  /// when they are not asked again unless this instance is cut off.
  std::map<std::string, TimePoint> mUnreachedServices;
  /// The fleet's groups by its instances; mGroups leaves out evacuated failure
  /// domains.
  GroupLayout mDivision;
  GroupLayout mGroups;
  LoadGroup mOwnGroup;
  /// Peer addresses of the instances of each group, this one included.
  std::map<LoadGroup, std::vector<std::string>> mMembers;
  std::map<std::string, RemoteLoad> mRemote;
  /// The shares of mRemote, by checksum of the engine.
  std::unordered_map<std::uint64_t, std::vector<RemoteShare>> mRemoteShares;
  std::unordered_map<std::uint64_t, EngineSummary> mSummaries;
  TimePoint mSummarySentAt{};
  /// Other groups whose engines had work of this instance in the last notice.
  std::set<LoadGroup> mNotifiedGroups;
  std::uint64_t mNoticeSequence = 0;
  std::uint64_t mLastReservation = 0;
  TimePoint mNoticeSentAt{};
  /// Assigned work has changed since the last notice.
  bool mIsNoticeDue = false;
  std::optional<StopTimes> mStop;
  wire::TimerId mTick = 0;
  wire::TimerId mPlacementTimer = 0;
  /// End of the initial discovery of endpoints.
  TimePoint mDiscoverySettledAt{};
  ForwardCounters mCounters;
  ForwardTimes mTimes;
};

/// Returns the flight, or null when it has ended.
auto
FindFlight(Forwarder& aForwarder, FlightId aFlight) -> Flight*;

/// Creates the flight of a request.
auto
AddFlight(Forwarder& aForwarder,
          ForwardRequest aRequest,
          wire::CallerPort aCaller) -> Flight&;

/// Places a flight if it passes all checks, otherwise fails it.
auto
AdmitFlight(Forwarder& aForwarder, Flight& aFlight) -> void;

/// Chooses an endpoint or another instance for a flight and sends it, lets it
/// wait for an endpoint, or fails it.
auto
PlaceFlight(Forwarder& aForwarder, Flight& aFlight) -> void;

/// Returns true if parts of prompts may be sent to the endpoint. They go to its
/// address, and whoever is there serves them.
auto
MayHelp(const Forwarder& aForwarder, const EndpointId& aEndpoint) -> bool;

/// Creates the handlers for the answer to a flight's attempt.
auto
MakeHandlers(Forwarder& aForwarder, FlightId aFlight) -> wire::ExchangeHandlers;

/// Creates an exchange with an endpoint; the caller sets its request. No
/// connection is made for an invalid address.
auto
MakeExchange(const Forwarder& aForwarder, const std::string& aAddress)
  -> wire::Exchange;

/// Returns true if answers are delivered once they are whole.
auto
IsKept(const Flight& aFlight) -> bool;

/// Ends a flight with a final answer of this instance, or by aborting a stream
/// that has started. When the request may have run, aFailure is replaced by one
/// that does not promise that it has not run. Destroys the flight.
auto
FailFlight(Forwarder& aForwarder, Flight& aFlight, const Failure& aFailure)
  -> void;

/// Records the outcome of a flight for metrics. Called once per flight.
auto
NoteOutcome(Forwarder& aForwarder,
            const Flight& aFlight,
            ForwardOutcome aOutcome) -> void;

/// Returns true when the route and the retry budget allow another attempt after
/// aOutcome.
auto
MayRepeatFlight(Forwarder& aForwarder,
                const Flight& aFlight,
                SendOutcome aOutcome) -> bool;

/// Cancels the exchange and timers of a flight, releases its memory
/// reservations and destroys it.
auto
RemoveFlight(Forwarder& aForwarder, Flight& aFlight) -> void;

/// Retries or fails a flight after an attempt without an answer for the caller.
auto
RecoverFlight(Forwarder& aForwarder,
              Flight& aFlight,
              SendOutcome aOutcome,
              std::string_view aReason) -> void;

/// Returns true if the answer to the flight's attempt is a stream.
auto
IsStream(const Flight& aFlight) -> bool;

/// Returns true while the initial discovery may still find better endpoints and
/// less than half of the allowance of the request is used. Returns false for a
/// stream that has started.
auto
MayWaitForEndpoints(const Forwarder& aForwarder, const Flight& aFlight) -> bool;

/// Lets a long prompt wait until engines are free.
auto
WaitForEngine(Forwarder& aForwarder, Flight& aFlight, std::size_t aCandidates)
  -> void;

/// Returns the time to prefill the flight's prompt on one engine without other
/// work; 0 if its service has no engines.
auto
EngineMillis(const Flight& aFlight) -> double;

/// Returns the flight as the order of waiting prompts sees it. Precondition:
/// the setting of that order.
auto
ToWaitingPrompt(const Forwarder& aForwarder, const Flight& aFlight)
  -> WaitingPrompt;

/// Returns the waiting flights, those of each service in the order of
/// policy/workorder.h. Precondition: the setting of that order.
auto
OrderFlights(const Forwarder& aForwarder)
  -> std::vector<std::pair<FlightId, WaitingPrompt>>;

/// Returns the engine milliseconds of the waiting flights, by priority; empty
/// if none waits or without the setting of that order.
auto
SumWaiting(const Forwarder& aForwarder) -> std::vector<double>;

/// Forecasts when engines are free for the flight. Precondition: the setting of
/// that order.
auto
ForecastRoom(const Forwarder& aForwarder,
             const Flight& aFlight,
             std::span<const EngineCandidate> aEngines) -> RoomForecast;

/// Schedules the placement of the waiting flights, at once or after a short
/// random delay.
auto
SchedulePlacement(Forwarder& aForwarder, bool aIsAtOnce) -> void;

/// Discards the attempt, of which nothing was sent, and places the flight
/// again.
auto
PlaceAgain(Forwarder& aForwarder, Flight& aFlight) -> void;

/// Claims the engines of the attempt by announcing it to the other entry
/// instances, and sends the flight at the end of the claim. If another instance
/// has announced a long prompt on the same engines by then, the flight is
/// placed again, but only for a limited number of claims. Without a claim,
/// instances that place prompts within the latency of a notice choose the same
/// idle engines.
auto
BeginClaim(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt) -> void;

/// Claims one of the last free slots of the attempt's engine by announcing it,
/// and sends the flight at the end of the claim if the slot is its own then,
/// otherwise places it again.
auto
BeginSlotClaim(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt)
  -> void;

/// Reserves memory at the engines of the flight's attempt and sends the flight
/// once all reservations are confirmed. When an engine refuses or does not
/// confirm in time, all are released and the flight is placed again.
auto
ReserveMemory(Forwarder& aForwarder, Flight& aFlight) -> void;

/// Releases the memory reservations of an attempt.
auto
ReleaseMemory(Forwarder& aForwarder, const Attempt& aAttempt) -> void;

/// Renews the memory reservations that flights still use.
auto
RenewReservations(Forwarder& aForwarder) -> void;

/// Sends a flight to a chosen endpoint.
auto
SendFlight(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt) -> void;

/// Records the result of a call to an endpoint. Failures eject the endpoint
/// temporarily, unless this instance is cut off.
auto
NoteSuccess(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void;

auto
NoteFailure(Forwarder& aForwarder,
            const EndpointId& aEndpoint,
            std::string_view aReason) -> void;

/// Returns true if the endpoint is in an evacuated failure domain.
auto
IsInEvacuatedDomain(const Forwarder& aForwarder,
                    const directory::EndpointNotice& aEndpoint) -> bool;

/// Divides the fleet into load groups, by the present instances and
/// evacuations.
auto
RefreshGroups(Forwarder& aForwarder) -> void;

/// Returns the flight's prompt with its elapsed and remaining time.
auto
ToPromptWork(const Forwarder& aForwarder, const Flight& aFlight) -> PromptWork;

/// Returns the group of an engine.
auto
GroupOfEngine(const Forwarder& aForwarder,
              const directory::EndpointNotice& aEngine) -> LoadGroup;

/// Returns the number of instances in a group, at least 1.
auto
GroupSize(const Forwarder& aForwarder, const LoadGroup& aGroup) -> std::size_t;

/// Returns the work that this instance has assigned to an engine.
auto
OwnWorkOn(const Forwarder& aForwarder, const EndpointId& aEngine) -> EngineWork;

/// Returns the same for all engines with such work, in one pass over the
/// flights: with a thousand waiting flights, a pass for each engine takes most
/// of the time of a placement.
auto
OwnWorkByEngine(const Forwarder& aForwarder)
  -> std::unordered_map<EndpointId, EngineWork>;

/// Returns the work that the other entry instances have assigned to an engine,
/// by their recent load notices, or by the summary of the engine's group.
auto
RemoteWorkOn(const Forwarder& aForwarder, const EndpointId& aEngine)
  -> EngineWork;

/// Returns the known work of all entry instances on an engine.
auto
WorkOn(const Forwarder& aForwarder, const EndpointId& aEngine) -> EngineWork;

/// Announces the changed work of a flight's attempt, immediately for a long
/// prompt, and schedules the placement of waiting flights.
auto
NoteWorkChanged(Forwarder& aForwarder, const Flight& aFlight) -> void;

/// Sends the load of this instance to the other instances of the engines'
/// groups if it changed, immediately when urgent, otherwise at the minimum
/// interval.
auto
SendLoadNotice(Forwarder& aForwarder, bool aIsUrgent) -> void;

} // namespace cuminslip::forwarding
