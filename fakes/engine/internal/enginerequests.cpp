#include "fakes/engine/internal/enginerequests.h"

#include "fakes/engine/jsonread.h"

#include <algorithm>

namespace cuminslip::fakes {

using namespace wire;
namespace json = boost::json;

namespace {

constexpr auto kOk = 200;
constexpr auto kBadRequest = 400;
constexpr auto kNotFound = 404;

auto
SplitPath(std::string_view aPath) -> std::vector<std::string>
{
  auto parts = std::vector<std::string>{};
  while (!aPath.empty()) {
    const auto slash = aPath.find('/');
    if (slash != 0) {
      parts.emplace_back(aPath.substr(0, slash));
    }
    if (slash == std::string_view::npos) {
      break;
    }
    aPath.remove_prefix(slash + 1);
  }
  return parts;
}

auto
HandleOrder(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  const auto order = ReadOrder(aExchange.mBody);
  const auto verdict = SubmitOrder(
    server.mEngine, *server.mSurroundings.mStore, order, MonotonicNow());
  if (verdict.mIsAccepted) {
    Answer(aExchange, verdict.mStatus, { { "accepted", true } });
  } else {
    Answer(aExchange,
           verdict.mStatus,
           { { "refused", true },
             { "reason", verdict.mReason },
             { "highest", server.mEngine.mHighestFencing } });
  }
  RunEngine(server);
}

auto
AnswerOrder(const Exchange& aExchange) -> void
{
  const auto& orders = aExchange.mServer->mEngine.mOrders;
  const auto it = orders.find(aExchange.mPath[2]);
  if (it == orders.end()) {
    Answer(aExchange, kNotFound, { { "error", "order unknown" } });
    return;
  }
  Answer(aExchange,
         kOk,
         { { "order", it->first },
           { "state", it->second.mState },
           { "reason", it->second.mReason } });
}

auto
AnswerState(const Exchange& aExchange) -> void
{
  Answer(aExchange, kOk, AnnouncementDocument(*aExchange.mServer, 0));
}

auto
AnswerCounters(const Exchange& aExchange) -> void
{
  Answer(aExchange, kOk, EngineCountersDocument(*aExchange.mServer, true));
}

auto
HandleFault(const Exchange& aExchange) -> void
{
  Answer(aExchange, kOk, { { "accepted", true } });
  CommandFault(*aExchange.mServer, aExchange.mBody);
}

/// A path pattern; an empty part stands for any text.
struct Route
{
  std::string_view mMethod;
  std::vector<std::string_view> mPath;
  void (*mHandle)(const Exchange&);
};

auto
Routes() -> const std::vector<Route>&
{
  static const auto kRoutes = std::vector<Route>{
    { "POST", { "v1", "streams" }, HandleStream },
    { "POST", { "v1", "streams", "", "cancel" }, HandleCancel },
    { "POST", { "v1", "streams", "", "resume" }, HandleResume },
    { "POST", { "v1", "reservations" }, HandleReservation },
    { "POST", { "v1", "parts" }, HandlePart },
    { "POST", { "v1", "kv", "export" }, HandleExport },
    { "POST", { "v1", "kv", "import" }, HandleImport },
    { "GET", { "v1", "kv", "" }, AnswerHolding },
    { "POST", { "v1", "holdings", "renew" }, HandleRenew },
    { "POST", { "v1", "holdings", "", "release" }, HandleRelease },
    { "POST", { "v1", "orders" }, HandleOrder },
    { "GET", { "v1", "orders", "" }, AnswerOrder },
    { "GET", { "v1", "state" }, AnswerState },
    { "GET", { "counters" }, AnswerCounters },
    { "POST", { "fault" }, HandleFault }
  };
  return kRoutes;
}

auto
IsMatch(const Route& aRoute,
        const std::string& aMethod,
        const std::vector<std::string>& aPath) -> bool
{
  return aRoute.mMethod == aMethod &&
         std::equal(aRoute.mPath.begin(),
                    aRoute.mPath.end(),
                    aPath.begin(),
                    aPath.end(),
                    [](auto aPattern, const auto& aPart) {
                      return aPattern.empty() || aPattern == aPart;
                    });
}

} // namespace

auto
HandleRequest(EngineServer& aServer,
              const HttpRequest& aRequest,
              const ResponderPtr& aResponder) -> void
{
  if (aServer.mIsDead || !aServer.mServer) {
    return;
  }
  const auto isControl =
    aRequest.mPath == "/fault" || aRequest.mPath == "/counters";
  if (aServer.mFaults.mIsFrozen && !isControl) {
    aServer.mFrozen.emplace_back(aRequest, aResponder);
    return;
  }
  auto exchange =
    Exchange{ &aServer, {}, aResponder, SplitPath(aRequest.mPath) };
  auto body =
    aRequest.mBody.empty() ? json::object{} : ParseObject(aRequest.mBody);
  if (!body.has_value()) {
    Refuse(exchange, { false, kBadRequest, "bad_json", Millis(0) });
    return;
  }
  exchange.mBody = std::move(*body);
  const auto& routes = Routes();
  const auto it =
    std::find_if(routes.begin(), routes.end(), [&](const auto& aRoute) {
      return IsMatch(aRoute, aRequest.mMethod, exchange.mPath);
    });
  if (it == routes.end()) {
    Answer(exchange, kNotFound, { { "error", "no such path" } });
    return;
  }
  it->mHandle(exchange);
}

} // namespace cuminslip::fakes
