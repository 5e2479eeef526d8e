#include "gateway/gateway.h"

#include "base/digest.h"
#include "evacuation/evacuation.h"
#include "gateway/internal/gatewaystate.h"
#include "gateway/listener.h"
#include "gateway/types/gatewayevents.h"
#include "settings/keys.h"
#include "settings/settings.h"

#include <random>

namespace cuminslip::gateway {

namespace {

constexpr auto kOk = 200;
constexpr auto kNotFound = 404;
constexpr auto kRequestTimeout = 408;
constexpr auto kUnavailable = 503;
constexpr auto kMetricsPath = std::string_view("/metrics");
/// The platform may send callers for this long after a stop began: two of its
/// readiness probes, one second apart, and a margin.
constexpr auto kTrafficDrainTime = Millis(3500);
/// About as long as a request with a large body takes.
constexpr auto kMemoryRetryAfter = Millis(1000);
constexpr auto kStopCheckInterval = Millis(100);
constexpr auto kClosingCheckInterval = Millis(25);
constexpr auto kClosedRetryAfter = Millis(50);
/// Longer than callers keep idle connections, so that they close them first.
constexpr auto kIdleTimeout = Millis(30000);
/// An endpoint counts as silent after this many heartbeat intervals: one lost
/// heartbeat and a delay of one interval for the next.
constexpr auto kHeartbeatsToSilence = 3;

auto
MakeIncarnation() -> Incarnation
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
    std::chrono::duration_cast<Millis>(now).count());
}

auto
PeerAddressOf(const Settings& aSettings) -> std::string
{
  return aSettings.mListen.mPeer ? wire::FormatAddress(*aSettings.mListen.mPeer)
                                 : std::string{};
}

auto
SeedsOf(const Settings& aSettings) -> std::vector<PeerInstance>
{
  auto seeds = std::vector<PeerInstance>{};
  for (const auto& it : aSettings.mDiscovery.mSeeds) {
    const auto address = wire::FormatAddress(
      { it.mHost, static_cast<int>(aSettings.mDiscovery.mPeerPort) });
    seeds.push_back({ { address }, address, {} });
  }
  return seeds;
}

auto
MakePeerSettings(const Settings& aSettings) -> leaf::result<PeerSettings>
{
  BOOST_LEAF_AUTO(key, LoadPeerKey(aSettings));
  auto peers = PeerSettings{};
  peers.mMaxConnections = MaxPeerConnections(aSettings.mLimits);
  peers.mPeerKey = key;
  peers.mAddress = PeerAddressOf(aSettings);
  // NOTE: seeds identify instances by address only, so the address is the id.
  peers.mInstance = { peers.mAddress };
  peers.mFailureDomain = aSettings.mFailureDomain;
  if (HasRole(aSettings, Role::Control)) {
    peers.mDataFolder = aSettings.mDataFolder;
  }
  peers.mControlInstances = SeedsOf(aSettings);
  peers.mFollowsAllControls = true;
  peers.mMayFound = aSettings.mDiscovery.mMayFound;
  peers.mJoinRule = JoinRule::Automatic;
  const auto heartbeat = aSettings.mDiscovery.mHeartbeat;
  peers.mEndpointTable.mSilentAfter = heartbeat * kHeartbeatsToSilence;
  peers.mEndpointTable.mReturnSpan = heartbeat * 3 / 4;
  return peers;
}

auto
ApplyEvacuations(Gateway& aGateway, const StoredTemplate& aStored) -> void
{
  auto evacuations = CollectOutcome<evacuation::Evacuations>(
    [&] { return evacuation::ParseEvacuations(aStored.mDocument); });
  if (!evacuations.mValue) {
    LogEvent(kEvacuationsUnreadableEvent,
             { { "revision", aStored.mRevision },
               { "findings", FormatFindings(evacuations.mFindings) } });
    return;
  }
  forwarding::SetEvacuations(*aGateway.mForwarder,
                             std::move(*evacuations.mValue));
}

