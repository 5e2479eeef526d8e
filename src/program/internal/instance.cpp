#include "program/instance.h"

#include "base/digest.h"
#include "gateway/listener.h"
#include "program/internal/handlers.h"
#include "program/internal/reload.h"
#include "program/types/programevents.h"
#include "settings/keys.h"
#include "settings/settings.h"
#include "templates/templates.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace cuminslip::program {

namespace {

constexpr auto kStopCheckInterval = Millis(50);
constexpr auto kSecretWords = 16;

/// A number that grows with each start, also on instances without a disk.
auto
MakeIncarnation() -> Incarnation
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
    std::chrono::duration_cast<Millis>(now).count());
}

auto
ToChoiceRule(PlacementPolicy aPolicy) -> ChoiceRule
{
  switch (aPolicy) {
    case PlacementPolicy::Best:
      return ChoiceRule::LeastCost;
    case PlacementPolicy::RoundRobin:
      return ChoiceRule::RoundRobin;
    case PlacementPolicy::LeastOutstanding:
      return ChoiceRule::LeastOutstanding;
    case PlacementPolicy::LeastReported:
      return ChoiceRule::LeastReportedLoad;
  }
  return ChoiceRule::LeastCost;
}

auto
ToFencingRule(FencingSupport aSupport) -> requests::FencingRule
{
  switch (aSupport) {
    case FencingSupport::Announced:
      return requests::FencingRule::Announced;
    case FencingSupport::Checked:
      return requests::FencingRule::Checked;
    case FencingSupport::Unchecked:
      return requests::FencingRule::Unchecked;
  }
  return requests::FencingRule::Unchecked;
}

auto
MakeFrontSettings(const Instance& aInstance) -> requests::FrontSettings
{
  const auto& settings = aInstance.mSettings;
  auto front = requests::FrontSettings{};
  front.mInstance = settings.mInstance;
  front.mIncarnation = aInstance.mIncarnation;
  front.mPlace = { settings.mFailureDomain, settings.mRegion };
  if (settings.mListen.mPeer) {
    front.mPeerAddress = wire::FormatAddress(*settings.mListen.mPeer);
  }
  for (const auto& peer : settings.mDomainInstances) {
    front.mDomainPeers.push_back(wire::FormatAddress(peer.mAddress));
  }
  front.mMaxWaitingRequests = settings.mLimits.mMaxWaitingRequests;
  front.mMaxWaitingBytes = settings.mLimits.mMaxWaitingBytes;
  front.mEngineFencing = ToFencingRule(settings.mFencing.mModelEngine);
  // NOTE: each failure domain has an orderer of its own and a third of the
  // weight store's transfers, so that no orderer needs to ask another.
  constexpr auto kFailureDomains = std::int64_t{ 3 };
  front.mMaxTransfers = static_cast<std::size_t>(std::max<std::int64_t>(
    1, settings.mWeightStore.mMaxConcurrentLoads / kFailureDomains));
  front.mIsFirstComeFirstServed =
    settings.mPolicy.mQueue == QueuePolicy::FirstCome;
  front.mChoice.mRule = ToChoiceRule(settings.mPolicy.mPlacement);
  front.mChoice.mLanes.mIsEnabled = settings.mPolicy.mSeparatesClasses;
  return front;
}

auto
MakeControlPort(Instance& aInstance) -> requests::ControlPort
{
  auto port = requests::ControlPort{};
  port.mPropose = [&aInstance](Command aCommand, CommandReply aReply) {
    aInstance.mPeers->Propose(
      std::move(aCommand),
      [&aInstance, reply = std::move(aReply)](const CommandResult& aResult) {
        wire::PostToLoop(*aInstance.mLoop,
                         [reply, result = aResult] { reply(result); });
      });
  };
  port.mStanding = [&aInstance] {
    const auto status = aInstance.mPeers->Status();
    return requests::ControlLogStatus{ status.mIsReady,
                                       status.mIsIsolated,
                                       status.mIsolatedFor };
  };
  return port;
}

