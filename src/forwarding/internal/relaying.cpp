#include "forwarding/internal/relaying.h"

#include "forwarding/internal/harmfulrequests.h"

#include "forwarding/types/forwardevents.h"

#include <algorithm>
#include <charconv>

namespace cuminslip::forwarding {

namespace {

constexpr auto kKeyHeader = std::string_view("cuminslip-relay-key");
constexpr auto kFromHeader = std::string_view("cuminslip-relay-from");
constexpr auto kSendsHeader = std::string_view("cuminslip-relay-sends");
constexpr auto kRanHeader = std::string_view("cuminslip-relay-ran");
constexpr auto kFailureHeader = std::string_view("cuminslip-relay-failure");
constexpr auto kRetryHeader = std::string_view("cuminslip-relay-retry-ms");
/// The other instance has not taken the request, so that a third one may.
constexpr auto kRefused = std::string_view("refused");
constexpr auto kMayHaveRun = std::string_view("unknown");
constexpr auto kHasNotRun = std::string_view("no");

/// Instances that one request is sent through at most.
constexpr auto kMaxRelays = std::size_t{ 3 };
/// A request that found no connection at this many endpoints is sent through
/// another instance even if this one is not known to be cut off.
constexpr auto kMaxUnconnected = std::size_t{ 3 };
/// Of these, the first is in the own failure domain, the second is not.
constexpr auto kMaxFallbackRelays = std::size_t{ 2 };
/// A service that is down is not asked for at others with each request.
constexpr auto kServicePause = Millis(2000);
constexpr auto kAvoidTime = Millis(1000);
constexpr auto kRelayRetry = Millis(250);
/// The other instance's failure arrives before the deadline here.
constexpr auto kDeadlineMargin = Millis(10);
/// Longer prompts occupy engines, and are no means to try an endpoint.
constexpr auto kLongestTrial = std::int64_t{ 25000 };

auto
ParseCount(const std::optional<std::string>& aText) -> std::optional<int>
{
  auto number = 0;
  if (!aText) {
    return std::nullopt;
  }
  const auto* end = aText->data() + aText->size();
  const auto [rest, ec] = std::from_chars(aText->data(), end, number);
  const auto isValid = ec == std::errc{} && rest == end && number >= 0;
  return isValid ? std::optional(number) : std::nullopt;
}

auto
CountInService(const Forwarder& aForwarder) -> std::size_t
{
  const auto& entries = aForwarder.mView.mEntries;
  return static_cast<std::size_t>(
    std::count_if(entries.begin(), entries.end(), [](const auto& aItem) {
      return aItem.second.mNotice.mState == directory::NoticeState::Ready;
    }));
}

/// Forgets the ejections of endpoints: they tell of the way to them, not of the
/// endpoints.
auto
ClearEjections(Forwarder& aForwarder) -> void
{
  for (auto& [id, health] : aForwarder.mHealth) {
    health.mFailuresInRow = 0;
    health.mEjectedUntil = {};
  }
}

auto
IsAvoided(const Forwarder& aForwarder, const std::string& aRelay) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  const auto avoided = aForwarder.mAvoidedRelays.find(aRelay);
  if (avoided != aForwarder.mAvoidedRelays.end() && now < avoided->second) {
    return true;
  }
  const auto remote = aForwarder.mRemote.find(aRelay);
  return remote != aForwarder.mRemote.end() && remote->second.mIsCutOff &&
         now - remote->second.mHeard <= aForwarder.mSettings.mMaxNoticeAge;
}

/// Returns the peer address of the instance to send the flight through, or an
/// empty text.
auto
FindRelay(Forwarder& aForwarder, const Flight& aFlight) -> std::string
{
  auto inFlight = std::map<std::string_view, std::size_t>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    ++inFlight[flight->mAttempt.mRelay];
  }
  auto candidates = std::vector<RelayCandidate>{};
  for (const auto& it : aForwarder.mEntries) {
    const auto isLeftOut =
      it.mPeerAddress == aForwarder.mSettings.mPeerAddress ||
      aFlight.mTriedRelays.contains(it.mPeerAddress);
    const auto isNear =
      it.mFailureDomain == aForwarder.mSettings.mFailureDomain;
    candidates.push_back({ isNear == aFlight.mTriedRelays.empty(),
                           isLeftOut || IsAvoided(aForwarder, it.mPeerAddress),
                           inFlight[it.mPeerAddress],
                           aForwarder.mRandom() });
  }
  const auto chosen = ChooseRelay(candidates);
  return chosen ? aForwarder.mEntries[*chosen].mPeerAddress : std::string{};
}