auto
ApplyTemplates(Gateway& aGateway, const TemplateUpdate& aUpdate) -> void
{
  for (const auto& it : aUpdate.mTemplates) {
    if (it.mAccount == kEvacuationsAccount) {
      ApplyEvacuations(aGateway, it);
    }
    if (it.mAccount != kRoutingAccount) {
      continue;
    }
    auto document = CollectOutcome<routing::RoutingDocument>(
      [&] { return ReadStoredRouting(aGateway.mAdapter, it); });
    if (!document.mValue) {
      LogEvent(kRoutingUnreadableEvent,
               { { "version", it.mVersion },
                 { "findings", FormatFindings(document.mFindings) } });
      continue;
    }
    forwarding::ApplyRouting(
      *aGateway.mForwarder,
      std::make_shared<const routing::RoutingTable>(
        routing::BuildRoutingTable(std::move(*document.mValue))));
  }
}

auto
MakePeerCallbacks(Gateway& aGateway) -> PeerCallbacks
{
  const auto post = [&aGateway](auto aAction) {
    wire::PostToLoop(*aGateway.mLoop, std::move(aAction));
  };
  auto callbacks = PeerCallbacks{};
  if (!HasRole(aGateway.mSettings, Role::Entry)) {
    return callbacks;
  }
  callbacks.mOnTemplates = [&aGateway, post](const TemplateUpdate& aUpdate) {
    post([&aGateway, update = aUpdate] { ApplyTemplates(aGateway, update); });
  };
  callbacks.mOnEndpoints = [&aGateway,
                            post](const directory::EndpointsUpdate& aUpdate) {
    post([&aGateway, update = aUpdate] {
      forwarding::ApplyEndpoints(*aGateway.mForwarder, update);
    });
  };
  callbacks.mOnSourceLost = [&aGateway, post](const std::string& aSource) {
    post([&aGateway, source = aSource] {
      forwarding::RemoveSource(*aGateway.mForwarder, source);
    });
  };
  callbacks.mOnEntries =
    [&aGateway, post](const std::vector<directory::EntryInstance>& aEntries) {
      post([&aGateway, entries = aEntries] {
        forwarding::SetEntries(*aGateway.mForwarder, entries);
      });
    };
  return callbacks;
}

auto
MakeForwardPorts(Gateway& aGateway) -> forwarding::ForwardPorts
{
  auto ports = forwarding::ForwardPorts{};
  ports.mNow = MonotonicNow;
  ports.mCodec = aGateway.mAdapter.mCodec;
  ports.mExchanges.mStart = [&aGateway](wire::Exchange aExchange,
                                        wire::ExchangeHandlers aHandlers) {
    return wire::StartExchange(
      *aGateway.mPool, std::move(aExchange), std::move(aHandlers));
  };
  ports.mExchanges.mCancel = [&aGateway](wire::ExchangeId aExchange) {
    wire::CancelExchange(*aGateway.mPool, aExchange);
  };
  ports.mTimers.mStart = [&aGateway](Micros aDelay,
                                     std::function<void()> aAction) {
    return wire::StartTimer(*aGateway.mLoop, aDelay, std::move(aAction));
  };
  ports.mTimers.mStop = [&aGateway](wire::TimerId aTimer) {
    wire::StopTimer(*aGateway.mLoop, aTimer);
  };
  ports.mSendNotice = [&aGateway](const std::string& aAddress,
                                  const std::string& aBytes) {
    // NOTE: a lost notice is superseded by the next one.
    if (const auto address = wire::ParseAddress(aAddress)) {
      wire::SendDatagram(*aGateway.mDatagrams, *address, aBytes);
    }
  };
  return ports;
}

/// Returns what instances show each other with relayed requests: not the peer
/// key itself, which relays would pass on.
auto
RelayKeyFrom(const std::string& aPeerKey) -> std::string
{
  return Sha256Hex("relay " + aPeerKey);
}

