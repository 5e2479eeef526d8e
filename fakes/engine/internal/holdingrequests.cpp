#include "fakes/engine/internal/enginerequests.h"

#include "fakes/engine/answertext.h"
#include "fakes/engine/jsonread.h"

namespace cuminslip::fakes {

using namespace wire;
namespace json = boost::json;

namespace {

constexpr auto kOk = 200;
constexpr auto kNotFound = 404;
constexpr auto kConflict = 409;

auto
RunPart(const Exchange& aExchange, const PartRequest& aRequest) -> void
{
  auto& server = *aExchange.mServer;
  const auto verdict = SubmitPart(server.mEngine, aRequest, MonotonicNow());
  if (!verdict.mIsAccepted) {
    Refuse(aExchange, verdict);
    return;
  }
  const auto id = PartHoldingId(aRequest.mReservation, aRequest.mPart);
  server.mParts[id] = aExchange.mResponder;
  RunEngine(server);
}

auto
FinishImport(const Exchange& aExchange,
             const HoldRequest& aRequest,
             const std::vector<std::string>& aHashes) -> void
{
  auto& server = *aExchange.mServer;
  const auto verdict =
    ImportPrefix(server.mEngine, aRequest, aHashes, MonotonicNow());
  const auto tokens = static_cast<std::int64_t>(aHashes.size()) * kBlockTokens;
  AnswerVerdict(
    aExchange, verdict, { { "holding", aRequest.mId }, { "tokens", tokens } });
  RunEngine(server);
}

} // namespace

auto
HandleReservation(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  const auto request = ReadHoldRequest(aExchange.mBody, "id", "reservation");
  AnswerVerdict(aExchange,
                Reserve(server.mEngine, request, MonotonicNow()),
                { { "id", request.mId }, { "tokens", request.mTokens } });
  RunEngine(server);
}

auto
HandlePart(const Exchange& aExchange) -> void
{
  const auto& body = aExchange.mBody;
  const auto prompt = TextOf(body, "prompt");
  auto request = PartRequest{};
  request.mReservation = TextOf(body, "reservation");
  const auto* part = body.if_contains("part");
  const auto isNumbered = part != nullptr && part->is_int64();
  request.mPart =
    isNumbered ? std::to_string(WholeOf(body, "part")) : TextOf(body, "part");
  request.mTokens = CountTokens(prompt);
  request.mPriority = static_cast<int>(WholeOf(body, "priority", 1));
  FindDigest(
    *aExchange.mServer,
    ObjectsOf(body, "imports"),
    [aExchange, request, prompt](std::optional<std::uint64_t> aDigest) mutable {
      if (!aDigest.has_value()) {
        Refuse(aExchange, { false, kConflict, "part_missing", Millis(0) });
        return;
      }
      request.mDigest = ExtendDigest(*aDigest, prompt);
      RunPart(aExchange, request);
    });
}

auto
HandleExport(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  const auto request = ReadHoldRequest(aExchange.mBody, "holding", "export");
  const auto prefix = TextOf(aExchange.mBody, "prefix");
  const auto verdict =
    ExportPrefix(server.mEngine, request, prefix, MonotonicNow());
  AnswerVerdict(aExchange, verdict, { { "holding", request.mId } });
  RunEngine(server);
}

auto
HandleImport(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  const auto& body = aExchange.mBody;
  const auto request = ReadHoldRequest(body, "id", "import");
  FetchHolding(
    server,
    TextOf(body, "address"),
    TextOf(body, "holding"),
    [aExchange, request](const std::optional<json::object>& aContents) {
      if (!aContents.has_value()) {
        Refuse(aExchange, { false, kConflict, "export_missing", Millis(0) });
        return;
      }
      auto& engine = *aExchange.mServer;
      const auto hashes = TextsOf(*aContents, "prefix_hashes");
      const auto tokens = WholeOf(*aContents, "tokens");
      StartTimer(*engine.mSurroundings.mLoop,
                 TransferTime(engine.mEngine, tokens),
                 [aExchange, request, hashes, isAlive = engine.mIsAlive] {
                   if (*isAlive) {
                     FinishImport(aExchange, request, hashes);
                   }
                 });
    });
}

auto
HandleRenew(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  const auto& body = aExchange.mBody;
  const auto unknown =
    RenewLeases(server.mEngine,
                TextOf(body, "owner"),
                static_cast<Incarnation>(WholeOf(body, "owner_incarnation")),
                MillisOf(body, "lease_ms", Millis(15000)),
                TextsOf(body, "ids"),
                MonotonicNow());
  Answer(aExchange, kOk, { { "unknown", json::value_from(unknown) } });
  RunEngine(server);
}

auto
HandleRelease(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  const auto& id = aExchange.mPath[2];
  ReleaseHolding(server.mEngine, id, MonotonicNow());
  const auto node = server.mStreams.extract(id);
  if (!node.empty()) {
    SetCloseHandler(node.mapped().mResponder, {});
    AbortStream(node.mapped().mResponder);
  }
  Answer(aExchange, kOk, { { "released", true } });
  RunEngine(server);
}

auto
AnswerHolding(const Exchange& aExchange) -> void
{
  const auto contents = HoldingContents(*aExchange.mServer, aExchange.mPath[2]);
  if (!contents.has_value()) {
    Answer(aExchange, kNotFound, { { "error", "holding unknown" } });
    return;
  }
  Answer(aExchange, kOk, *contents);
}

} // namespace cuminslip::fakes
