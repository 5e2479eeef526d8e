#include "program/internal/handlers.h"

#include "endpoints/protocol.h"
#include "program/internal/metrics.h"
#include "program/types/programevents.h"
#include "settings/keys.h"

namespace cuminslip::program {

namespace {

constexpr auto kOk = 200;
constexpr auto kUnauthorized = 401;
constexpr auto kNotFound = 404;
constexpr auto kUnavailable = 503;
/// About as long as a request with a large body takes.
constexpr auto kMemoryRetryAfter = Millis(1000);

auto
PlainResponse(int aStatus, std::string aText) -> wire::HttpResponse
{
  return { aStatus, { { "content-type", "text/plain" } }, std::move(aText) };
}

} // namespace

auto
HandleCaller(Instance& aInstance,
             const wire::HttpRequest& aRequest,
             const wire::ResponderPtr& aResponder) -> void
{
  requests::HandleCallerRequest(
    *aInstance.mFront, aRequest, wire::PortOf(aResponder));
}

auto
WriteCallerRefusal(const wire::HttpRequest&, int aStatus) -> wire::HttpResponse
{
  if (aStatus != kUnavailable) {
    return { aStatus, {}, "" };
  }
  auto refusal = requests::Refusal{};
  refusal.mType = requests::RefusalType::Overloaded;
  refusal.mMessage = "no memory for the request";
  refusal.mRetryAfter = kMemoryRetryAfter;
  auto response =
    wire::JsonResponse(aStatus, requests::FormatRefusal(refusal, ""));
  response.mHeaders.push_back({ "retry-after", "1" });
  return response;
}

auto
HandleEndpoint(Instance& aInstance,
               const wire::HttpRequest& aRequest,
               const wire::ResponderPtr& aResponder) -> void
{
  const auto key = wire::BearerKey(aRequest.mHeaders);
  if (!IdentifyEndpoint(aInstance.mSettings.mKeys, key)) {
    LogEvent(kKeyRefusedEvent, { { "interface", "endpoint" } });
    wire::SendResponse(aResponder,
                       PlainResponse(kUnauthorized, "unknown endpoint key\n"));
    return;
  }
  const auto isAnnouncement =
    aRequest.mMethod == "POST" && aRequest.mPath == endpoints::kAnnouncePath;
  if (!isAnnouncement) {
    wire::SendResponse(aResponder, PlainResponse(kNotFound, "no such path\n"));
    return;
  }
  wire::SendResponse(
    aResponder,
    requests::HandleAnnouncement(*aInstance.mFront, aRequest.mBody));
}

auto
HandlePlatform(Instance& aInstance,
               const wire::HttpRequest& aRequest,
               const wire::ResponderPtr& aResponder) -> void
{
  if (aRequest.mPath == "/livez") {
    wire::SendResponse(aResponder, PlainResponse(kOk, "live\n"));
    return;
  }
  if (aRequest.mPath == "/readyz") {
    const auto isReady = IsReady(aInstance);
    wire::SendResponse(aResponder,
                       PlainResponse(isReady ? kOk : kUnavailable,
                                     isReady ? "ready\n" : "not ready\n"));
    return;
  }
  if (aRequest.mPath == "/metrics") {
    wire::SendResponse(aResponder, MetricsResponse(aInstance));
    return;
  }
  wire::SendResponse(aResponder, PlainResponse(kNotFound, "no such path\n"));
}

} // namespace cuminslip::program