auto
MakeForwarder(Gateway& aGateway) -> leaf::result<forwarding::ForwarderPtr>
{
  const auto& settings = aGateway.mSettings;
  auto forward = forwarding::ForwardSettings{};
  forward.mFailureDomain = settings.mFailureDomain;
  forward.mPeerAddress = PeerAddressOf(settings);
  forward.mIncarnation = aGateway.mIncarnation;
  forward.mRetryBudget.mRatio = settings.mRetries.mRatio;
  forward.mRetryBudget.mSlack = settings.mRetries.mSlack;
  forward.mRetryBudget.mWindow = settings.mRetries.mWindow;
  forward.mView.mSilentAfter =
    settings.mDiscovery.mHeartbeat * kHeartbeatsToSilence;
  if (settings.mOverload.mDefersLate) {
    forward.mDeferral.emplace();
  }
  if (settings.mWarmUp) {
    forward.mWarmUp = { settings.mWarmUp->mOvershoot,
                        settings.mWarmUp->mSlack,
                        settings.mDiscovery.mHeartbeat };
  }
  if (settings.mOverload.mOrdersWork) {
    forward.mOrder.emplace();
  }
  if (settings.mListen.mRelay) {
    BOOST_LEAF_AUTO(key, LoadPeerKey(settings));
    forward.mRelayPort = settings.mListen.mRelay->mPort;
    forward.mRelayKey = RelayKeyFrom(key);
  }
  return forwarding::CreateForwarder(
    std::move(forward), MakeForwardPorts(aGateway), std::random_device{}());
}

auto
IsReady(const Gateway& aGateway) -> bool
{
  return !aGateway.mIsStopping && aGateway.mPeers->Status().mIsReady &&
         (!aGateway.mForwarder ||
          forwarding::RoutingVersion(*aGateway.mForwarder) > 0);
}

auto
HandlePlatformCall(Gateway& aGateway,
                   const wire::HttpRequest& aRequest,
                   const wire::ResponderPtr& aResponder) -> void
{
  if (aRequest.mPath == kMetricsPath) {
    wire::SendResponse(aResponder, { kOk, {}, MetricsText(aGateway) });
    return;
  }
  if (aRequest.mPath != aGateway.mAdapter.mReadyPath) {
    wire::SendResponse(aResponder, { kNotFound, {}, "" });
    return;
  }
  const auto isReady = IsReady(aGateway);
  if (isReady && !aGateway.mWasReady) {
    aGateway.mWasReady = true;
    LogEvent(
      kGatewayReadyEvent,
      { { "version", forwarding::RoutingVersion(*aGateway.mForwarder) } });
  }
  wire::SendResponse(aResponder, { isReady ? kOk : kUnavailable, {}, "" });
}

/// Serves a request that another instance sends through this one.
auto
HandleRelay(Gateway& aGateway,
            const wire::HttpRequest& aRequest,
            const wire::ResponderPtr& aResponder) -> void
{
  const auto isAccepting = !aGateway.mIsStopping && !aGateway.mIsClosed &&
                           TakeBody(aGateway.mMemory, aRequest.mBody.size());
  forwarding::HandleRelayedRequest(*aGateway.mForwarder,
                                   aGateway.mAdapter.mReadRequest(aRequest),
                                   isAccepting,
                                   wire::PortOf(aResponder));
}

using Handler = auto(*)(Gateway&,
                        const wire::HttpRequest&,
                        const wire::ResponderPtr&) -> void;

auto
BindHandler(Gateway& aGateway, Handler aHandler) -> wire::RequestHandler
{
  return [&aGateway, aHandler](const wire::HttpRequest& aRequest,
                               const wire::ResponderPtr& aResponder) {
    aHandler(aGateway, aRequest, aResponder);
  };
}

auto
StartGatewayListener(Gateway& aGateway,
                     const std::optional<wire::SocketAddress>& aAddress,
                     wire::RequestHandler aHandler,
                     wire::RefusalWriter aWriteRefusal = nullptr)
  -> leaf::result<wire::HttpServerPtr>
{
  return StartListener(
    *aGateway.mLoop,
    aAddress,
    aGateway.mSettings.mLimits,
    { kIdleTimeout, aGateway.mMemory.mBudget, std::move(aWriteRefusal) },
    std::move(aHandler));
}

