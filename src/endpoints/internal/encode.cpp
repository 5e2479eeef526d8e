#include "endpoints/internal/names.h"
#include "endpoints/protocol.h"

namespace cuminslip::endpoints {

namespace {

auto
AddOwner(json::object& aObject, const Owner& aOwner) -> void
{
  aObject["owner"] = aOwner.mInstance.mValue;
  aObject["owner_incarnation"] = aOwner.mIncarnation;
}

auto
EncodeModels(const std::vector<AnnouncedModel>& aModels) -> json::array
{
  auto array = json::array{};
  for (const auto& it : aModels) {
    array.push_back(
      json::object{ { "model", it.mModel.mValue },
                    { "version", it.mVersion.mValue },
                    { "adapters", json::value_from(it.mAdapters) } });
  }
  return array;
}

auto
EncodeLoad(const LoadReport& aLoad, Millis aAge) -> json::object
{
  return { { "running_streams", aLoad.mRunningStreams },
           { "waiting_streams", aLoad.mWaitingStreams },
           { "batch_slots", aLoad.mBatchSlots },
           { "queued_prefill_tokens", aLoad.mQueuedPrefillTokens },
           { "free_kv_tokens", aLoad.mFreeKvTokens },
           { "total_kv_tokens", aLoad.mTotalKvTokens },
           { "prefill_tokens_per_second", aLoad.mPrefillTokensPerSecond },
           { "decode_tokens_per_second", aLoad.mDecodeTokensPerSecond },
           { "age_ms", aAge.count() } };
}

auto
EncodeCacheEvents(const CacheEvents& aEvents) -> json::object
{
  auto array = json::array{};
  for (const auto& it : aEvents.mEvents) {
    array.push_back(
      json::object{ { "sequence", it.mSequence },
                    { "kind", FindName(kCacheEventKindNames, it.mKind) },
                    { "prefix", it.mPrefix },
                    { "tokens", it.mTokens } });
  }
  return { { "next_sequence", aEvents.mNextSequence }, { "events", array } };
}

auto
EncodeHoldings(const std::vector<HoldingReport>& aHoldings) -> json::array
{
  auto array = json::array{};
  for (const auto& it : aHoldings) {
    array.push_back(json::object{ { "id", it.mId.mValue },
                                  { "kind", NameOf(it.mKind) },
                                  { "owner", it.mOwner.mValue },
                                  { "owner_incarnation", it.mOwnerIncarnation },
                                  { "tokens", it.mTokens },
                                  { "expires_in_ms", it.mExpiresIn.count() } });
  }
  return array;
}

} // namespace

auto
CancelPath(const AttemptId& aAttempt) -> std::string
{
  return std::string(kStreamsPath) + "/" + aAttempt.mValue + "/cancel";
}

auto
ResumePath(const AttemptId& aAttempt) -> std::string
{
  return std::string(kStreamsPath) + "/" + aAttempt.mValue + "/resume";
}

auto
ReleasePath(const HoldingId& aHolding) -> std::string
{
  return "/v1/holdings/" + aHolding.mValue + "/release";
}

auto
OrderPath(std::string_view aOrder) -> std::string
{
  return std::string(kOrdersPath) + "/" + std::string(aOrder);
}

auto
EncodeAnnouncement(const Announcement& aAnnouncement) -> std::string
{
  auto object = json::object{
    { "endpoint", aAnnouncement.mEndpoint.mValue },
    { "incarnation", aAnnouncement.mIncarnation },
    { "sequence", aAnnouncement.mSequence },
    { "kind", FindName(kEndpointKindNames, aAnnouncement.mKind) },
    { "service", aAnnouncement.mService },
    { "address", aAnnouncement.mAddress },
    { "failure_domain", aAnnouncement.mFailureDomain.mValue },
    { "region", aAnnouncement.mRegion.mValue },
    { "state", FindName(kLeavingNames, aAnnouncement.mIsLeaving) },
    { "interval_ms", aAnnouncement.mInterval.count() },
    { "role", NameOf(aAnnouncement.mRole) },
    { "models", EncodeModels(aAnnouncement.mModels) },
    { "load", EncodeLoad(aAnnouncement.mLoad, aAnnouncement.mLoadAge) },
    { "cache_events", EncodeCacheEvents(aAnnouncement.mCacheEvents) },
    { "holdings", EncodeHoldings(aAnnouncement.mHoldings) }
  };
  if (aAnnouncement.mChecksFencing) {
    object["checks_fencing"] = *aAnnouncement.mChecksFencing;
  }
  return json::serialize(object);
}

auto
EncodeAnnounceAnswer(const AnnounceAnswer& aAnswer) -> std::string
{
  auto object = json::object{ { "accepted", aAnswer.mAccepted } };
  if (aAnswer.mResendCacheEventsFrom) {
    object["resend_cache_events_from"] = *aAnswer.mResendCacheEventsFrom;
  }
  return json::serialize(object);
}

auto
EncodeStreamRequest(const StreamRequest& aRequest) -> std::string
{
  auto parts = json::array{};
  for (const auto& it : aRequest.mKvParts) {
    parts.push_back(json::object{ { "address", it.mAddress },
                                  { "holding", it.mHolding.mValue },
                                  { "tokens", it.mTokens } });
  }
  auto object =
    json::object{ { "attempt", aRequest.mAttempt.mValue },
                  { "model", aRequest.mModel.mValue },
                  { "version", aRequest.mVersion.mValue },
                  { "adapter", aRequest.mAdapter },
                  { "prompt", aRequest.mPrompt },
                  { "max_tokens", aRequest.mMaxTokens },
                  { "priority", static_cast<int>(aRequest.mPriority) },
                  { "allowance_ms", aRequest.mAllowance.count() },
                  { "lease_ms", aRequest.mLease.count() },
                  { "prefix_hashes", json::value_from(aRequest.mPrefixHashes) },
                  { "skip_pieces", aRequest.mSkipPieces },
                  { "kv_parts", std::move(parts) } };
  AddOwner(object, aRequest.mOwner);
  return json::serialize(object);
}

auto
EncodeResumeRequest(const ResumeRequest& aRequest) -> std::string
{
  auto object = json::object{ { "new_attempt", aRequest.mNewAttempt.mValue },
                              { "from_piece", aRequest.mFromPiece },
                              { "lease_ms", aRequest.mLease.count() } };
  AddOwner(object, aRequest.mOwner);
  return json::serialize(object);
}

auto
EncodeReservationRequest(const ReservationRequest& aRequest) -> std::string
{
  auto object = json::object{ { "id", aRequest.mId.mValue },
                              { "tokens", aRequest.mTokens },
                              { "lease_ms", aRequest.mLease.count() } };
  AddOwner(object, aRequest.mOwner);
  return json::serialize(object);
}

auto
EncodePartRequest(const PartRequest& aRequest) -> std::string
{
  auto imports = json::array{};
  for (const auto& it : aRequest.mImports) {
    imports.push_back(json::object{ { "address", it.mAddress },
                                    { "holding", it.mHolding.mValue } });
  }
  return json::serialize(
    json::object{ { "reservation", aRequest.mReservation.mValue },
                  { "part", aRequest.mPart },
                  { "model", aRequest.mModel.mValue },
                  { "version", aRequest.mVersion.mValue },
                  { "prompt", aRequest.mPrompt },
                  { "position", aRequest.mPosition },
                  { "priority", static_cast<int>(aRequest.mPriority) },
                  { "imports", std::move(imports) } });
}

auto
EncodeExportRequest(const ExportRequest& aRequest) -> std::string
{
  auto object = json::object{ { "holding", aRequest.mHolding.mValue },
                              { "prefix", aRequest.mPrefix },
                              { "lease_ms", aRequest.mLease.count() } };
  AddOwner(object, aRequest.mOwner);
  return json::serialize(object);
}

auto
EncodeImportRequest(const ImportRequest& aRequest) -> std::string
{
  auto object = json::object{ { "id", aRequest.mId.mValue },
                              { "address", aRequest.mAddress },
                              { "holding", aRequest.mHolding.mValue },
                              { "lease_ms", aRequest.mLease.count() } };
  AddOwner(object, aRequest.mOwner);
  return json::serialize(object);
}

auto
EncodeRenewRequest(const RenewRequest& aRequest) -> std::string
{
  auto ids = json::array{};
  for (const auto& it : aRequest.mIds) {
    ids.emplace_back(it.mValue);
  }
  auto object = json::object{ { "lease_ms", aRequest.mLease.count() },
                              { "ids", std::move(ids) } };
  AddOwner(object, aRequest.mOwner);
  return json::serialize(object);
}

auto
EncodeOrder(const Order& aOrder) -> std::string
{
  return json::serialize(
    json::object{ { "order", aOrder.mOrder },
                  { "fencing", aOrder.mFencing },
                  { "expires_in_ms", aOrder.mExpiresIn.count() },
                  { "action", NameOf(aOrder.mAction) },
                  { "model", aOrder.mModel.mValue },
                  { "version", aOrder.mVersion.mValue },
                  { "adapter", aOrder.mAdapter },
                  { "role", NameOf(aOrder.mRole) } });
}

auto
NameOf(OrderAction aAction) -> std::string_view
{
  return FindName(kOrderActionNames, aAction);
}

auto
NameOf(EngineRole aRole) -> std::string_view
{
  return FindName(kRoleNames, aRole);
}

auto
NameOf(HoldingKind aKind) -> std::string_view
{
  return FindName(kHoldingKindNames, aKind);
}

} // namespace cuminslip::endpoints