auto
MakeOrdererPort(Instance& aInstance) -> placement::AcquireFunction
{
  return
    [&aInstance](Millis aDuration,
                 std::function<void(const placement::OrdererLease&)> aReply) {
      auto command = LeaseCommand{};
      command.mName = "orderer/" + aInstance.mSettings.mFailureDomain.mValue;
      command.mHolder = aInstance.mSettings.mInstance.mValue + "/" +
                        std::to_string(aInstance.mIncarnation);
      command.mDuration = static_cast<LogMillis>(aDuration.count());
      aInstance.mPeers->AcquireLease(
        command,
        [&aInstance, reply = std::move(aReply)](const LeaseGrant& aGrant) {
          const auto lease = placement::OrdererLease{ aGrant.mIsHeld,
                                                      aGrant.mFencing,
                                                      aGrant.mValidUntil };
          wire::PostToLoop(*aInstance.mLoop, [reply, lease] { reply(lease); });
        });
    };
}

auto
MakeFrontPorts(Instance& aInstance) -> requests::FrontPorts
{
  auto ports = requests::FrontPorts{};
  ports.mNow = MonotonicNow;
  ports.mControl = MakeControlPort(aInstance);
  ports.mPeers.mSend = [&aInstance](const std::string& aAddress,
                                    const std::string& aBytes) {
    aInstance.mPeers->SendToPeer(aAddress, aBytes);
  };
  ports.mEndpoints.mStart = [&aInstance](const wire::HttpCall& aCall,
                                         wire::CallHandlers aHandlers) {
    return wire::StartCall(*aInstance.mClient, aCall, std::move(aHandlers));
  };
  ports.mEndpoints.mCancel = [&aInstance](wire::CallId aCall) {
    wire::CancelCall(*aInstance.mClient, aCall);
  };
  ports.mAcquireOrderer = MakeOrdererPort(aInstance);
  ports.mTimers.mStart = [&aInstance](Micros aDelay,
                                      std::function<void()> aAction) {
    return wire::StartTimer(*aInstance.mLoop, aDelay, std::move(aAction));
  };
  ports.mTimers.mStop = [&aInstance](wire::TimerId aTimer) {
    wire::StopTimer(*aInstance.mLoop, aTimer);
  };
  ports.mIdentify = [&aInstance](std::string_view aKey) {
    return IdentifyCaller(aInstance.mSettings.mKeys, aKey);
  };
  return ports;
}

auto
ToPeerInstances(const std::vector<InstanceAddress>& aInstances)
  -> std::vector<PeerInstance>
{
  auto peers = std::vector<PeerInstance>{};
  for (const auto& item : aInstances) {
    peers.push_back(
      { item.mId, wire::FormatAddress(item.mAddress), item.mFailureDomain });
  }
  return peers;
}

/// A peer key that no other process knows, for an instance that is alone.
auto
MakeSecret() -> std::string
{
  auto source = std::random_device{};
  auto bytes = std::string{};
  for (auto i = 0; i < kSecretWords; ++i) {
    bytes += std::to_string(source()) + " ";
  }
  return Sha256Hex(bytes);
}

auto
MakePeerSettings(const Settings& aSettings) -> leaf::result<PeerSettings>
{
  BOOST_LEAF_AUTO(key, LoadPeerKey(aSettings));
  auto peers = PeerSettings{};
  peers.mMaxConnections = MaxPeerConnections(aSettings.mLimits);
  peers.mPeerKey = key.empty() ? MakeSecret() : key;
  peers.mInstance = aSettings.mInstance;
  peers.mFailureDomain = aSettings.mFailureDomain;
  if (aSettings.mListen.mPeer) {
    peers.mAddress = wire::FormatAddress(*aSettings.mListen.mPeer);
  }
  if (HasRole(aSettings, Role::Control)) {
    peers.mDataFolder = aSettings.mDataFolder;
  }
  peers.mControlInstances = ToPeerInstances(aSettings.mControlInstances);
  if (peers.mControlInstances.empty() && HasRole(aSettings, Role::Control)) {
    peers.mControlInstances = {
      { peers.mInstance, peers.mAddress, peers.mFailureDomain }
    };
  }
  peers.mDomainInstances = ToPeerInstances(aSettings.mDomainInstances);
  return peers;
}