/// Returns the answer to another instance whose request is refused before it is
/// whole.
auto
WriteRelayRefusal(const Gateway& aGateway,
                  const wire::HttpRequest& aRequest,
                  int aStatus) -> wire::HttpResponse
{
  // NOTE: other statuses would leave open whether the request has run.
  const auto isForOthers =
    aStatus == kUnavailable || aStatus == kRequestTimeout;
  return isForOthers
           ? forwarding::RefuseRelay(*aGateway.mForwarder,
                                     aGateway.mAdapter.mReadRequest(aRequest))
           : wire::HttpResponse{ aStatus, {}, "" };
}

using Refusal = auto(*)(const Gateway&, const wire::HttpRequest&, int)
                  -> wire::HttpResponse;

auto
BindRefusal(const Gateway& aGateway, Refusal aWrite) -> wire::RefusalWriter
{
  return [&aGateway, aWrite](const wire::HttpRequest& aRequest, int aStatus) {
    return aWrite(aGateway, aRequest, aStatus);
  };
}

auto
StartListeners(Gateway& aGateway) -> leaf::result<void>
{
  const auto& listen = aGateway.mSettings.mListen;
  const auto refuseWhenClosed = [&aGateway](Handler aHandler) {
    return RefuseWhenClosed(aGateway.mIsClosed,
                            BindHandler(aGateway, aHandler));
  };
  BOOST_LEAF_ASSIGN(
    aGateway.mCallerServer,
    StartGatewayListener(aGateway,
                         listen.mCaller,
                         BindHandler(aGateway, HandleCaller),
                         BindRefusal(aGateway, WriteCallerRefusal)));
  BOOST_LEAF_ASSIGN(aGateway.mOperatorServer,
                    StartGatewayListener(aGateway,
                                         listen.mOperator,
                                         refuseWhenClosed(HandleControlCall)));
  BOOST_LEAF_ASSIGN(aGateway.mPlatformServer,
                    StartGatewayListener(aGateway,
                                         listen.mPlatform,
                                         refuseWhenClosed(HandlePlatformCall)));
  if (aGateway.mForwarder) {
    BOOST_LEAF_ASSIGN(
      aGateway.mRelayServer,
      StartGatewayListener(aGateway,
                           listen.mRelay,
                           BindHandler(aGateway, HandleRelay),
                           BindRefusal(aGateway, WriteRelayRefusal)));
  }
  return {};
}

auto
StartForwarding(Gateway& aGateway) -> leaf::result<void>
{
  if (!HasRole(aGateway.mSettings, Role::Entry)) {
    return {};
  }
  auto pool = wire::PoolSettings{};
  pool.mMayHold = [&aGateway](std::size_t aMore) {
    return MayKeepAnswer(aGateway.mMemory, aMore);
  };
  aGateway.mPool = wire::CreateConnectionPool(*aGateway.mLoop, std::move(pool));
  BOOST_LEAF_ASSIGN(aGateway.mForwarder, MakeForwarder(aGateway));
  aGateway.mMemory.mCountAnswers = [&aGateway] {
    return wire::HeldBytes(*aGateway.mPool) +
           forwarding::CountBufferedBytes(*aGateway.mForwarder);
  };
  BOOST_LEAF_ASSIGN(aGateway.mDatagrams,
                    wire::OpenDatagrams(*aGateway.mLoop,
                                        *aGateway.mSettings.mListen.mPeer,
                                        [&aGateway](std::string_view aBytes) {
                                          forwarding::HandleLoadNotice(
                                            *aGateway.mForwarder, aBytes);
                                        }));
  return {};
}

auto
UnsentBytesOf(const wire::HttpServerPtr& aServer) -> std::size_t
{
  return aServer == nullptr ? 0 : wire::UnsentBytes(*aServer);
}

/// Bytes of answers that callers and other instances have still to be sent.
auto
CountUnsentBytes(const Gateway& aGateway) -> std::size_t
{
  return UnsentBytesOf(aGateway.mCallerServer) +
         UnsentBytesOf(aGateway.mRelayServer);
}

