#pragma once

#include "base/digest.h"
#include "directory/endpointview.h"
#include "forwarding/eventsplitter.h"
#include "forwarding/forwarder.h"
#include "forwarding/loadnotice.h"
#include "policy/runverdict.h"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace cuminslip::forwarding {

/// Number of a request under way.
using FlightId = std::uint64_t;

/// Work that a flight gives to one engine.
struct AssignedWork
{
  EndpointId mEngine;
  std::string mAddress;
  bool mIsHelper = false;
  /// When its part of the prompt is read, by prediction.
  TimePoint mReadUntil{};
  /// Memory asked for there; without id none is.
  HoldingId mHolding;
  std::int64_t mHoldTokens = 0;
  bool mIsReserved = false;
};

/// One sending of a request.
struct Attempt
{
  wire::ExchangeId mExchange = 0;
  EndpointId mEndpoint;
  std::string mAddress;
  TimePoint mSentAt{};
  int mStatus = 0;
  AnswerFacts mAnswer;
  /// Collects an answer that is passed on whole.
  std::string mBody;
  EventSplitter mSplitter;
  std::vector<AssignedWork> mWork;
  /// The other entry instances were told of mWork.
  bool mIsAnnounced = false;
};

/// A request under way.
struct Flight
{
  FlightId mId = 0;
  ForwardRequest mRequest;
  wire::CallerPort mCaller;
  std::shared_ptr<const routing::RoutingTable> mTable;
  const routing::Route* mRoute = nullptr;
  const routing::Service* mService = nullptr;
  /// Shortest pause target of the routes to that service.
  Millis mStrictestPause{ 0 };
  AccountId mAccount;
  TimePoint mArrived{};
  /// When the final answer is due.
  TimePoint mDeadline{};
  wire::TimerId mDeadlineTimer = 0;
  Attempt mAttempt;
  int mSends = 0;
  std::set<EndpointId> mTried;
  /// Some sending may have made it run.
  bool mMayHaveRun = false;
  /// The caller has the head of the answer and events up to mLastEvent.
  bool mHasStarted = false;
  /// No endpoint can take it now; it is looked at again when one may.
  bool mIsWaiting = false;
  /// No routing document is in force yet.
  bool mIsUnadmitted = false;
  /// Ends the claim of the attempt's engines.
  wire::TimerId mClaimTimer = 0;
  int mClaims = 0;
  /// Long prompts of other instances on the claimed engines when the claim
  /// began.
  std::int64_t mCompetingPrompts = 0;
  /// Ends the wait for memory at engines.
  wire::TimerId mReservationTimer = 0;
  TimePoint mReservationsRenewedAt{};
  std::optional<std::uint64_t> mLastEvent;
  std::uint64_t mEvents = 0;
  TimePoint mFirstEventAt{};
  TimePoint mLastEventAt{};
  Millis mLongestPause{ 0 };
};

/// What this instance's own calls to an endpoint came to.
struct EndpointHealth
{
  int mFailuresInRow = 0;
  TimePoint mEjectedUntil{};
  std::optional<ReportedLoad> mLoad;
  TimePoint mLoadAt{};
};

/// The load of another entry instance.
struct RemoteLoad
{
  std::uint64_t mSequence = 0;
  TimePoint mHeard{};
  std::map<std::uint64_t, EngineWork> mWork;
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
  std::map<std::string, RepeatBudget> mBudgets;
  std::vector<std::string> mEntries;
  std::map<std::string, RemoteLoad> mRemote;
  std::uint64_t mNoticeSequence = 0;
  std::uint64_t mLastReservation = 0;
  TimePoint mNoticeSentAt{};
  /// Work has changed since the last notice.
  bool mIsNoticeDue = false;
  wire::TimerId mTick = 0;
  wire::TimerId mPlacementTimer = 0;
  /// Until then endpoints are still being heard of after the start.
  TimePoint mDiscoverySettledAt{};
  ForwardCounters mCounters;
  ForwardTimes mTimes;
};

/// The flight, or null when it has ended.
auto
FindFlight(Forwarder& aForwarder, FlightId aFlight) -> Flight*;

/// Sends a flight to an endpoint, or ends it when there is none.
auto
PlaceFlight(Forwarder& aForwarder, Flight& aFlight) -> void;

