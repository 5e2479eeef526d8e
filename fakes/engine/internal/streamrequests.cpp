#include "fakes/engine/internal/enginerequests.h"

#include "fakes/engine/answertext.h"
#include "fakes/engine/jsonread.h"

namespace cuminslip::fakes {

using namespace wire;
namespace json = boost::json;

namespace {

constexpr auto kOk = 200;
constexpr auto kBadRequest = 400;
constexpr auto kConflict = 409;
constexpr auto kUnavailable = 503;
constexpr auto kRefusingRetry = Millis(100);

auto
RunStream(const Exchange& aExchange, const StreamRequest& aRequest) -> void
{
  auto& server = *aExchange.mServer;
  if (server.mIsDead) {
    return;
  }
  const auto verdict = SubmitStream(server.mEngine, aRequest, MonotonicNow());
  if (!verdict.mIsAccepted) {
    Refuse(aExchange, verdict);
  } else {
    AttachCaller(server, aRequest.mAttempt, aExchange.mResponder);
  }
  RunEngine(server);
}

} // namespace

auto
HandleStream(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  auto request = ReadStreamRequest(aExchange.mBody);
  const auto prompt = TextOf(aExchange.mBody, "prompt");
  if (request.mAttempt.empty() || request.mModel.empty()) {
    Refuse(aExchange, { false, kBadRequest, "bad_request", Millis(0) });
    return;
  }
  if (server.mFaults.mIsRefusing || server.mIsLeaving) {
    const auto* reason = server.mIsLeaving ? "leaving" : "refusing";
    Refuse(aExchange, { false, kUnavailable, reason, kRefusingRetry });
    return;
  }
  request.mPromptTokens = CountTokens(prompt);
  const auto parts = ObjectsOf(aExchange.mBody, "kv_parts");
  if (request.mPrefixHashes.empty() && parts.empty()) {
    request.mPrefixHashes = PrefixHashes(prompt);
  }
  if (!parts.empty()) {
    // NOTE: the cache is keyed by hashes of the whole prompt, which a stream
    // that has only its last part cannot store.
    request.mPrefixHashes.clear();
  }
  FindDigest(
    server,
    parts,
    [aExchange, request, prompt](std::optional<std::uint64_t> aDigest) mutable {
      if (!aDigest.has_value()) {
        Refuse(aExchange, { false, kConflict, "part_missing", Millis(0) });
        return;
      }
      request.mDigest = ExtendDigest(*aDigest, prompt);
      RunStream(aExchange, request);
    });
}

auto
HandleCancel(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  const auto& attempt = aExchange.mPath[2];
  CancelStream(server.mEngine, attempt, MonotonicNow());
  const auto node = server.mStreams.extract(attempt);
  if (!node.empty()) {
    SetCloseHandler(node.mapped().mResponder, {});
    AbortStream(node.mapped().mResponder);
  }
  if (server.mFaults.mLosesCancelAnswers) {
    StartStream(aExchange.mResponder, kOk, {});
    AbortStream(aExchange.mResponder);
  } else {
    Answer(aExchange, kOk, { { "released", true } });
  }
  RunEngine(server);
}

auto
HandleResume(const Exchange& aExchange) -> void
{
  auto& server = *aExchange.mServer;
  const auto& body = aExchange.mBody;
  const auto request =
    ResumeRequest{ aExchange.mPath[2],
                   TextOf(body, "new_attempt"),
                   WholeOf(body, "from_piece"),
                   TextOf(body, "owner"),
                   static_cast<Incarnation>(WholeOf(body, "owner_incarnation")),
                   MillisOf(body, "lease_ms", Millis(15000)) };
  RunEngine(server);
  const auto verdict = ResumeStream(server.mEngine, request, MonotonicNow());
  if (!verdict.mIsAccepted) {
    Refuse(aExchange, verdict);
    return;
  }
  const auto node = server.mStreams.extract(request.mAttempt);
  if (!node.empty()) {
    SetCloseHandler(node.mapped().mResponder, {});
    AbortStream(node.mapped().mResponder);
  }
  AttachCaller(server, request.mNewAttempt, aExchange.mResponder);
  RunEngine(server);
}

} // namespace cuminslip::fakes