auto
ReadTemplatesInForce(const TemplateUpdate& aUpdate)
  -> std::vector<TemplateInForce>
{
  auto items = std::vector<TemplateInForce>{};
  for (const auto& stored : aUpdate.mTemplates) {
    const auto outcome = CollectOutcome<Template>(
      [&] { return ParseTemplate(stored.mDocument, stored.mAccount.mValue); });
    if (!outcome.mValue) {
      LogEvent(kTemplateUnreadableEvent,
               { { "account", stored.mAccount.mValue },
                 { "revision", stored.mRevision },
                 { "findings", FormatFindings(outcome.mFindings) } });
      continue;
    }
    items.push_back({ stored.mRevision, *outcome.mValue });
  }
  return items;
}

auto
MakePeerCallbacks(Instance& aInstance) -> PeerCallbacks
{
  auto callbacks = PeerCallbacks{};
  callbacks.mOnTemplates = [&aInstance](const TemplateUpdate& aUpdate) {
    wire::PostToLoop(*aInstance.mLoop,
                     [&aInstance, items = ReadTemplatesInForce(aUpdate)] {
                       requests::ApplyTemplates(*aInstance.mFront, items);
                     });
  };
  callbacks.mOnPeerMessage = [&aInstance](const InstanceId&,
                                          const std::string& aBytes) {
    wire::PostToLoop(*aInstance.mLoop, [&aInstance, bytes = aBytes] {
      requests::HandlePeerMessage(*aInstance.mFront, bytes);
    });
  };
  return callbacks;
}

using Handler = auto(*)(Instance&,
                        const wire::HttpRequest&,
                        const wire::ResponderPtr&) -> void;

auto
StartListenerOf(Instance& aInstance,
                const std::optional<wire::SocketAddress>& aAddress,
                Handler aHandler,
                wire::RefusalWriter aWriteRefusal = nullptr)
  -> leaf::result<wire::HttpServerPtr>
{
  return gateway::StartListener(
    *aInstance.mLoop,
    aAddress,
    aInstance.mSettings.mLimits,
    { aInstance.mSettings.mLimits.mRequestTimeout,
      aInstance.mMemory.mBudget,
      std::move(aWriteRefusal) },
    gateway::RefuseWhenClosed(
      aInstance.mIsClosed,
      [&aInstance, aHandler](const wire::HttpRequest& aRequest,
                             const wire::ResponderPtr& aResponder) {
        aHandler(aInstance, aRequest, aResponder);
      }));
}

auto
StartListeners(Instance& aInstance) -> leaf::result<void>
{
  const auto& listen = aInstance.mSettings.mListen;
  BOOST_LEAF_ASSIGN(
    aInstance.mCallerServer,
    StartListenerOf(
      aInstance, listen.mCaller, HandleCaller, WriteCallerRefusal));
  BOOST_LEAF_ASSIGN(
    aInstance.mOperatorServer,
    StartListenerOf(aInstance, listen.mOperator, HandleOperator));
  BOOST_LEAF_ASSIGN(
    aInstance.mEndpointServer,
    StartListenerOf(aInstance, listen.mEndpoint, HandleEndpoint));
  BOOST_LEAF_ASSIGN(
    aInstance.mPlatformServer,
    StartListenerOf(aInstance, listen.mPlatform, HandlePlatform));
  return {};
}

auto
NoteReadiness(Instance& aInstance) -> void
{
  if (aInstance.mWasReady || !IsReady(aInstance)) {
    return;
  }
  aInstance.mWasReady = true;
  LogEvent(kInstanceReadyEvent,
           { { "revision", aInstance.mPeers->Status().mRevision } });
}

