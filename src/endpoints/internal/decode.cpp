#include "endpoints/internal/jsonreader.h"
#include "endpoints/internal/names.h"
#include "endpoints/protocol.h"
#include "wire/types/httpmessage.h"

namespace cuminslip::endpoints {

namespace {

constexpr std::int64_t kMaxCount = 1'000'000'000'000;

auto
ReadCount(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> std::int64_t
{
  return ReadInteger(aReader, aKey, aPresence, 0, kMaxCount);
}

auto
ReadModels(const JsonReader& aReader) -> std::vector<AnnouncedModel>
{
  auto models = std::vector<AnnouncedModel>{};
  for (const auto& it :
       ReadObjects(aReader, "models", Presence::Optional, kMaxModels)) {
    models.push_back({ { ReadIdText(it, "model", Presence::Required) },
                       { ReadIdText(it, "version", Presence::Required) },
                       ReadTexts(it, "adapters", kMaxAdapters) });
  }
  return models;
}

auto
ReadLoad(const JsonReader& aReader, Announcement& aAnnouncement) -> void
{
  const auto load = ReadObject(aReader, "load", Presence::Optional);
  if (!load) {
    return;
  }
  auto& report = aAnnouncement.mLoad;
  const auto optional = Presence::Optional;
  report.mRunningStreams = ReadCount(*load, "running_streams", optional);
  report.mWaitingStreams = ReadCount(*load, "waiting_streams", optional);
  report.mBatchSlots =
    ReadInteger(*load, "batch_slots", optional, 1, kMaxCount);
  report.mQueuedPrefillTokens =
    ReadCount(*load, "queued_prefill_tokens", optional);
  report.mFreeKvTokens = ReadCount(*load, "free_kv_tokens", optional);
  report.mTotalKvTokens = ReadCount(*load, "total_kv_tokens", optional);
  report.mPrefillTokensPerSecond =
    ReadNumber(*load, "prefill_tokens_per_second", optional);
  report.mDecodeTokensPerSecond =
    ReadNumber(*load, "decode_tokens_per_second", optional);
  aAnnouncement.mLoadAge = Millis(ReadCount(*load, "age_ms", optional));
  if (report.mFreeKvTokens > report.mTotalKvTokens) {
    AddMemberFinding(*load,
                     "free_kv_tokens",
                     "more than the total",
                     "at most total_kv_tokens");
  }
}

auto
ReadCacheEvents(const JsonReader& aReader) -> CacheEvents
{
  auto result = CacheEvents{};
  const auto cache = ReadObject(aReader, "cache_events", Presence::Optional);
  if (!cache) {
    return result;
  }
  result.mNextSequence =
    ReadUnsigned(*cache, "next_sequence", Presence::Required);
  for (const auto& it :
       ReadObjects(*cache, "events", Presence::Optional, kMaxCacheEvents)) {
    const auto sequence = ReadUnsigned(it, "sequence", Presence::Required);
    if (sequence >= result.mNextSequence) {
      AddMemberFinding(
        it, "sequence", "not before next_sequence", "less than next_sequence");
    }
    const auto kind = ReadName(it,
                               "kind",
                               Presence::Required,
                               kCacheEventKindNames,
                               CacheEventKind::Stored);
    result.mEvents.push_back({ sequence,
                               kind,
                               ReadIdText(it, "prefix", Presence::Required),
                               ReadCount(it, "tokens", Presence::Optional) });
  }
  return result;
}

auto
ReadHoldings(const JsonReader& aReader) -> std::vector<HoldingReport>
{
  auto holdings = std::vector<HoldingReport>{};
  for (const auto& it :
       ReadObjects(aReader, "holdings", Presence::Optional, kMaxHoldings)) {
    holdings.push_back(
      { { ReadIdText(it, "id", Presence::Required) },
        ReadName(it,
                 "kind",
                 Presence::Required,
                 kHoldingKindNames,
                 HoldingKind::Stream),
        { ReadIdText(it, "owner", Presence::Required) },
        ReadUnsigned(it, "owner_incarnation", Presence::Required),
        ReadCount(it, "tokens", Presence::Optional),
        Millis(ReadCount(it, "expires_in_ms", Presence::Optional)) });
  }
  return holdings;
}

auto
ReadIdentity(const JsonReader& aReader, Announcement& aAnnouncement) -> void
{
  const auto required = Presence::Required;
  aAnnouncement.mEndpoint = { ReadIdText(aReader, "endpoint", required) };
  aAnnouncement.mIncarnation = ReadUnsigned(aReader, "incarnation", required);
  aAnnouncement.mSequence = ReadUnsigned(aReader, "sequence", required);
  aAnnouncement.mKind = ReadName(
    aReader, "kind", required, kEndpointKindNames, EndpointKind::ModelEngine);
  aAnnouncement.mService = ReadIdText(aReader, "service", Presence::Optional);
  aAnnouncement.mAddress = ReadIdText(aReader, "address", required);
  aAnnouncement.mFailureDomain = { ReadIdText(
    aReader, "failure_domain", required) };
  aAnnouncement.mRegion = { ReadIdText(aReader, "region", required) };
  aAnnouncement.mIsLeaving =
    ReadName(aReader, "state", required, kLeavingNames, false);
  aAnnouncement.mInterval = Millis(ReadInteger(aReader,
                                               "interval_ms",
                                               required,
                                               kMinInterval.count(),
                                               kMaxInterval.count()));
}

auto
CheckIdentity(const JsonReader& aReader, const Announcement& aAnnouncement)
  -> void
{
  const auto& address = aAnnouncement.mAddress;
  if (!address.empty() && !wire::ParseAddress(address)) {
    AddMemberFinding(aReader, "address", "not an address", "IP:PORT");
  }
  const auto isService = aAnnouncement.mKind == EndpointKind::PlainService;
  if (isService && aAnnouncement.mService.empty()) {
    AddMemberFinding(
      aReader, "service", "missing", "the name of the plain service");
  }
  if (!isService && !aAnnouncement.mService.empty()) {
    AddMemberFinding(
      aReader, "service", "given for a model engine", "an empty text");
  }
}

} // namespace

auto
DecodeAnnouncement(std::string_view aBody) -> leaf::result<Announcement>
{
  auto findings = Findings{};
  const auto object = ParseObject(aBody, kMaxAnnouncementBytes, findings);
  if (!object) {
    return leaf::new_error(std::move(findings));
  }
  const auto reader = JsonReader{ &*object, "", &findings };
  auto announcement = Announcement{};
  ReadIdentity(reader, announcement);
  CheckIdentity(reader, announcement);
  announcement.mRole =
    ReadName(reader, "role", Presence::Optional, kRoleNames, EngineRole::Mixed);
  announcement.mChecksFencing = ReadFlag(reader, "checks_fencing");
  announcement.mModels = ReadModels(reader);
  ReadLoad(reader, announcement);
  announcement.mCacheEvents = ReadCacheEvents(reader);
  announcement.mHoldings = ReadHoldings(reader);
  if (!IsEmpty(findings)) {
    return leaf::new_error(std::move(findings));
  }
  return announcement;
}

auto
DecodePartAnswer(std::string_view aBody) -> leaf::result<PartAnswer>
{
  auto findings = Findings{};
  const auto object = ParseObject(aBody, kMaxAnswerBytes, findings);
  if (!object) {
    return leaf::new_error(std::move(findings));
  }
  const auto reader = JsonReader{ &*object, "", &findings };
  auto answer =
    PartAnswer{ { ReadIdText(reader, "holding", Presence::Required) },
                ReadCount(reader, "tokens", Presence::Required) };
  if (!IsEmpty(findings)) {
    return leaf::new_error(std::move(findings));
  }
  return answer;
}

auto
DecodeOrderStatus(std::string_view aBody) -> leaf::result<OrderStatus>
{
  auto findings = Findings{};
  const auto object = ParseObject(aBody, kMaxAnswerBytes, findings);
  if (!object) {
    return leaf::new_error(std::move(findings));
  }
  const auto reader = JsonReader{ &*object, "", &findings };
  auto status = OrderStatus{
    ReadIdText(reader, "order", Presence::Required),
    ReadName(reader,
             "state",
             Presence::Required,
             kOrderProgressNames,
             OrderProgress::Running),
    ReadText(reader, "reason", Presence::Optional, kMaxTextBytes)
  };
  if (!IsEmpty(findings)) {
    return leaf::new_error(std::move(findings));
  }
  return status;
}

auto
IsReleaseConfirmed(std::string_view aBody) -> bool
{
  auto findings = Findings{};
  const auto object = ParseObject(aBody, kMaxAnswerBytes, findings);
  if (!object) {
    return false;
  }
  return ReadFlag({ &*object, "", &findings }, "released") == true;
}

auto
DecodeRefusal(std::string_view aBody) -> Refusal
{
  auto findings = Findings{};
  const auto object = ParseObject(aBody, kMaxAnswerBytes, findings);
  if (!object) {
    return { true, "answer_not_understood", std::nullopt, std::nullopt };
  }
  const auto reader = JsonReader{ &*object, "", &findings };
  auto refusal = Refusal{};
  const auto isRefused = ReadFlag(reader, "refused") == true;
  const auto ran = ReadText(reader, "ran", Presence::Optional, kMaxTextBytes);
  refusal.mRan = !isRefused || ran != "no";
  refusal.mReason =
    ReadText(reader, "reason", Presence::Optional, kMaxTextBytes);
  if (object->contains("retry_after_ms")) {
    refusal.mRetryAfter =
      Millis(ReadCount(reader, "retry_after_ms", Presence::Optional));
  }
  if (object->contains("highest")) {
    refusal.mHighestFencing =
      ReadUnsigned(reader, "highest", Presence::Optional);
  }
  return refusal;
}

} // namespace cuminslip::endpoints