/// Returns true if the flight is sent to an endpoint here to learn whether one
/// is reached again.
auto
BeginReachTrial(Forwarder& aForwarder, Flight& aFlight) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  const auto tokens =
    aFlight.mRequest.mPrompt.value_or(PromptFacts{}).mPromptTokens;
  const auto isFit =
    aFlight.mSends == 0 && !aFlight.mHasStarted && tokens <= kLongestTrial;
  if (!isFit ||
      !IsReachTrialDue(aForwarder.mReach, now, aForwarder.mSettings.mReach)) {
    return false;
  }
  aForwarder.mReach.mTriedAt = now;
  aFlight.mIsReachTrial = true;
  return true;
}

auto
ShouldRelay(Forwarder& aForwarder, Flight& aFlight) -> bool
{
  if (aForwarder.mSettings.mRelayPort == 0 || aFlight.mIsRelayed) {
    return false;
  }
  if (!aForwarder.mReach.mIsLost) {
    const auto paused =
      aForwarder.mUnreachedServices.find(aFlight.mService->mName);
    const auto isPaused = paused != aForwarder.mUnreachedServices.end() &&
                          aForwarder.mPorts.mNow() < paused->second;
    return aFlight.mUnconnected >= kMaxUnconnected && !isPaused &&
           aFlight.mTriedRelays.size() < kMaxFallbackRelays;
  }
  const auto isTrial = aFlight.mIsReachTrial && aFlight.mUnconnected == 0;
  return !isTrial && !BeginReachTrial(aForwarder, aFlight);
}

auto
MakeRelayExchange(const Forwarder& aForwarder,
                  const Flight& aFlight,
                  const std::string& aRelay) -> wire::Exchange
{
  const auto now = aForwarder.mPorts.mNow();
  auto facts = AttemptParameters{};
  facts.mAllowance = std::max(
    MillisBetween(now, aFlight.mDeadline) - kDeadlineMargin, Millis(1));
  facts.mLastEvent =
    aFlight.mHasStarted ? aFlight.mLastEvent : aFlight.mRequest.mLastEvent;
  auto exchange = MakeExchange(aForwarder, aRelay);
  exchange.mAddress.mPort = aForwarder.mSettings.mRelayPort;
  exchange.mConnectTimeout = aForwarder.mSettings.mMinConnectTimeout;
  exchange.mRequest = aFlight.mRequest.mHttp;
  exchange.mRequest.mHeaders =
    aForwarder.mPorts.mCodec.mWriteHeaders(aFlight.mRequest, facts);
  const auto add = [&](std::string_view aName, std::string aValue) {
    exchange.mRequest.mHeaders.push_back(
      { std::string(aName), std::move(aValue) });
  };
  if (!aFlight.mRequest.mKey.empty()) {
    add("authorization", "Bearer " + aFlight.mRequest.mKey);
  }
  add(kKeyHeader, aForwarder.mSettings.mRelayKey);
  add(kFromHeader, aForwarder.mSettings.mPeerAddress);
  add(kSendsHeader, std::to_string(aFlight.mSends));
  add(kRanHeader, std::string(aFlight.mMayHaveRun ? kMayHaveRun : kHasNotRun));
  exchange.mEcho = aForwarder.mPorts.mCodec.mEchoOf(aFlight.mRequest);
  exchange.mIsKept = IsKept(aFlight);
  return exchange;
}

