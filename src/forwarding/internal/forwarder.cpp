#include "forwarding/forwarder.h"

#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/harmfulrequests.h"
#include "forwarding/internal/statements.h"
#include "forwarding/internal/warmup.h"
#include "forwarding/requestdigest.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>
#include <array>

namespace cuminslip::forwarding {

namespace {

/// Retry-after time of an instance without a routing document.
constexpr auto kNotReadyRetry = Millis(500);
/// Maximum time that a request waits for the first routing document: the time
/// that control instances need to elect a leader when all are started together.
constexpr auto kMaxStartupWait = Millis(2000);
/// Duration of the discovery of endpoints after the first routing document: one
/// and a half times the shortest heartbeat interval that the platform
/// specifies.
constexpr auto kDiscoverySettleTime = Millis(1800);

/// One step of the checks that a request passes before it is placed.
using AdmissionFilter = auto(*)(Forwarder&, Flight&) -> std::optional<Failure>;

auto
RequireDocument(Forwarder& aForwarder, Flight& aFlight)
  -> std::optional<Failure>
{
  if (aForwarder.mTable == nullptr) {
    return Failure{ FailureKind::NotReady, kNotReadyRetry };
  }
  aFlight.mTable = aForwarder.mTable;
  return std::nullopt;
}

auto
MatchRoute(Forwarder&, Flight& aFlight) -> std::optional<Failure>
{
  const auto& http = aFlight.mRequest.mHttp;
  aFlight.mRoute = routing::FindRoute(*aFlight.mTable, http.mHost, http.mPath);
  if (aFlight.mRoute == nullptr) {
    return Failure{ FailureKind::NoRoute, {} };
  }
  aFlight.mPriority = aFlight.mRoute->mPriority;
  if (aFlight.mRequest.mId.mValue.empty()) {
    return Failure{ FailureKind::BadRequest, {} };
  }
  return std::nullopt;
}

auto
IdentifyAccount(Forwarder&, Flight& aFlight) -> std::optional<Failure>
{
  if (!routing::NeedsKey(aFlight.mTable->mDocument, *aFlight.mRoute)) {
    return std::nullopt;
  }
  const auto* account =
    routing::FindAccount(*aFlight.mTable, aFlight.mRequest.mKey);
  if (account == nullptr) {
    return Failure{ FailureKind::UnknownKey, {} };
  }
  aFlight.mAccount = account->mId;
  aFlight.mPriority = account->mPriority.value_or(aFlight.mPriority);
  return std::nullopt;
}

auto
SetDeadline(Forwarder&, Flight& aFlight) -> std::optional<Failure>
{
  const auto timeout = aFlight.mRoute->mTimeout;
  const auto allowance =
    std::min(timeout, aFlight.mRequest.mAllowance.value_or(timeout));
  aFlight.mDeadline = aFlight.mArrived + allowance;
  if (allowance <= Millis(0)) {
    return Failure{ FailureKind::TooLate, {} };
  }
  return std::nullopt;
}

auto
StrictestPause(const Flight& aFlight) -> Millis
{
  auto strictest = aFlight.mRoute->mPauseTarget;
  for (const auto& route : aFlight.mTable->mDocument.mRoutes) {
    const auto isSame = std::any_of(
      route.mServices.begin(), route.mServices.end(), [&](const auto& aItem) {
        return aItem.mService == aFlight.mService->mName;
      });
    if (isSame && route.mPauseTarget > Millis(0)) {
      strictest = std::min(strictest, route.mPauseTarget);
    }
  }
  return strictest;
}

auto
ChooseFlightService(Forwarder& aForwarder, Flight& aFlight)
  -> std::optional<Failure>
{
  const auto& name =
    routing::ChooseService(*aFlight.mRoute, aFlight.mRequest.mId.mValue);
  aFlight.mService = routing::FindService(*aFlight.mTable, name);
  aFlight.mStrictestPause = StrictestPause(aFlight);
  aFlight.mDigest = DigestRequest(aFlight.mRequest.mHttp, aFlight.mAccount);
  aFlight.mSuspects = SuspectsOf(aFlight);
  // NOTE: the instance that the caller sent it to counts it.
  if (!aFlight.mIsRelayed) {
    NoteRequest(aForwarder.mBudgets[name],
                aForwarder.mSettings.mRetryBudget,
                aForwarder.mPorts.mNow());
  }
  return std::nullopt;
}

constexpr auto kAdmission =
  std::array<AdmissionFilter, 5>{ RequireDocument,
                                  MatchRoute,
                                  IdentifyAccount,
                                  SetDeadline,
                                  ChooseFlightService };

auto
OnDeadline(Forwarder& aForwarder, FlightId aFlight) -> void
{
  auto* flight = FindFlight(aForwarder, aFlight);
  if (flight == nullptr) {
    return;
  }
  flight->mDeadlineTimer = 0;
  FailFlight(aForwarder, *flight, { FailureKind::TooLate, {} });
}

/// Lets a request wait for the first routing document, which arrives soon when
/// the whole system is started.
auto
WaitForDocument(Forwarder& aForwarder, Flight& aFlight) -> void
{
  const auto allowance =
    aFlight.mRequest.mAllowance.value_or(2 * kMaxStartupWait);
  aFlight.mIsUnadmitted = true;
  aFlight.mDeadlineTimer = aForwarder.mPorts.mTimers.mStart(
    std::min(kMaxStartupWait, allowance / 2), [&aForwarder, id = aFlight.mId] {
      if (auto* flight = FindFlight(aForwarder, id)) {
        flight->mDeadlineTimer = 0;
        FailFlight(
          aForwarder, *flight, { FailureKind::NotReady, kNotReadyRetry });
      }
    });
}

/// Ends the requests of disconnected callers.
auto
DropDisconnectedCallers(Forwarder& aForwarder) -> void
{
  auto left = std::vector<FlightId>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    if (flight->mCaller.mIsClosed()) {
      left.push_back(id);
    }
  }
  for (const auto id : left) {
    auto& flight = *FindFlight(aForwarder, id);
    NoteOutcome(aForwarder, flight, ForwardOutcome::CallerGone);
    LogEvent(
      kForwardCallerGoneEvent,
      { { "request", flight.mRequest.mId.mValue },
        { "endpoint", flight.mAttempt.mEndpoint.mValue },
        { "events", flight.mEvents },
        { "age_ms",
          MillisBetween(flight.mArrived, aForwarder.mPorts.mNow()).count() } });
    flight.mCaller.mAbort();
    RemoveFlight(aForwarder, flight);
  }
}

auto
ForgetEndpoint(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void
{
  aForwarder.mHealth.erase(aEndpoint);
  ForgetStatements(aForwarder, aEndpoint);
  aForwarder.mEndpointsByKey.erase(Checksum(aEndpoint.mValue));
}

/// Handles changes of endpoints in the view.
auto
NoteEndpoints(Forwarder& aForwarder,
              const std::vector<EndpointId>& aChanged,
              const std::string& aSource,
              bool aIsWhole) -> void
{
  for (const auto& id : aChanged) {
    const auto& notice = aForwarder.mView.mEntries.at(id).mNotice;
    LogEvent(kForwardEndpointEvent,
             { { "endpoint", id.mValue },
               { "service", notice.mService },
               { "address", notice.mAddress },
               { "state", static_cast<int>(notice.mState) },
               { "incarnation", notice.mIncarnation },
               { "source", aSource } });
    if (notice.mState == directory::NoticeState::Gone) {
      ForgetEndpoint(aForwarder, id);
    } else {
      aForwarder.mEndpointsByKey[Checksum(id.mValue)] = id;
      NoteWarmUpNotice(aForwarder, notice, aIsWhole);
    }
  }
}

auto
StartTick(Forwarder& aForwarder) -> void
{
  if (aForwarder.mTick != 0) {
    return;
  }
  aForwarder.mTick = aForwarder.mPorts.mTimers.mStart(
    aForwarder.mSettings.mCallerCheckInterval, [&aForwarder] {
      aForwarder.mTick = 0;
      DropDisconnectedCallers(aForwarder);
      NoteEndpoints(
        aForwarder,
        directory::RefreshView(aForwarder.mView, aForwarder.mPorts.mNow()),
        "",
        false);
      RenewReservations(aForwarder);
      SchedulePlacement(aForwarder, true);
      RepeatStatements(aForwarder);
      RepeatEvidence(aForwarder);
      SendLoadNotice(aForwarder, false);
      // NOTE: on an idle instance the timer stops, so that only external events
      // wake it.
      if (!aForwarder.mFlights.empty() || aForwarder.mIsNoticeDue ||
          !aForwarder.mSuspects.mUnconfirmed.empty()) {
        StartTick(aForwarder);
      }
    });
}

} // namespace

auto
AdmitFlight(Forwarder& aForwarder, Flight& aFlight) -> void
{
  aFlight.mIsUnadmitted = false;
  aForwarder.mPorts.mTimers.mStop(std::exchange(aFlight.mDeadlineTimer, 0));
  for (const auto filter : kAdmission) {
    if (const auto failure = filter(aForwarder, aFlight)) {
      FailFlight(aForwarder, aFlight, *failure);
      return;
    }
  }
  aFlight.mDeadlineTimer = aForwarder.mPorts.mTimers.mStart(
    aFlight.mDeadline - aForwarder.mPorts.mNow(),
    [&aForwarder, id = aFlight.mId] { OnDeadline(aForwarder, id); });
  PlaceFlight(aForwarder, aFlight);
}

auto
AddFlight(Forwarder& aForwarder,
          ForwardRequest aRequest,
          wire::CallerPort aCaller) -> Flight&
{
  auto created = std::make_unique<Flight>();
  auto& flight = *created;
  flight.mId = aForwarder.mNextFlight++;
  flight.mRequest = std::move(aRequest);
  flight.mCaller = std::move(aCaller);
  flight.mArrived = aForwarder.mPorts.mNow();
  aForwarder.mFlights.emplace(flight.mId, std::move(created));
  StartTick(aForwarder);
  return flight;
}

auto
ForwarderDeleter::operator()(Forwarder* aForwarder) const -> void
{
  AbandonRequests(*aForwarder);
  aForwarder->mPorts.mTimers.mStop(aForwarder->mTick);
  aForwarder->mPorts.mTimers.mStop(aForwarder->mPlacementTimer);
  delete aForwarder;
}

auto
CreateForwarder(ForwardSettings aSettings,
                ForwardPorts aPorts,
                std::uint64_t aSeed) -> ForwarderPtr
{
  auto forwarder = ForwarderPtr(new Forwarder);
  forwarder->mSettings = std::move(aSettings);
  forwarder->mView.mSettings = forwarder->mSettings.mView;
  forwarder->mPorts = std::move(aPorts);
  forwarder->mRandom.seed(aSeed);
  return forwarder;
}

auto
ApplyRouting(Forwarder& aForwarder,
             std::shared_ptr<const routing::RoutingTable> aTable) -> void
{
  const auto present = RoutingVersion(aForwarder);
  if (aTable->mDocument.mVersion <= present) {
    return;
  }
  LogEvent(kRoutingInForceEvent,
           { { "version", aTable->mDocument.mVersion },
             { "former_version", present },
             { "routes", aTable->mDocument.mRoutes.size() },
             { "services", aTable->mDocument.mServices.size() },
             { "accounts", routing::AccountsOf(aTable->mDocument).size() } });
  if (aForwarder.mTable == nullptr) {
    aForwarder.mDiscoverySettledAt =
      aForwarder.mPorts.mNow() + kDiscoverySettleTime;
  }
  aForwarder.mTable = std::move(aTable);
  auto services = std::set<std::string>{};
  for (const auto& it : aForwarder.mTable->mDocument.mServices) {
    services.insert(it.mName);
  }
  NoteEndpoints(aForwarder,
                directory::SetServices(aForwarder.mView, std::move(services)),
                "",
                false);
  auto unadmitted = std::vector<FlightId>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    if (flight->mIsUnadmitted) {
      unadmitted.push_back(id);
    }
  }
  for (const auto id : unadmitted) {
    AdmitFlight(aForwarder, *FindFlight(aForwarder, id));
  }
}

