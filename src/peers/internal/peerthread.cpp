#include "peers/internal/peerthread.h"

#include "control/controlcodec.h"
#include "peers/internal/controlwatcher.h"
#include "peers/internal/endpointdirectory.h"
#include "peers/internal/foundingpermit.h"
#include "peers/internal/joining.h"
#include "peers/internal/peerlistener.h"
#include "peers/internal/rpcparts.h"
#include "peers/internal/templatefollower.h"
#include "peers/types/peersevents.h"

#include <kj/async-unix.h>

#include <cstring>
#include <future>
#include <random>

#include <fcntl.h>
#include <unistd.h>

namespace cuminslip {

namespace {

/// How often a control instance looks at its deadlines; an eighth of the
/// interval of heartbeats in the control log.
constexpr auto kTick = Millis(50);
/// How often an instance without a disk brings its standing up to date.
constexpr auto kEntryTick = Millis(250);

/// Swallows the failure of a task; each handles its own.
class TaskErrors final : public kj::TaskSet::ErrorHandler
{
public:
  auto taskFailed(kj::Exception&& aException) -> void override
  {
    LogEvent(kPeerLostEvent,
             { { "reason", aException.getDescription().cStr() } });
  }
};

auto
OneFinding(const std::string& aPlace,
           std::string aProblem,
           const char* aExpected) -> Findings
{
  return { { { { aPlace }, "", std::move(aProblem), aExpected } } };
}

auto
RandomNumber() -> std::uint64_t
{
  auto device = std::random_device();
  constexpr auto kHalf = 32U;
  return (std::uint64_t{ device() } << kHalf) | device() | 1U;
}

/// Sets since when something is missing; keeps the time while it still is.
auto
UpdateSince(std::optional<TimePoint>& aSince, bool aIsMissing, TimePoint aNow)
  -> void
{
  aSince = aIsMissing ? std::optional(aSince.value_or(aNow)) : std::nullopt;
}

auto
TimeSince(const std::optional<TimePoint>& aSince, TimePoint aNow) -> Millis
{
  return aSince ? MillisBetween(*aSince, aNow) : Millis(0);
}

} // namespace

PeerThread::PeerThread(PeerSettings aSettings, PeerCallbacks aCallbacks)
  : mSettings(std::move(aSettings))
  , mCallbacks(std::move(aCallbacks))
  , mMailbox([this] { Wake(); })
{
  mStanding.mQuorumContact = MonotonicNow();
}

PeerThread::~PeerThread() noexcept
{
  mIsStopping = true;
  Wake();
  if (mThread.joinable()) {
    mThread.join();
  }
  // NOTE: destroys what was not run, which gives the replies of it.
  mMailbox.TakeAll();
  if (mWakeRead >= 0) {
    ::close(mWakeRead);
    ::close(mWakeWrite);
  }
}

auto
PeerThread::Start() -> Findings
{
  int ends[2] = { -1, -1 };
  if (::pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) {
    return OneFinding("", "no pipe can be made", "free file descriptors");
  }
  mWakeRead = ends[0];
  mWakeWrite = ends[1];
  auto started = std::promise<Findings>();
  auto result = started.get_future();
  mThread = std::thread([this, &started] {
    Run([&started](Findings aFindings) {
      started.set_value(std::move(aFindings));
    });
  });
  return result.get();
}

auto
PeerThread::Wake() const -> void
{
  const auto byte = char{ 1 };
  // NOTE: a full pipe wakes the reader as well.
  [[maybe_unused]] const auto n = ::write(mWakeWrite, &byte, 1);
}

auto
PeerThread::Post(PeerWork aWork) -> void
{
  mMailbox.Post(std::move(aWork));
}

auto
PeerThread::Status() const -> PeerStatus
{
  const auto lock = std::lock_guard(mStandingMutex);
  auto status = mStanding.mStatus;
  status.mIsolatedFor =
    status.mIsIsolated ? MillisBetween(mStanding.mQuorumContact, MonotonicNow())
                       : Millis(0);
  const auto now = MonotonicNow();
  status.mWithoutDocument = TimeSince(mStanding.mNoDocumentSince, now);
  status.mWithoutLeader = TimeSince(mStanding.mNoLeaderSince, now);
  status.mWithoutLog = TimeSince(mStanding.mNoLogSince, now);
  return status;
}

auto
PeerThread::UpdateStanding(PeerContext& aContext) -> void
{
  const auto isIsolated = IsIsolatedNow(aContext);
  if (isIsolated != aContext.mWasIsolated) {
    LogEvent(isIsolated ? kInstanceIsolatedEvent : kInstanceRejoinedEvent,
             { { "revision", aContext.mCache.mRevision } });
    aContext.mWasIsolated = isIsolated;
  }
  const auto age = QuorumAgeNow(aContext);
  auto status = PeerStatus{};
  status.mIsReady = aContext.mIsReady;
  status.mIsIsolated = isIsolated;
  status.mRevision = aContext.mCache.mRevision;
  if (const auto& control = aContext.mControl) {
    status.mIsControl = true;
    status.mIsLeader = control->IsLeader();
    status.mLeader = control->LeaderInstance();
    status.mStorageFailure = control->StorageFailure();
    if (control->Core().mRole == CoreRole::Halted &&
        status.mStorageFailure.empty()) {
      status.mStorageFailure = "the disk can't be trusted; replace it";
    }
  }
  const auto now = aContext.mNow();
  const auto hasNoLeader = status.mIsControl && status.mLeader.mValue.empty();
  const auto hasNoLog =
    status.mIsControl && aContext.mControl->Core().mVote.mCluster == 0;
  const auto lock = std::lock_guard(mStandingMutex);
  UpdateSince(mStanding.mNoDocumentSince, status.mRevision == 0, now);
  UpdateSince(mStanding.mNoLeaderSince, hasNoLeader, now);
  UpdateSince(mStanding.mNoLogSince, hasNoLog, now);
  mStanding.mStatus = std::move(status);
  mStanding.mQuorumContact = age ? aContext.mNow() - *age : aContext.mStarted;
}

auto
PeerThread::DrainMailbox(PeerContext& aContext, kj::AsyncInputStream& aWakeUp)
  -> kj::Promise<void>
{
  return aWakeUp.tryRead(mWakeBuffer, 1, sizeof(mWakeBuffer))
    .then([this, &aContext, &aWakeUp](std::size_t) -> kj::Promise<void> {
      if (mIsStopping) {
        mStop->fulfill();
        return kj::READY_NOW;
      }
      for (auto& it : mMailbox.TakeAll()) {
        it(aContext);
      }
      return DrainMailbox(aContext, aWakeUp);
    });
}

auto
PeerThread::TickForever(PeerContext& aContext) -> kj::Promise<void>
{
  if (aContext.mControl) {
    aContext.mControl->Tick();
    TickEndpoints(aContext);
  }
  UpdateStanding(aContext);
  const auto tick = aContext.mControl ? kTick : kEntryTick;
  return aContext.mTimer.afterDelay(tick.count() * kj::MILLISECONDS)
    .then([this, &aContext] { return TickForever(aContext); });
}

auto
PeerThread::OpenControl(PeerContext& aContext) -> Findings
{
  if (!mSettings.mDataFolder) {
    return {};
  }
  auto hooks = ControlNodeHooks{};
  hooks.mNow = aContext.mNow;
  hooks.mSend = [&aContext](const OutgoingMessage& aMessage) {
    aContext.mLinks.SendControl(aMessage.mAddress,
                                EncodeControlMessage(aMessage.mMessage));
  };
  hooks.mOnTemplates = [&aContext](std::vector<StoredTemplate> aTemplates) {
    PutInForce(aContext, std::move(aTemplates));
  };
  hooks.mPostToTask = [this](std::function<void()> aWork) {
    Post([work = std::move(aWork)](PeerContext&) { work(); });
  };
  auto outcome = CollectOutcome<std::unique_ptr<ControlNode>>([&]() mutable {
    return OpenControlNode(*mSettings.mDataFolder,
                           mSettings.mInstance,
                           mSettings.mAddress,
                           std::move(hooks));
  });
  if (!outcome.mValue) {
    return outcome.mFindings;
  }
  aContext.mControl = std::move(*outcome.mValue);
  if (aContext.mControl->Core().mVote.mCluster == 0) {
    auto named = std::vector<InstanceId>{};
    for (const auto& it : mSettings.mControlInstances) {
      named.push_back(it.mInstance);
    }
    aContext.mMayFound = KeepFoundingPermit(
      LocalFileSystem(), *mSettings.mDataFolder, named, mSettings.mMayFound);
  }
  aContext.mLinks.mOnControlReply = [&aContext](const std::string& aReply) {
    aContext.mControl->ReceiveReply(aReply);
  };
  return {};
}

auto
PeerThread::Serve(PeerContext& aContext,
                  kj::AsyncIoContext& aIo,
                  kj::Own<kj::TaskSet>& aTasks,
                  std::function<void(Findings)>& aOnStarted) -> Findings
{
  auto findings = OpenControl(aContext);
  if (!IsEmpty(findings)) {
    return findings;
  }
  auto listener = aIo.provider->getNetwork()
                    .parseAddress(mSettings.mAddress.c_str())
                    .wait(aIo.waitScope)
                    ->listen();
  auto peers = PeerListener(*listener, aContext);
  auto wakeUp = aIo.lowLevelProvider->wrapInputFd(mWakeRead);
  auto follower = TemplateFollower(aContext);
  auto watcher = ControlWatcher(aContext);
  auto stop = kj::newPromiseAndFulfiller<void>();
  mStop = kj::mv(stop.fulfiller);
  aContext.mTasks.add(peers.AcceptForever());
  aContext.mTasks.add(DrainMailbox(aContext, *wakeUp));
  aContext.mTasks.add(TickForever(aContext));
  aContext.mTasks.add(JoinControlLog(aContext));
  if (mSettings.mFollowsAllControls) {
    watcher.Start();
  } else {
    follower.Start();
  }
  LogEvent(kPeerTaskStartedEvent,
           { { "address", mSettings.mAddress },
             { "is_control", aContext.mControl != nullptr } });
  std::exchange(aOnStarted, nullptr)({});
  stop.promise.wait(aIo.waitScope);
  // NOTE: the tasks refer to what is destroyed on the way out.
  aContext.mIsStopping = true;
  aTasks = nullptr;
  return {};
}

auto
PeerThread::Run(std::function<void(Findings)> aOnStarted) -> void
{
  auto io = kj::setupAsyncIo();
  auto errors = TaskErrors();
  auto tasks = kj::heap<kj::TaskSet>(errors);
  auto links = PeerLinks(
    mSettings, io.provider->getNetwork(), io.provider->getTimer(), *tasks);
  auto context = PeerContext{ mSettings, mCallbacks, io.provider->getTimer(),
                              *tasks,    links,      MonotonicNow };
  context.mStarted = MonotonicNow();
  context.mOnStandingChanged = [this, &context] { UpdateStanding(context); };
  context.mEndpoints.mSettings = mSettings.mEndpointTable;
  context.mEndpointsEpoch = RandomNumber();
  auto findings = Findings{};
  auto problem = kj::runCatchingExceptions(
    [&] { findings = Serve(context, io, tasks, aOnStarted); });
  KJ_IF_MAYBE (exception, problem) {
    findings = OneFinding(mSettings.mAddress,
                          exception->getDescription().cStr(),
                          "a free address of this machine");
  }
  context.mIsStopping = true;
  tasks = nullptr;
  context.mControl.reset();
  if (aOnStarted) {
    aOnStarted(std::move(findings));
  }
  LogEvent(kPeerTaskStoppedEvent, { { "address", mSettings.mAddress } });
}

} // namespace cuminslip