/// Returns the priority of a request, 0 for the highest: that of its client
/// account, or of its route.
auto
PriorityOf(const Forwarder& aForwarder, const ForwardRequest& aRequest) -> int
{
  const auto& table = *aForwarder.mTable;
  const auto* account = routing::FindAccount(table, aRequest.mKey);
  if (account != nullptr && account->mPriority) {
    return *account->mPriority;
  }
  const auto* route =
    routing::FindRoute(table, aRequest.mHttp.mHost, aRequest.mHttp.mPath);
  return route == nullptr ? 0 : route->mPriority;
}

/// Returns why a relayed request is refused, or an empty text.
auto
FindRelayObstacle(const Forwarder& aForwarder,
                  const ForwardRequest& aRequest,
                  bool aIsAccepting) -> std::string_view
{
  const auto& settings = aForwarder.mSettings;
  const auto key = wire::FindHeader(aRequest.mHttp.mHeaders, kKeyHeader);
  if (settings.mRelayKey.empty() ||
      !EqualsConstantTime(key.value_or(""), settings.mRelayKey)) {
    return "wrong key";
  }
  if (!aIsAccepting || aForwarder.mTable == nullptr) {
    return "not in service";
  }
  if (aForwarder.mReach.mIsLost) {
    return "reaches no endpoint";
  }
  const auto relayed =
    std::count_if(aForwarder.mFlights.begin(),
                  aForwarder.mFlights.end(),
                  [](const auto& aItem) { return aItem.second->mIsRelayed; });
  if (!MayAcceptRelayed(static_cast<std::size_t>(relayed),
                        PriorityOf(aForwarder, aRequest),
                        settings.mRelay)) {
    return "busy";
  }
  return {};
}

/// Returns true if another instance may serve a request that failed here: it
/// may reach endpoints, or have another routing document.
auto
MayServeElsewhere(const Forwarder& aForwarder,
                  const Flight& aFlight,
                  FailureKind aKind) -> bool
{
  switch (aKind) {
    case FailureKind::UnknownKey:
    case FailureKind::NoRoute:
    case FailureKind::NotReady:
      return true;
    case FailureKind::NoCapacity:
      return aForwarder.mReach.mIsLost || aFlight.mUnconnected > 0;
    case FailureKind::BadRequest:
    case FailureKind::EndpointFailed:
    case FailureKind::TimedOut:
    case FailureKind::TooLate:
    case FailureKind::HarmfulRequest:
      return false;
  }
  return false;
}

auto
AddHeader(wire::HttpResponse& aResponse,
          std::string_view aName,
          std::string aValue) -> void
{
  aResponse.mHeaders.push_back({ std::string(aName), std::move(aValue) });
}

} // namespace

auto
NoteUnreached(Forwarder& aForwarder, const Flight& aFlight) -> void
{
  const auto wasLost = aForwarder.mReach.mIsLost;
  aForwarder.mReach = AddUnreached(std::move(aForwarder.mReach),
                                   Checksum(aFlight.mAttempt.mEndpoint.mValue),
                                   Checksum(aFlight.mService->mName),
                                   CountInService(aForwarder),
                                   aForwarder.mPorts.mNow(),
                                   aForwarder.mSettings.mReach);
  if (wasLost || !aForwarder.mReach.mIsLost) {
    return;
  }
  LogEvent(kReachLostEvent,
           { { "unreached", aForwarder.mReach.mUnreached.size() },
             { "endpoints", CountInService(aForwarder) } });
  ClearEjections(aForwarder);
  DropUnconfirmedEnds(aForwarder);
  aForwarder.mIsNoticeDue = true;
  SendLoadNotice(aForwarder, true);
  SchedulePlacement(aForwarder, true);
}

