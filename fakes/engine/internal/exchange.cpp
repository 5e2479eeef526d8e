#include "fakes/engine/internal/enginerequests.h"

#include "fakes/engine/jsonread.h"

#include <charconv>

namespace cuminslip::fakes {

using namespace wire;
namespace json = boost::json;

namespace {

constexpr auto kOk = 200;
constexpr auto kPeerTimeout = Millis(5000);
constexpr auto kMaxPeerBody = std::size_t{ 16 } * 1024 * 1024;

auto
FormatDigest(std::uint64_t aDigest) -> std::string
{
  return std::to_string(aDigest);
}

auto
ParseDigest(const std::string& aText) -> std::uint64_t
{
  auto digest = std::uint64_t{ 0 };
  std::from_chars(aText.data(), aText.data() + aText.size(), digest);
  return digest;
}

} // namespace

auto
Answer(const Exchange& aExchange, int aStatus, const json::object& aBody)
  -> void
{
  SendResponse(aExchange.mResponder,
               JsonResponse(aStatus, json::serialize(aBody)));
}

auto
Refuse(const Exchange& aExchange, const Verdict& aVerdict) -> void
{
  auto body = json::object{ { "refused", true },
                            { "ran", "no" },
                            { "reason", aVerdict.mReason } };
  if (aVerdict.mRetryAfter > Millis(0)) {
    body["retry_after_ms"] = aVerdict.mRetryAfter.count();
  }
  Answer(aExchange, aVerdict.mStatus, body);
}

auto
AnswerVerdict(const Exchange& aExchange,
              const Verdict& aVerdict,
              const json::object& aBody) -> void
{
  if (!aVerdict.mIsAccepted) {
    Refuse(aExchange, aVerdict);
    return;
  }
  Answer(aExchange, aVerdict.mStatus, aBody);
}

auto
HoldingContents(const EngineServer& aServer, const std::string& aId)
  -> std::optional<json::object>
{
  const auto it = aServer.mEngine.mHoldings.find(aId);
  if (it == aServer.mEngine.mHoldings.end()) {
    return std::nullopt;
  }
  const auto& holding = it->second;
  return json::object{ { "holding", aId },
                       { "tokens", holding.mRequest.mTokens },
                       { "digest", FormatDigest(holding.mDigest) },
                       { "prefix_hashes", json::value_from(holding.mBlocks) } };
}

/// Asks the engine that has a holding for its contents.
auto
FetchHolding(EngineServer& aServer,
             const std::string& aAddress,
             const std::string& aHolding,
             const std::function<void(std::optional<json::object>)>& aDone)
  -> void
{
  const auto address = ParseAddress(aAddress);
  if (!address.has_value()) {
    aDone(std::nullopt);
    return;
  }
  if (*address == ListenAddress(*aServer.mServer)) {
    aDone(HoldingContents(aServer, aHolding));
    return;
  }
  auto call = HttpCall{};
  call.mAddress = *address;
  call.mTimeout = kPeerTimeout;
  call.mRequest.mMethod = "GET";
  call.mRequest.mPath = "/v1/kv/" + aHolding;
  FetchResponse(*aServer.mSurroundings.mClient,
                call,
                kMaxPeerBody,
                [aDone, isAlive = aServer.mIsAlive](
                  CallEnd aEnd, const HttpResponse& aResponse) {
                  if (!*isAlive) {
                    return;
                  }
                  const auto isFound =
                    aEnd == CallEnd::Complete && aResponse.mStatus == kOk;
                  aDone(isFound ? ParseObject(aResponse.mBody) : std::nullopt);
                });
}

/// Finds the digest up to the end of the last of aParts; 0 when there are none.
auto
FindDigest(EngineServer& aServer,
           const std::vector<json::object>& aParts,
           const std::function<void(std::optional<std::uint64_t>)>& aDone)
  -> void
{
  if (aParts.empty()) {
    aDone(0);
    return;
  }
  const auto& last = aParts.back();
  FetchHolding(aServer,
               TextOf(last, "address"),
               TextOf(last, "holding"),
               [aDone](const std::optional<json::object>& aContents) {
                 if (!aContents.has_value()) {
                   aDone(std::nullopt);
                   return;
                 }
                 aDone(ParseDigest(TextOf(*aContents, "digest")));
               });
}

} // namespace cuminslip::fakes
