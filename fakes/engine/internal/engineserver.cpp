#include "fakes/engine/engineserver.h"

#include "base/digest.h"
#include "base/events.h"
#include "fakes/engine/internal/engineserverstate.h"
#include "fakes/engine/jsonread.h"
#include "fakes/engine/types/standinevents.h"

#include <algorithm>
#include <utility>

namespace cuminslip::fakes {

using namespace wire;
namespace json = boost::json;

namespace {

constexpr auto kReportInterval = Millis(50);
constexpr auto kReportsKept = std::size_t{ 1024 };
constexpr auto kMaxBodyBytes = std::size_t{ 16 } * 1024 * 1024;
constexpr auto kMaxConnections = std::size_t{ 8192 };
constexpr auto kRequestTimeout = Millis(30000);

auto
TakeLoadReport(EngineServer& aServer) -> void
{
  const auto now = MonotonicNow();
  aServer.mLoadReports.emplace_back(
    now, LoadDocument(aServer.mEngine, aServer.mFaults));
  if (aServer.mLoadReports.size() > kReportsKept) {
    aServer.mLoadReports.pop_front();
  }
  aServer.mReportTimer = StartTimer(*aServer.mSurroundings.mLoop,
                                    kReportInterval,
                                    [&aServer] { TakeLoadReport(aServer); });
}

/// The newest load report that is old enough, with its age.
auto
LaggingLoad(const EngineServer& aServer, TimePoint aNow) -> json::object
{
  const auto lag =
    aServer.mFaults.mLoadLag.value_or(aServer.mSettings.mAnnounce.mLoadLag);
  const auto& reports = aServer.mLoadReports;
  auto it = reports.rbegin();
  while (it != reports.rend() && it->first + lag > aNow) {
    ++it;
  }
  const auto& report = it != reports.rend() ? *it : reports.front();
  auto load = report.second;
  load["age_ms"] = MillisBetween(report.first, aNow).count();
  return load;
}

auto
OnAnnounceAnswer(EngineServer& aServer, const json::object& aAnswer) -> void
{
  const auto from = WholeOf(aAnswer, "resend_cache_events_from", -1);
  if (from >= 0) {
    ResendCacheEvents(aServer.mCacheEvents, static_cast<std::uint64_t>(from));
  }
}

auto
Listen(EngineServer& aServer) -> leaf::result<HttpServerPtr>
{
  auto* self = &aServer;
  return StartHttpServer(
    *aServer.mSurroundings.mLoop,
    aServer.mAddress,
    { kMaxBodyBytes, kMaxConnections, kRequestTimeout },
    [self](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
      HandleRequest(*self, aRequest, aResponder);
    });
}

auto
StopIncarnation(EngineServer& aServer) -> void
{
  auto& loop = *aServer.mSurroundings.mLoop;
  StopTimer(loop, std::exchange(aServer.mStepTimer, 0));
  StopTimer(loop, std::exchange(aServer.mReportTimer, 0));
  aServer.mAnnouncer.reset();
  for (auto& [attempt, caller] : std::exchange(aServer.mStreams, {})) {
    SetCloseHandler(caller.mResponder, {});
    AbortStream(caller.mResponder);
  }
  aServer.mParts.clear();
  aServer.mFrozen.clear();
  aServer.mServer.reset();
}

auto
Restart(EngineServer& aServer) -> void
{
  const auto settings = aServer.mSettings;
  aServer.mFaults = {};
  aServer.mEngine =
    CreateEngine(settings, aServer.mSurroundings.mTimeScale, MonotonicNow());
  aServer.mCacheEvents = {};
  aServer.mLoadReports.clear();
  aServer.mIsDead = false;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> { return StartIncarnation(aServer); },
    [&](const Findings& aFindings) {
      LogEvent(kStandinFailedEvent,
               { { "endpoint", settings.mName },
                 { "findings", FormatFindings(aFindings) } });
    },
    [] {});
}

auto
ThawEngine(EngineServer& aServer) -> void
{
  auto& step = aServer.mEngine.mStep;
  if (step.has_value()) {
    step->mEnd = std::max(step->mEnd, MonotonicNow());
  }
  auto waiting = std::exchange(aServer.mFrozen, {});
  for (const auto& [request, responder] : waiting) {
    HandleRequest(aServer, request, responder);
  }
  RunEngine(aServer);
}

} // namespace

auto
EngineServerDeleter::operator()(EngineServer* aServer) const -> void
{
  *aServer->mIsAlive = false;
  StopTimer(*aServer->mSurroundings.mLoop, aServer->mRestartTimer);
  StopIncarnation(*aServer);
  delete aServer;
}

auto
StartIncarnation(EngineServer& aServer) -> leaf::result<void>
{
  BOOST_LEAF_ASSIGN(aServer.mServer, Listen(aServer));
  aServer.mAddress = ListenAddress(*aServer.mServer);
  aServer.mIncarnation =
    static_cast<std::uint64_t>(MonotonicNow().time_since_epoch().count());
  TakeLoadReport(aServer);
  auto* self = &aServer;
  aServer.mAnnouncer =
    StartAnnouncer(*aServer.mSurroundings.mLoop,
                   *aServer.mSurroundings.mClient,
                   aServer.mSettings.mAnnounce,
                   { [self](std::uint64_t aSequence) {
                      return AnnouncementDocument(*self, aSequence);
                    },
                     [self](const json::object& aAnswer) {
                       OnAnnounceAnswer(*self, aAnswer);
                     } });
  LogEvent(kStandinStartedEvent,
           { { "endpoint", aServer.mSettings.mName },
             { "address", FormatAddress(aServer.mAddress) },
             { "incarnation", aServer.mIncarnation } });
  return {};
}