auto
NoteReached(Forwarder& aForwarder, TimePoint aSentAt) -> void
{
  const auto wasLost = aForwarder.mReach.mIsLost;
  const auto since = aForwarder.mReach.mFailingSince;
  aForwarder.mReach = AddReached(aForwarder.mReach, aSentAt);
  if (!wasLost || aForwarder.mReach.mIsLost) {
    return;
  }
  const auto lost = MillisBetween(since, aForwarder.mPorts.mNow());
  LogEvent(kReachRegainedEvent, { { "lost_ms", lost.count() } });
  ClearEjections(aForwarder);
  aForwarder.mIsNoticeDue = true;
  SendLoadNotice(aForwarder, true);
}

auto
RelayFlight(Forwarder& aForwarder, Flight& aFlight) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  if (now >= aFlight.mDeadline || !ShouldRelay(aForwarder, aFlight)) {
    return false;
  }
  const auto relay = aFlight.mTriedRelays.size() < kMaxRelays
                       ? FindRelay(aForwarder, aFlight)
                       : std::string{};
  const auto isHopeless =
    relay.empty() && aForwarder.mReach.mIsLost && !aFlight.mTriedRelays.empty();
  if (isHopeless) {
    FailFlight(aForwarder, aFlight, { FailureKind::NoCapacity, kRelayRetry });
    return true;
  }
  if (relay.empty()) {
    return false;
  }
  auto exchange = MakeRelayExchange(aForwarder, aFlight, relay);
  ++aFlight.mSends;
  ++aForwarder.mCounters.mRelayed;
  aFlight.mTriedRelays.insert(relay);
  aFlight.mIsWaiting = false;
  aFlight.mAttempt = {};
  aFlight.mAttempt.mRelay = relay;
  aFlight.mAttempt.mSentAt = now;
  LogEvent(kForwardRelayedEvent,
           { { "request", aFlight.mRequest.mId.mValue },
             { "relay", relay },
             { "is_cut_off", aForwarder.mReach.mIsLost },
             { "unconnected", aFlight.mUnconnected },
             { "send", aFlight.mSends } });
  aFlight.mAttempt.mExchange = aForwarder.mPorts.mExchanges.mStart(
    std::move(exchange), MakeHandlers(aForwarder, aFlight.mId));
  return true;
}

auto
HandleRelayFailure(Forwarder& aForwarder,
                   Flight& aFlight,
                   const wire::Headers& aHeaders) -> bool
{
  const auto text = wire::FindHeader(aHeaders, kFailureHeader);
  if (!text) {
    return false;
  }
  aForwarder.mPorts.mExchanges.mCancel(
    std::exchange(aFlight.mAttempt.mExchange, 0));
  if (*text == kRefused) {
    RecoverRelay(aForwarder,
                 aFlight,
                 SendOutcome::RefusedNotRun,
                 "the other instance refused");
    return true;
  }
  const auto kind = ParseFailureKind(*text);
  const auto mayHaveRun = !kind || *kind == FailureKind::EndpointFailed ||
                          *kind == FailureKind::TimedOut;
  aFlight.mMayHaveRun |= mayHaveRun;
  auto failure = Failure{ kind.value_or(FailureKind::EndpointFailed), {} };
  if (const auto retry = ParseCount(wire::FindHeader(aHeaders, kRetryHeader))) {
    failure.mRetryAfter = Millis(*retry);
  }
  FailFlight(aForwarder, aFlight, failure);
  return true;
}