auto
ScheduleTick(Instance& aInstance) -> void
{
  wire::StartTimer(*aInstance.mLoop, requests::kFrontTick, [&aInstance] {
    requests::TickFront(*aInstance.mFront);
    NoteReadiness(aInstance);
    ScheduleTick(aInstance);
  });
}

auto
CheckStopped(Instance& aInstance, TimePoint aLimit) -> void
{
  const auto isLate = MonotonicNow() >= aLimit;
  // NOTE: a request ends with its answer's last byte, which a caller that reads
  // slowly takes long after the front has passed it on.
  const auto isIdle = requests::IsIdle(*aInstance.mFront) &&
                      (!aInstance.mCallerServer ||
                       wire::CountOpenResponses(*aInstance.mCallerServer) == 0);
  if (isIdle || isLate) {
    requests::AbandonRequests(*aInstance.mFront);
    requests::LeaveDomain(*aInstance.mFront);
    aInstance.mIsClosed = true;
    if (aInstance.mCallerServer) {
      wire::CloseAfterAnswers(*aInstance.mCallerServer);
      wire::StopAccepting(*aInstance.mCallerServer);
    }
    wire::StartTimer(*aInstance.mLoop, gateway::kClosingTime, [&aInstance] {
      wire::StopLoop(*aInstance.mLoop);
    });
    return;
  }
  wire::StartTimer(*aInstance.mLoop, kStopCheckInterval, [&aInstance, aLimit] {
    CheckStopped(aInstance, aLimit);
  });
}

} // namespace

Instance::~Instance()
{
  // NOTE: closing the listeners runs the loop, which may bring more requests;
  // their handlers must not reach the peer task any more. Its end takes a
  // while, in which the loop would not answer callers.
  mIsClosed = true;
  mCallerServer.reset();
  mPeers.reset();
}

auto
StartInstance(Settings aSettings) -> leaf::result<std::unique_ptr<Instance>>
{
  auto instance = std::make_unique<Instance>();
  instance->mSettings = std::move(aSettings);
  instance->mIncarnation = MakeIncarnation();
  instance->mLoop = wire::CreateEventLoop();
  SetUpClientMemory(
    instance->mMemory, *instance->mLoop, instance->mSettings.mLimits);
  instance->mClient = wire::CreateHttpClient(*instance->mLoop);
  instance->mFront = requests::CreateFront(MakeFrontSettings(*instance),
                                           MakeFrontPorts(*instance),
                                           std::random_device{}());
  BOOST_LEAF_AUTO(peerSettings, MakePeerSettings(instance->mSettings));
  BOOST_LEAF_ASSIGN(
    instance->mPeers,
    StartPeerTask(std::move(peerSettings), MakePeerCallbacks(*instance)));
  if (auto listening = StartListeners(*instance); !listening) {
    return listening.error();
  }
  if (auto tls = ApplyTls(*instance, instance->mSettings.mTls); !tls) {
    return tls.error();
  }
  LogEvent(kInstanceStartedEvent,
           { { "failure_domain", instance->mSettings.mFailureDomain.mValue },
             { "region", instance->mSettings.mRegion.mValue },
             { "incarnation", instance->mIncarnation } });
  return instance;
}

auto
RunInstance(Instance& aInstance) -> void
{
  ScheduleTick(aInstance);
  wire::RunLoop(*aInstance.mLoop);
  LogEvent(kStopEndedEvent, {});
}

auto
BeginGracefulStop(Instance& aInstance) -> void
{
  if (aInstance.mIsStopping) {
    return;
  }
  aInstance.mIsStopping = true;
  LogEvent(kStopBeganEvent, {});
  requests::BeginStop(*aInstance.mFront);
  CheckStopped(aInstance,
               MonotonicNow() + aInstance.mSettings.mLimits.mStopTime);
}

auto
IsReady(const Instance& aInstance) -> bool
{
  return !aInstance.mIsStopping && aInstance.mPeers->Status().mIsReady;
}

} // namespace cuminslip::program
