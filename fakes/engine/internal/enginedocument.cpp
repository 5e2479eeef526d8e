#include "fakes/engine/enginedocument.h"

#include "fakes/engine/jsonread.h"

#include <algorithm>

namespace cuminslip::fakes {

namespace json = boost::json;

namespace {

auto
ModelDocuments(const Engine& aEngine) -> json::array
{
  auto models = json::array{};
  for (const auto& model : aEngine.mModels) {
    models.push_back(
      json::object{ { "model", model.mModel },
                    { "version", model.mVersion },
                    { "adapters", json::value_from(model.mAdapters) } });
  }
  return models;
}

auto
HoldingDocument(const Engine& aEngine,
                const std::string& aId,
                const std::string& aKind,
                const std::string& aOwner,
                Incarnation aIncarnation,
                std::int64_t aTokens,
                TimePoint aLeaseEnd) -> json::object
{
  return { { "id", aId },
           { "kind", aKind },
           { "owner", aOwner },
           { "owner_incarnation", aIncarnation },
           { "tokens", aTokens },
           { "expires_in_ms",
             MillisBetween(aEngine.mNow, aLeaseEnd).count() } };
}

auto
HoldingDocuments(const Engine& aEngine) -> json::array
{
  auto holdings = json::array{};
  for (const auto& [attempt, stream] : aEngine.mStreams) {
    if (!stream.mReservation.empty()) {
      continue;
    }
    const auto& request = stream.mRequest;
    holdings.push_back(
      HoldingDocument(aEngine,
                      attempt,
                      "stream",
                      request.mOwner,
                      request.mOwnerIncarnation,
                      request.mPromptTokens + request.mMaxTokens,
                      stream.mLeaseEnd));
  }
  for (const auto& [id, holding] : aEngine.mHoldings) {
    const auto& request = holding.mRequest;
    holdings.push_back(HoldingDocument(aEngine,
                                       id,
                                       request.mKind,
                                       request.mOwner,
                                       request.mOwnerIncarnation,
                                       request.mTokens,
                                       holding.mLeaseEnd));
  }
  return holdings;
}

auto
CountQueuedPrefill(const Engine& aEngine) -> std::int64_t
{
  auto tokens = std::int64_t{ 0 };
  for (const auto& [attempt, stream] : aEngine.mStreams) {
    tokens +=
      stream.mIsInBatch ? stream.mPrefillLeft : stream.mRequest.mPromptTokens;
  }
  return tokens;
}

} // namespace

auto
LoadDocument(const Engine& aEngine, const EngineFaults& aFaults) -> json::object
{
  const auto& settings = aEngine.mSettings;
  const auto running =
    std::count_if(aEngine.mStreams.begin(),
                  aEngine.mStreams.end(),
                  [](const auto& aEntry) { return aEntry.second.mIsInBatch; });
  const auto all = static_cast<std::int64_t>(aEngine.mStreams.size());
  auto load = FalseLoad{ running,
                         all - running,
                         CountQueuedPrefill(aEngine),
                         CountFree(aEngine.mMemory) };
  load = aFaults.mFalseLoad.value_or(load);
  return { { "running_streams", load.mRunningStreams },
           { "waiting_streams", load.mWaitingStreams },
           { "batch_slots", settings.mBatchSlots },
           { "queued_prefill_tokens", load.mQueuedPrefillTokens },
           { "free_kv_tokens", load.mFreeKvTokens },
           { "total_kv_tokens", settings.mTotalKvTokens },
           { "prefill_tokens_per_second",
             settings.mPrefillTokensPerSecond * aEngine.mTimeScale },
           { "decode_tokens_per_second",
             settings.mDecodeTokensPerSecond * aEngine.mTimeScale } };
}

auto
StateDocument(const Engine& aEngine) -> json::object
{
  return { { "role", aEngine.mRole },
           { "checks_fencing", aEngine.mSettings.mChecksFencing },
           { "models", ModelDocuments(aEngine) },
           { "holdings", HoldingDocuments(aEngine) } };
}

auto
CountersDocument(const Engine& aEngine, bool aIsDetailed) -> json::object
{
  const auto& counters = aEngine.mCounters;
  auto document =
    json::object{ { "streams_taken", counters.mStreamsTaken },
                  { "streams_refused", counters.mStreamsRefused },
                  { "streams_done", counters.mStreamsDone },
                  { "streams_cancelled", counters.mStreamsCancelled },
                  { "streams_expired", counters.mStreamsExpired },
                  { "streams_resumed", counters.mStreamsResumed },
                  { "repeated_attempts", counters.mRepeatedAttempts },
                  { "prompts", aEngine.mPromptRuns.size() },
                  { "prefill_tokens", counters.mPrefillTokens },
                  { "cached_tokens", counters.mCachedTokens },
                  { "pieces", counters.mPieces },
                  { "used_tokens_at_start", 0 },
                  { "used_tokens", CountUsed(aEngine.mMemory) },
                  { "peak_used_tokens", counters.mPeakUsedTokens },
                  { "cached_blocks", aEngine.mMemory.mBlocks.size() },
                  { "holdings", aEngine.mHoldings.size() },
                  { "streams", aEngine.mStreams.size() },
                  { "holdings_expired", counters.mHoldingsExpired },
                  { "orders_refused", counters.mOrdersRefused } };
  if (aIsDetailed) {
    document["attempt_runs"] = json::value_from(aEngine.mAttemptRuns);
  }
  return document;
}

auto
ReadStreamRequest(const json::object& aObject) -> StreamRequest
{
  auto request = StreamRequest{};
  request.mAttempt = TextOf(aObject, "attempt");
  request.mOwner = TextOf(aObject, "owner");
  request.mOwnerIncarnation =
    static_cast<Incarnation>(WholeOf(aObject, "owner_incarnation"));
  request.mModel = TextOf(aObject, "model");
  request.mVersion = TextOf(aObject, "version");
  request.mAdapter = TextOf(aObject, "adapter");
  request.mPrefixHashes = TextsOf(aObject, "prefix_hashes");
  request.mMaxTokens =
    std::max<std::int64_t>(WholeOf(aObject, "max_tokens", 1), 1);
  request.mPriority = static_cast<int>(WholeOf(aObject, "priority", 1));
  request.mAllowance = MillisOf(aObject, "allowance_ms", request.mAllowance);
  request.mLease = MillisOf(aObject, "lease_ms", request.mLease);
  request.mSkipPieces = WholeOf(aObject, "skip_pieces");
  return request;
}

auto
ReadHoldRequest(const json::object& aObject,
                std::string_view aIdKey,
                std::string_view aKind) -> HoldRequest
{
  auto request = HoldRequest{};
  request.mId = TextOf(aObject, aIdKey);
  request.mKind = aKind;
  request.mOwner = TextOf(aObject, "owner");
  request.mOwnerIncarnation =
    static_cast<Incarnation>(WholeOf(aObject, "owner_incarnation"));
  request.mLease = MillisOf(aObject, "lease_ms", request.mLease);
  request.mTokens = WholeOf(aObject, "tokens");
  return request;
}

auto
ReadOrder(const json::object& aObject) -> OrderRequest
{
  return { TextOf(aObject, "order"),
           static_cast<std::uint64_t>(WholeOf(aObject, "fencing")),
           MillisOf(aObject, "expires_in_ms", Millis(0)),
           TextOf(aObject, "action"),
           TextOf(aObject, "model"),
           TextOf(aObject, "version"),
           TextOf(aObject, "adapter"),
           TextOf(aObject, "role") };
}

auto
ReadFaults(const json::object& aObject, EngineFaults& aFaults) -> void
{
  if (TruthOf(aObject, "clear")) {
    aFaults = {};
  }
  auto& f = aFaults;
  f.mIsFrozen = TruthOf(aObject, "freeze", f.mIsFrozen);
  f.mIsRefusing = TruthOf(aObject, "refuse", f.mIsRefusing);
  f.mIsNotAnnouncing = TruthOf(aObject, "stop_announcing", f.mIsNotAnnouncing);
  f.mLosesCancelAnswers =
    TruthOf(aObject, "lose_cancel_answers", f.mLosesCancelAnswers);
  f.mSlowFactor = NumberOf(aObject, "slow", f.mSlowFactor);
  f.mDropAtPiece = WholeOf(aObject, "drop_at_piece", f.mDropAtPiece);
  f.mDropCount = WholeOf(aObject, "drop_count", f.mDropCount);
  f.mForgetsDropped = TruthOf(aObject, "forget_dropped", f.mForgetsDropped);
  f.mDieAtPiece = WholeOf(aObject, "die_at_piece", f.mDieAtPiece);
  f.mRestartAfter = MillisOf(aObject, "restart_after_ms", f.mRestartAfter);
  f.mDuplicateShare = NumberOf(aObject, "duplicate_share", f.mDuplicateShare);
  f.mReorderShare = NumberOf(aObject, "reorder_share", f.mReorderShare);
  f.mForeignShare = NumberOf(aObject, "foreign_share", f.mForeignShare);
  f.mHugeHeaderBytes =
    WholeOf(aObject, "huge_header_bytes", f.mHugeHeaderBytes);
  if (aObject.contains("load_lag_ms")) {
    f.mLoadLag = MillisOf(aObject, "load_lag_ms", Millis(0));
  }
  if (aObject.contains("cache_event_loss")) {
    f.mCacheEventLoss = NumberOf(aObject, "cache_event_loss", 0);
  }
  const auto* load = aObject.if_contains("false_load");
  if (load != nullptr && load->is_object()) {
    const auto& members = load->as_object();
    f.mFalseLoad = FalseLoad{ WholeOf(members, "running_streams"),
                              WholeOf(members, "waiting_streams"),
                              WholeOf(members, "queued_prefill_tokens"),
                              WholeOf(members, "free_kv_tokens") };
  }
}

} // namespace cuminslip::fakes