auto
RecoverRelay(Forwarder& aForwarder,
             Flight& aFlight,
             SendOutcome aOutcome,
             std::string_view aReason) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  const auto verdict = ClassifyOutcome(aOutcome);
  const auto relay = aFlight.mAttempt.mRelay;
  aFlight.mMayHaveRun |= verdict != RunVerdict::NotRun;
  LogEvent(kRelayFailedEvent,
           { { "request", aFlight.mRequest.mId.mValue },
             { "relay", relay },
             { "reason", aReason },
             { "ran", verdict == RunVerdict::NotRun ? "no" : "unknown" },
             { "events", aFlight.mEvents },
             { "sent_ms_ago",
               MillisBetween(aFlight.mAttempt.mSentAt, now).count() } });
  std::erase_if(aForwarder.mAvoidedRelays,
                [&](const auto& aItem) { return now >= aItem.second; });
  aForwarder.mAvoidedRelays[relay] = now + kAvoidTime;
  if (verdict == RunVerdict::NotRun) {
    --aFlight.mSends;
  }
  aFlight.mAttempt.mRelay.clear();
  const auto isDown = !aForwarder.mReach.mIsLost &&
                      aFlight.mTriedRelays.size() >= kMaxFallbackRelays;
  if (isDown) {
    aForwarder.mUnreachedServices[aFlight.mService->mName] =
      now + kServicePause;
  }
  if (MayRepeatFlight(aForwarder, aFlight, aOutcome)) {
    PlaceFlight(aForwarder, aFlight);
    return;
  }
  FailFlight(aForwarder, aFlight, { FailureKind::NoCapacity, kRelayRetry });
}

auto
WriteRelayFailure(const Forwarder& aForwarder,
                  const Flight& aFlight,
                  const Failure& aFailure,
                  wire::HttpResponse& aResponse) -> void
{
  const auto isForOthers =
    MayServeElsewhere(aForwarder, aFlight, aFailure.mKind);
  AddHeader(aResponse,
            kFailureHeader,
            std::string(isForOthers ? kRefused : ToText(aFailure.mKind)));
  if (aFailure.mRetryAfter) {
    AddHeader(
      aResponse, kRetryHeader, std::to_string(aFailure.mRetryAfter->count()));
  }
}

auto
RefuseRelay(const Forwarder& aForwarder, const ForwardRequest& aRequest)
  -> wire::HttpResponse
{
  auto response = aForwarder.mPorts.mCodec.mWriteFailure(
    aRequest, { FailureKind::NotReady, kRelayRetry });
  AddHeader(response, kFailureHeader, std::string(kRefused));
  return response;
}

auto
HandleRelayedRequest(Forwarder& aForwarder,
                     ForwardRequest aRequest,
                     bool aIsAccepting,
                     wire::CallerPort aCaller) -> void
{
  const auto& headers = aRequest.mHttp.mHeaders;
  const auto from = wire::FindHeader(headers, kFromHeader).value_or("");
  const auto obstacle = FindRelayObstacle(aForwarder, aRequest, aIsAccepting);
  if (!obstacle.empty()) {
    ++aForwarder.mCounters.mRelaysRefused;
    LogEvent(kRelayRefusedEvent,
             { { "request", aRequest.mId.mValue },
               { "from", from },
               { "reason", obstacle } });
    aCaller.mRespond(RefuseRelay(aForwarder, aRequest));
    return;
  }
  const auto sends = ParseCount(wire::FindHeader(headers, kSendsHeader));
  const auto ran = wire::FindHeader(headers, kRanHeader);
  std::erase_if(aRequest.mHttp.mHeaders, [](const auto& aItem) {
    return aItem.mName.starts_with(kRelayHeaderPrefix);
  });
  ++aForwarder.mCounters.mRelaysAccepted;
  LogEvent(kRelayAcceptedEvent,
           { { "request", aRequest.mId.mValue },
             { "from", from },
             { "sends", sends.value_or(0) } });
  auto& flight = AddFlight(aForwarder, std::move(aRequest), std::move(aCaller));
  flight.mIsRelayed = true;
  flight.mSends = sends.value_or(0);
  flight.mMayHaveRun = ran != kHasNotRun;
  AdmitFlight(aForwarder, flight);
}

auto
IsCutOff(const Forwarder& aForwarder) -> bool
{
  return aForwarder.mReach.mIsLost;
}

} // namespace cuminslip::forwarding