/// Number of callers and other instances that do not have their whole answers.
auto
CountOpenResponses(const Gateway& aGateway) -> std::size_t
{
  auto count = std::size_t{ 0 };
  for (const auto* server :
       { aGateway.mCallerServer.get(), aGateway.mRelayServer.get() }) {
    count += server == nullptr ? 0 : wire::CountOpenResponses(*server);
  }
  return count;
}

auto
CountOpenConnections(const Gateway& aGateway) -> std::size_t
{
  auto count = std::size_t{ 0 };
  for (const auto* server :
       { aGateway.mCallerServer.get(), aGateway.mRelayServer.get() }) {
    count += server == nullptr ? 0 : wire::CountConnections(*server);
  }
  return count;
}

/// Ends the loop once all connections are closed, at aLimit at the latest.
auto
CheckClosed(Gateway& aGateway, TimePoint aLimit) -> void
{
  const auto connections = CountOpenConnections(aGateway);
  if (connections > 0 && MonotonicNow() < aLimit) {
    wire::StartTimer(*aGateway.mLoop,
                     kClosingCheckInterval,
                     [&aGateway, aLimit] { CheckClosed(aGateway, aLimit); });
    return;
  }
  LogEvent(kGatewayClosedEvent,
           { { "connections", connections },
             { "refused", aGateway.mRefusedClosed },
             { "unsent_bytes", CountUnsentBytes(aGateway) } });
  wire::StopLoop(*aGateway.mLoop);
}

auto
CheckStopped(Gateway& aGateway) -> void
{
  const auto age = MillisBetween(aGateway.mStopBegan, MonotonicNow());
  const auto isLate = age >= aGateway.mSettings.mLimits.mStopTime;
  const auto isDrained =
    !aGateway.mForwarder ||
    (age >= kTrafficDrainTime && forwarding::IsIdle(*aGateway.mForwarder));
  // NOTE: a request ends with its answer's last byte, which a caller that reads
  // slowly takes long after the forwarder has passed it on.
  const auto isIdle = isDrained && CountOpenResponses(aGateway) == 0;
  if (!isIdle && !isLate) {
    wire::StartTimer(*aGateway.mLoop, kStopCheckInterval, [&aGateway] {
      CheckStopped(aGateway);
    });
    return;
  }
  LogEvent(kGatewayClosingEvent,
           { { "age_ms", age.count() },
             { "requests", CountOpenResponses(aGateway) },
             { "connections", CountOpenConnections(aGateway) },
             { "unsent_bytes", CountUnsentBytes(aGateway) } });
  CloseGateway(aGateway);
  CheckClosed(aGateway, MonotonicNow() + kClosingTime);
}

} // namespace

auto
WriteCallerRefusal(const Gateway& aGateway,
                   const wire::HttpRequest& aRequest,
                   int aStatus) -> wire::HttpResponse
{
  return aStatus == kUnavailable
           ? aGateway.mAdapter.mCodec.mWriteFailure(
               aGateway.mAdapter.mReadRequest(aRequest),
               { forwarding::FailureKind::NoCapacity, kMemoryRetryAfter })
           : wire::HttpResponse{ aStatus, {}, "" };
}

auto
HandleCaller(Gateway& aGateway,
             const wire::HttpRequest& aRequest,
             const wire::ResponderPtr& aResponder) -> void
{
  auto request = aGateway.mAdapter.mReadRequest(aRequest);
  if (aGateway.mIsClosed) {
    ++aGateway.mRefusedClosed;
    wire::SendResponse(
      aResponder,
      aGateway.mAdapter.mCodec.mWriteFailure(
        request, { forwarding::FailureKind::NotReady, kClosedRetryAfter }));
    return;
  }
  if (!TakeBody(aGateway.mMemory, request.mHttp.mBody.size())) {
    wire::SendResponse(aResponder,
                       WriteCallerRefusal(aGateway, aRequest, kUnavailable));
    return;
  }
  forwarding::HandleRequest(
    *aGateway.mForwarder, std::move(request), wire::PortOf(aResponder));
}