auto
StartEngineServer(const EngineSurroundings& aSurroundings,
                  const EngineSettings& aSettings)
  -> leaf::result<EngineServerPtr>
{
  auto server = EngineServerPtr(new EngineServer);
  server->mSurroundings = aSurroundings;
  server->mSettings = aSettings;
  server->mEngine =
    CreateEngine(aSettings, aSurroundings.mTimeScale, MonotonicNow());
  server->mRandom.seed(Checksum(aSettings.mName));
  // NOTE: port 0 is not an address that ParseAddress takes; tests use it.
  server->mAddress =
    ParseAddress(aSettings.mAddress).value_or(SocketAddress{ "127.0.0.1", 0 });
  auto started = StartIncarnation(*server);
  if (!started) {
    return started.error();
  }
  return server;
}

auto
EngineAddress(const EngineServer& aServer) -> SocketAddress
{
  return aServer.mAddress;
}

auto
EngineName(const EngineServer& aServer) -> const std::string&
{
  return aServer.mSettings.mName;
}

auto
LeaveEngine(EngineServer& aServer) -> void
{
  aServer.mIsLeaving = true;
  if (aServer.mAnnouncer) {
    AnnounceNow(*aServer.mAnnouncer);
  }
}

auto
IsEngineIdle(const EngineServer& aServer) -> bool
{
  return aServer.mIsDead || aServer.mEngine.mStreams.empty();
}

auto
KillEngine(EngineServer& aServer) -> void
{
  aServer.mIsDead = true;
  aServer.mDeaths += 1;
  const auto restartAfter = aServer.mFaults.mRestartAfter;
  StopIncarnation(aServer);
  LogEvent(kStandinDiedEvent, { { "endpoint", aServer.mSettings.mName } });
  if (restartAfter > Millis(0)) {
    aServer.mRestartTimer = StartTimer(*aServer.mSurroundings.mLoop,
                                       restartAfter,
                                       [&aServer] { Restart(aServer); });
  }
}

auto
CommandFault(EngineServer& aServer, const json::object& aFault) -> void
{
  const auto wasFrozen = aServer.mFaults.mIsFrozen;
  ReadFaults(aFault, aServer.mFaults);
  aServer.mEngine.mSlowFactor = aServer.mFaults.mSlowFactor;
  if (aServer.mAnnouncer) {
    PauseAnnouncer(*aServer.mAnnouncer, aServer.mFaults.mIsNotAnnouncing);
  }
  LogEvent(kStandinFaultEvent,
           { { "endpoint", aServer.mSettings.mName },
             { "fault", json::serialize(aFault) } });
  if (wasFrozen && !aServer.mFaults.mIsFrozen) {
    ThawEngine(aServer);
  }
  if (TruthOf(aFault, "die") && !aServer.mIsDead) {
    aServer.mIsDead = true;
    PostToLoop(*aServer.mSurroundings.mLoop,
               [self = &aServer, isAlive = aServer.mIsAlive] {
                 if (*isAlive) {
                   KillEngine(*self);
                 }
               });
  }
}

auto
EngineCountersDocument(const EngineServer& aServer, bool aIsDetailed)
  -> json::object
{
  auto document = CountersDocument(aServer.mEngine, aIsDetailed);
  document["endpoint"] = aServer.mSettings.mName;
  document["deaths"] = aServer.mDeaths;
  document["is_dead"] = aServer.mIsDead;
  if (aServer.mAnnouncer) {
    document["announcements_accepted"] = CountAccepted(*aServer.mAnnouncer);
  }
  return document;
}

auto
AnnouncementDocument(EngineServer& aServer, std::uint64_t aSequence)
  -> json::object
{
  const auto now = MonotonicNow();
  const auto& announce = aServer.mSettings.mAnnounce;
  auto document = StateDocument(aServer.mEngine);
  document["endpoint"] = aServer.mSettings.mName;
  document["incarnation"] = aServer.mIncarnation;
  document["sequence"] = aSequence;
  document["kind"] = "model_engine";
  document["service"] = "";
  document["address"] = FormatAddress(aServer.mAddress);
  document["failure_domain"] = aServer.mSettings.mFailureDomain;
  document["region"] = aServer.mSettings.mRegion;
  document["state"] = aServer.mIsLeaving ? "leaving" : "active";
  document["interval_ms"] = announce.mInterval.count();
  document["load"] = LaggingLoad(aServer, now);
  if (aSequence > 0) {
    document["cache_events"] = TakeCacheEvents(
      aServer.mCacheEvents,
      now,
      announce.mCacheEventDelay,
      aServer.mFaults.mCacheEventLoss.value_or(announce.mCacheEventLoss));
  }
  return document;
}

} // namespace cuminslip::fakes