auto
RoutingVersion(const Forwarder& aForwarder) -> routing::Version
{
  return aForwarder.mTable ? aForwarder.mTable->mDocument.mVersion : 0;
}

auto
ApplyEndpoints(Forwarder& aForwarder, const directory::EndpointsUpdate& aUpdate)
  -> void
{
  const auto now = aForwarder.mPorts.mNow();
  NoteEndpoints(aForwarder,
                directory::ApplyUpdate(aForwarder.mView, aUpdate, now),
                aUpdate.mSource,
                aUpdate.mIsWhole);
  for (const auto& id : directory::PruneView(aForwarder.mView, now)) {
    ForgetEndpoint(aForwarder, id);
  }
  SchedulePlacement(aForwarder, true);
}

auto
RemoveSource(Forwarder& aForwarder, const std::string& aSource) -> void
{
  directory::RemoveSource(aForwarder.mView, aSource, aForwarder.mPorts.mNow());
}

auto
HandleRequest(Forwarder& aForwarder,
              ForwardRequest aRequest,
              wire::CallerPort aCaller) -> void
{
  ++aForwarder.mCounters.mRequests;
  auto& flight = AddFlight(aForwarder, std::move(aRequest), std::move(aCaller));
  if (aForwarder.mTable == nullptr) {
    WaitForDocument(aForwarder, flight);
    return;
  }
  AdmitFlight(aForwarder, flight);
}