/// What takes the answer to a flight's sending, as it comes.
auto
MakeHandlers(Forwarder& aForwarder, FlightId aFlight) -> wire::ExchangeHandlers;

/// An exchange with an endpoint; its request is still to be set. No connection
/// is made for an address that can't be read.
auto
MakeExchange(const Forwarder& aForwarder, const std::string& aAddress)
  -> wire::Exchange;

/// Ends a flight with a final answer of this instance's own, or by cutting a
/// stream that has begun. One that may have run gets an answer that promises
/// nothing instead of aFailure. The flight is gone afterwards.
auto
FailFlight(Forwarder& aForwarder, Flight& aFlight, const Failure& aFailure)
  -> void;

/// Counts the end of a flight for metrics; once for each.
auto
NoteOutcome(Forwarder& aForwarder,
            const Flight& aFlight,
            ForwardOutcome aOutcome) -> void;

/// True when the flight may be sent once more after aOutcome, by its route and
/// the budget of repeats.
auto
MayRepeatFlight(Forwarder& aForwarder,
                const Flight& aFlight,
                SendOutcome aOutcome) -> bool;

/// Forgets a flight and closes its exchange.
auto
RemoveFlight(Forwarder& aForwarder, Flight& aFlight) -> void;

/// Decides what follows a sending that brought no answer for the caller.
auto
RecoverFlight(Forwarder& aForwarder,
              Flight& aFlight,
              SendOutcome aOutcome,
              std::string_view aReason) -> void;

/// True while better endpoints may still be heard of after a start, and the
/// request has time.
auto
MayWaitForEndpoints(const Forwarder& aForwarder, const Flight& aFlight) -> bool;

/// Leaves a long prompt waiting until engines are free.
auto
WaitForEngine(Flight& aFlight, std::size_t aCandidates) -> void;

/// Looks at the waiting flights again, soon or after a short random pause.
auto
SchedulePlacement(Forwarder& aForwarder, bool aIsAtOnce) -> void;

/// Drops the attempt, of which nothing was sent, and places the flight again.
auto
PlaceAgain(Forwarder& aForwarder, Flight& aFlight) -> void;

/// Tells the other entry instances which engines the attempt is to use, and
/// sends the flight when none of them has told the same meanwhile; else places
/// it again. Without this, instances that place within a notice's time of each
/// other choose the same idle engines.
auto
BeginClaim(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt) -> void;

/// Asks the engines of the flight's attempt for memory and sends the flight
/// once all have set it aside.
auto
BeginHolds(Forwarder& aForwarder, Flight& aFlight) -> void;

/// Gives back the memory of an attempt.
auto
ReleaseHolds(Forwarder& aForwarder, const Attempt& aAttempt) -> void;

/// Asks again for memory that flights still use.
auto
RenewReservations(Forwarder& aForwarder) -> void;

/// Sends a flight to a chosen endpoint.
auto
SendFlight(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt) -> void;

/// Notes how a call to an endpoint went.
auto
NoteSuccess(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void;

auto
NoteFailure(Forwarder& aForwarder,
            const EndpointId& aEndpoint,
            std::string_view aReason) -> void;

/// The flight's prompt with the times that it has had and has left.
auto
ToPromptWork(const Forwarder& aForwarder, const Flight& aFlight) -> PromptWork;

/// The work that this instance gave to an engine.
auto
OwnWorkOn(const Forwarder& aForwarder, const EndpointId& aEngine) -> EngineWork;

/// The work that the other entry instances gave to an engine, as far as known.
auto
RemoteWorkOn(const Forwarder& aForwarder, const EndpointId& aEngine)
  -> EngineWork;

/// The work of all instances on an engine, as far as known now.
auto
WorkOn(const Forwarder& aForwarder, const EndpointId& aEngine) -> EngineWork;

/// Tells of an attempt's changed work, at once where it is a long prompt's, and
/// lets others that wait have what became free.
auto
NoteWorkChanged(Forwarder& aForwarder, const Flight& aFlight) -> void;

/// Tells the other entry instances this one's load, at once or when due.
auto
SendLoadNotice(Forwarder& aForwarder, bool aIsUrgent) -> void;

} // namespace cuminslip::forwarding
