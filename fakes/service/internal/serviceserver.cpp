#include "fakes/service/serviceserver.h"

#include "base/digest.h"
#include "base/events.h"
#include "fakes/engine/announcer.h"
#include "fakes/engine/jsonread.h"
#include "fakes/engine/types/standinevents.h"

#include <algorithm>

namespace cuminslip::fakes {

using namespace wire;
namespace json = boost::json;

struct ServiceServer
{
  ServiceSurroundings mSurroundings;
  PlainService mService;
  ServiceFaults mFaults;
  HttpServerPtr mServer;
  AnnouncerPtr mAnnouncer;
  std::uint64_t mIncarnation = 0;
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
  /// Calls that never get an answer.
  std::vector<ResponderPtr> mSilenced;
  bool mIsLeaving = false;
};

namespace {

constexpr auto kOk = 200;
constexpr auto kBadRequest = 400;
constexpr auto kUnavailable = 503;
constexpr auto kMaxBodyBytes = std::size_t{ 16 } * 1024 * 1024;
constexpr auto kMaxConnections = std::size_t{ 8192 };
constexpr auto kRequestTimeout = Millis(30000);

auto
AnswerJson(const ResponderPtr& aResponder,
           int aStatus,
           const json::object& aBody) -> void
{
  SendResponse(aResponder, JsonResponse(aStatus, json::serialize(aBody)));
}

auto
Refuse(const ResponderPtr& aResponder, const char* aReason) -> void
{
  auto response = JsonResponse(
    kUnavailable,
    json::serialize(json::object{
      { "refused", true }, { "ran", "no" }, { "reason", aReason } }));
  response.mHeaders.push_back({ "x-cuminslip-ran", "no" });
  SendResponse(aResponder, response);
}

auto
TakeOne(std::int64_t& aCount) -> bool
{
  if (aCount <= 0) {
    return false;
  }
  aCount -= 1;
  return true;
}

auto
AnswerLater(ServiceServer& aServer,
            const ResponderPtr& aResponder,
            const CallVerdict& aVerdict,
            std::uint64_t aBody) -> void
{
  const auto isLost = TakeOne(aServer.mFaults.mLoseAnswers);
  const auto body =
    json::object{ { "service", aServer.mService.mSettings.mService },
                  { "run", aVerdict.mRun },
                  { "digest", std::to_string(aBody) } };
  StartTimer(*aServer.mSurroundings.mLoop,
             aVerdict.mDoneAt - MonotonicNow(),
             [aResponder, body, isLost, isAlive = aServer.mIsAlive] {
               if (!*isAlive) {
                 return;
               }
               if (isLost) {
                 StartStream(aResponder, kOk, {});
                 AbortStream(aResponder);
                 return;
               }
               AnswerJson(aResponder, kOk, body);
             });
}

auto
HandleCall(ServiceServer& aServer,
           const HttpRequest& aRequest,
           const ResponderPtr& aResponder) -> void
{
  if (TakeOne(aServer.mFaults.mRefuse) || aServer.mIsLeaving) {
    Refuse(aResponder, aServer.mIsLeaving ? "leaving" : "refusing");
    return;
  }
  const auto key =
    FindHeader(aRequest.mHeaders, "idempotency-key").value_or("");
  const auto body = Checksum(aRequest.mBody);
  const auto verdict =
    RunCall(aServer.mService, aServer.mFaults, key, body, MonotonicNow());
  if (!verdict.mIsAccepted) {
    Refuse(aResponder, "busy");
    return;
  }
  if (TakeOne(aServer.mFaults.mStaySilent)) {
    aServer.mSilenced.push_back(aResponder);
    return;
  }
  AnswerLater(aServer, aResponder, verdict, body);
}

auto
HandleServiceRequest(ServiceServer& aServer,
                     const HttpRequest& aRequest,
                     const ResponderPtr& aResponder) -> void
{
  if (aRequest.mPath == "/counters") {
    AnswerJson(aResponder, kOk, ServiceCountersDocument(aServer, true));
    return;
  }
  if (aRequest.mPath != "/fault") {
    HandleCall(aServer, aRequest, aResponder);
    return;
  }
  const auto fault = ParseObject(aRequest.mBody);
  if (!fault.has_value()) {
    AnswerJson(aResponder, kBadRequest, { { "error", "bad json" } });
    return;
  }
  CommandServiceFault(aServer, *fault);
  AnswerJson(aResponder, kOk, { { "accepted", true } });
}

auto
ServiceDocument(const ServiceServer& aServer, std::uint64_t aSequence)
  -> json::object
{
  const auto& settings = aServer.mService.mSettings;
  const auto open = CountOpenCalls(aServer.mService, MonotonicNow());
  return { { "endpoint", settings.mName },
           { "incarnation", aServer.mIncarnation },
           { "sequence", aSequence },
           { "kind", "plain_service" },
           { "service", settings.mService },
           { "address", FormatAddress(ListenAddress(*aServer.mServer)) },
           { "failure_domain", settings.mFailureDomain },
           { "region", settings.mRegion },
           { "state", aServer.mIsLeaving ? "leaving" : "active" },
           { "interval_ms", settings.mAnnounce.mInterval.count() },
           { "models", json::array{} },
           { "load",
             { { "running_streams", std::min(open, settings.mSlots) },
               { "waiting_streams",
                 std::max<std::int64_t>(open - settings.mSlots, 0) },
               { "batch_slots", settings.mSlots },
               { "queued_prefill_tokens", 0 },
               { "free_kv_tokens", 0 },
               { "total_kv_tokens", 0 },
               { "prefill_tokens_per_second", 0 },
               { "decode_tokens_per_second", 0 },
               { "age_ms", 0 } } },
           { "holdings", json::array{} } };
}

} // namespace

auto
ServiceServerDeleter::operator()(ServiceServer* aServer) const -> void
{
  *aServer->mIsAlive = false;
  aServer->mAnnouncer.reset();
  aServer->mServer.reset();
  delete aServer;
}

auto
StartServiceServer(const ServiceSurroundings& aSurroundings,
                   const ServiceSettings& aSettings)
  -> leaf::result<ServiceServerPtr>
{
  auto server = ServiceServerPtr(new ServiceServer);
  auto* self = server.get();
  server->mSurroundings = aSurroundings;
  server->mService.mSettings = aSettings;
  server->mService.mTimeScale = aSurroundings.mTimeScale;
  server->mIncarnation =
    static_cast<std::uint64_t>(MonotonicNow().time_since_epoch().count());
  const auto address =
    ParseAddress(aSettings.mAddress).value_or(SocketAddress{ "127.0.0.1", 0 });
  BOOST_LEAF_ASSIGN(
    server->mServer,
    StartHttpServer(
      *aSurroundings.mLoop,
      address,
      { kMaxBodyBytes, kMaxConnections, kRequestTimeout },
      [self](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
        HandleServiceRequest(*self, aRequest, aResponder);
      }));
  server->mAnnouncer =
    StartAnnouncer(*aSurroundings.mLoop,
                   *aSurroundings.mClient,
                   aSettings.mAnnounce,
                   { [self](std::uint64_t aSequence) {
                      return ServiceDocument(*self, aSequence);
                    },
                     {} });
  LogEvent(kStandinStartedEvent,
           { { "endpoint", aSettings.mName },
             { "address", FormatAddress(ListenAddress(*server->mServer)) },
             { "incarnation", server->mIncarnation } });
  return server;
}

auto
ServiceAddress(const ServiceServer& aServer) -> SocketAddress
{
  return ListenAddress(*aServer.mServer);
}

auto
ServiceName(const ServiceServer& aServer) -> const std::string&
{
  return aServer.mService.mSettings.mName;
}

auto
LeaveService(ServiceServer& aServer) -> void
{
  aServer.mIsLeaving = true;
  AnnounceNow(*aServer.mAnnouncer);
}

auto
IsServiceIdle(const ServiceServer& aServer) -> bool
{
  return CountOpenCalls(aServer.mService, MonotonicNow()) == 0;
}

auto
CommandServiceFault(ServiceServer& aServer, const json::object& aFault) -> void
{
  auto& faults = aServer.mFaults;
  if (TruthOf(aFault, "clear")) {
    faults = {};
  }
  faults.mLoseAnswers = WholeOf(aFault, "lose_answers", faults.mLoseAnswers);
  faults.mRefuse = WholeOf(aFault, "refuse", faults.mRefuse);
  faults.mStaySilent = WholeOf(aFault, "stay_silent", faults.mStaySilent);
  faults.mExtraDelay = MillisOf(aFault, "extra_delay_ms", faults.mExtraDelay);
  faults.mIsNotAnnouncing =
    TruthOf(aFault, "stop_announcing", faults.mIsNotAnnouncing);
  PauseAnnouncer(*aServer.mAnnouncer, faults.mIsNotAnnouncing);
  LogEvent(kStandinFaultEvent,
           { { "endpoint", ServiceName(aServer) },
             { "fault", json::serialize(aFault) } });
}

auto
ServiceCountersDocument(const ServiceServer& aServer, bool aIsDetailed)
  -> json::object
{
  const auto& service = aServer.mService;
  auto document =
    json::object{ { "endpoint", service.mSettings.mName },
                  { "runs", service.mRuns },
                  { "refused", service.mRefused },
                  { "keys", service.mRunsByKey.size() },
                  { "most_runs_of_a_key", MostRunsOfKey(service) },
                  { "announcements_accepted",
                    CountAccepted(*aServer.mAnnouncer) } };
  if (aIsDetailed) {
    document["runs_by_key"] = json::value_from(service.mRunsByKey);
  }
  return document;
}

} // namespace cuminslip::fakes