auto
CloseGateway(Gateway& aGateway) -> void
{
  aGateway.mIsClosed = true;
  if (aGateway.mForwarder) {
    forwarding::AbandonRequests(*aGateway.mForwarder);
  }
  for (auto* server :
       { aGateway.mCallerServer.get(), aGateway.mRelayServer.get() }) {
    if (server != nullptr) {
      wire::CloseAfterAnswers(*server);
      wire::StopAccepting(*server);
    }
  }
}

auto
GatewayDeleter::operator()(Gateway* aGateway) const -> void
{
  CloseGateway(*aGateway);
  // NOTE: the end of the peer task takes a while, in which the loop would not
  // answer.
  aGateway->mCallerServer.reset();
  aGateway->mRelayServer.reset();
  aGateway->mPeers.reset();
  aGateway->mOperatorServer.reset();
  aGateway->mPlatformServer.reset();
  aGateway->mForwarder.reset();
  delete aGateway;
}

auto
StartGateway(Settings aSettings, Adapter aAdapter) -> leaf::result<GatewayPtr>
{
  auto gateway = GatewayPtr(new Gateway);
  gateway->mSettings = std::move(aSettings);
  gateway->mAdapter = std::move(aAdapter);
  gateway->mIncarnation = MakeIncarnation();
  gateway->mLoop = wire::CreateEventLoop();
  SetUpClientMemory(
    gateway->mMemory, *gateway->mLoop, gateway->mSettings.mLimits);
  if (auto front = StartForwarding(*gateway); !front) {
    return front.error();
  }
  BOOST_LEAF_AUTO(peers, MakePeerSettings(gateway->mSettings));
  BOOST_LEAF_ASSIGN(
    gateway->mPeers,
    StartPeerTask(std::move(peers), MakePeerCallbacks(*gateway)));
  if (auto listening = StartListeners(*gateway); !listening) {
    return listening.error();
  }
  LogEvent(kGatewayStartedEvent,
           { { "failure_domain", gateway->mSettings.mFailureDomain.mValue },
             { "region", gateway->mSettings.mRegion.mValue },
             { "incarnation", gateway->mIncarnation },
             { "is_control", HasRole(gateway->mSettings, Role::Control) } });
  return gateway;
}

auto
RunGateway(Gateway& aGateway) -> void
{
  wire::RunLoop(*aGateway.mLoop);
  LogEvent(kGatewayStopEndedEvent, {});
}

auto
StopGateway(Gateway& aGateway) -> void
{
  wire::PostToLoop(*aGateway.mLoop, [&aGateway] {
    if (std::exchange(aGateway.mIsStopping, true)) {
      return;
    }
    LogEvent(kGatewayStopBeganEvent, {});
    aGateway.mStopBegan = MonotonicNow();
    if (aGateway.mForwarder) {
      forwarding::BeginStop(*aGateway.mForwarder,
                            aGateway.mStopBegan +
                              aGateway.mSettings.mLimits.mStopTime);
    }
    if (aGateway.mCallerServer) {
      wire::CloseAfterAnswers(*aGateway.mCallerServer);
    }
    if (aGateway.mRelayServer) {
      wire::CloseAfterAnswers(*aGateway.mRelayServer);
    }
    CheckStopped(aGateway);
  });
}

auto
ReloadGateway(Gateway& aGateway, const std::string& aPath) -> void
{
  wire::PostToLoop(*aGateway.mLoop, [&aGateway, aPath] {
    const auto settings =
      CollectOutcome<Settings>([&] { return LoadSettings(aPath); });
    if (!settings.mValue) {
      LogEvent(kSeedsRefusedEvent,
               { { "findings", FormatFindings(settings.mFindings) } });
      return;
    }
    aGateway.mSettings.mDiscovery = settings.mValue->mDiscovery;
    const auto seeds = SeedsOf(aGateway.mSettings);
    LogEvent(kSeedsChangedEvent, { { "seeds", seeds.size() } });
    aGateway.mPeers->AddControls(seeds);
  });
}

} // namespace cuminslip::gateway