auto
IsIdle(const Forwarder& aForwarder) -> bool
{
  return aForwarder.mFlights.empty();
}

auto
CountBufferedBytes(const Forwarder& aForwarder) -> std::size_t
{
  auto bytes = std::size_t{ 0 };
  for (const auto& [id, flight] : aForwarder.mFlights) {
    bytes += IsKept(*flight) ? 0 : flight->mAttempt.mBody.capacity();
  }
  return bytes;
}

auto
AbandonRequests(Forwarder& aForwarder) -> void
{
  while (!aForwarder.mFlights.empty()) {
    FailFlight(aForwarder,
               *aForwarder.mFlights.begin()->second,
               { FailureKind::NotReady, {} });
  }
}

auto
CountersOf(const Forwarder& aForwarder) -> const ForwardCounters&
{
  return aForwarder.mCounters;
}

auto
TimesOf(const Forwarder& aForwarder) -> const ForwardTimes&
{
  return aForwarder.mTimes;
}

auto
ParseFailureKind(std::string_view aText) -> std::optional<FailureKind>
{
  constexpr auto kLast = static_cast<int>(FailureKind::HarmfulRequest);
  for (auto i = 0; i <= kLast; ++i) {
    const auto kind = static_cast<FailureKind>(i);
    if (ToText(kind) == aText) {
      return kind;
    }
  }
  return std::nullopt;
}

auto
ToText(FailureKind aKind) -> std::string_view
{
  switch (aKind) {
    case FailureKind::BadRequest:
      return "bad_request";
    case FailureKind::UnknownKey:
      return "unknown_key";
    case FailureKind::NoRoute:
      return "no_route";
    case FailureKind::NotReady:
      return "not_ready";
    case FailureKind::NoCapacity:
      return "no_capacity";
    case FailureKind::EndpointFailed:
      return "endpoint_failed";
    case FailureKind::TimedOut:
      return "timed_out";
    case FailureKind::TooLate:
      return "too_late";
    case FailureKind::HarmfulRequest:
      return "harmful_request";
  }
  return "unknown";
}

} // namespace cuminslip::forwarding
