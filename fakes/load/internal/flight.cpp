#include "fakes/load/internal/flight.h"

#include "fakes/engine/answertext.h"
#include "fakes/engine/jsonread.h"

#include <algorithm>

namespace cuminslip::fakes {

using namespace wire;
namespace json = boost::json;

namespace {

constexpr auto kOk = 200;
constexpr auto kMaxErrorBytes = std::size_t{ 64 } * 1024;
/// An answer that is later than its allowance by no more than this is in time,
/// since its way back takes some time too.
constexpr auto kLateTolerance = Millis(100);
constexpr auto kReconnectDelay = Millis(20);
constexpr auto kLongestPriority = std::size_t{ 2 };

auto
MillisOfDouble(Micros aTime) -> double
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

auto
TakeText(Flight& aFlight, const std::string& aText, TimePoint aNow) -> void
{
  auto& record = aFlight.mRecord;
  const auto words = CheckText(aFlight.mCheck, aText);
  for (auto i = std::int64_t{ 0 }; i < words; ++i) {
    if (record.mFirstTokenMs < 0) {
      record.mFirstTokenMs = MillisOfDouble(aNow - aFlight.mPlannedAt);
    } else {
      record.mGapsMs.push_back(MillisOfDouble(aNow - aFlight.mLastTokenAt));
    }
    aFlight.mLastTokenAt = aNow;
  }
}

/// Type, ran and retry hint of a refusal or failure.
struct ErrorBody
{
  std::string mType;
  std::string mRan;
  std::optional<Millis> mRetryAfter;
};

auto
ReadErrorBody(const std::string& aBody, int aStatus) -> ErrorBody
{
  const auto object = ParseObject(aBody);
  const auto* error =
    object.has_value() ? object->if_contains("error") : nullptr;
  const auto isNested = error != nullptr && error->is_object();
  if (!isNested && !object.has_value()) {
    return { "status_" + std::to_string(aStatus), "unknown", std::nullopt };
  }
  const auto& members = isNested ? error->as_object() : *object;
  auto body =
    ErrorBody{ TextOf(members, "type"), TextOf(members, "ran"), std::nullopt };
  if (body.mType.empty()) {
    body.mType = TextOf(members, "reason");
  }
  if (members.contains("retry_after_ms")) {
    body.mRetryAfter = MillisOf(members, "retry_after_ms", Millis(0));
  }
  return body;
}

auto
EndOf(CallEnd aEnd) -> ErrorBody
{
  switch (aEnd) {
    case CallEnd::NotConnected:
      return { "not_connected", "no", kReconnectDelay };
    case CallEnd::TimedOut:
      return { "no_answer_in_time", "unknown", std::nullopt };
    case CallEnd::TooLarge:
      return { "too_large", "unknown", std::nullopt };
    case CallEnd::Complete:
    case CallEnd::Broken:
      return { "connection_broken", "unknown", kReconnectDelay };
  }
  return {};
}

auto
FinishRecord(Flight& aFlight, TimePoint aNow) -> void
{
  auto& record = aFlight.mRecord;
  const auto elapsed = aNow - aFlight.mPlannedAt;
  record.mTotalMs = MillisOfDouble(elapsed);
  const auto late = elapsed - Micros(aFlight.mPlanned.mAllowance);
  record.mLateMs = late > kLateTolerance ? MillisOfDouble(late) : 0;
  record.mLost = aFlight.mCheck.mLost;
  record.mDoubled = aFlight.mCheck.mDoubled;
  record.mForeign = aFlight.mCheck.mForeign;
}

auto
IsWhole(const Flight& aFlight, CallEnd aEnd) -> bool
{
  if (aEnd != CallEnd::Complete || aFlight.mStatus != kOk) {
    return false;
  }
  return aFlight.mPlanned.mIsService ? !aFlight.mBody.empty()
                                     : aFlight.mEnd == "length";
}

auto
FindError(const Flight& aFlight, CallEnd aEnd) -> ErrorBody
{
  if (!aFlight.mError.empty()) {
    return ReadErrorBody(aFlight.mError, aFlight.mStatus);
  }
  if (aEnd == CallEnd::Complete && aFlight.mEnd.has_value()) {
    return { "end_" + *aFlight.mEnd, "yes", std::nullopt };
  }
  const auto hasErrorBody =
    aEnd == CallEnd::Complete && aFlight.mStatus != 0 && aFlight.mStatus != kOk;
  return hasErrorBody ? ReadErrorBody(aFlight.mBody, aFlight.mStatus)
                      : EndOf(aEnd);
}

} // namespace

auto
ResetFlight(Flight& aFlight) -> void
{
  aFlight.mCheck =
    AnswerCheck{ aFlight.mCheck.mDigest, aFlight.mCheck.mExpected };
  aFlight.mReader = {};
  aFlight.mStatus = 0;
  aFlight.mBody.clear();
  aFlight.mEnd.reset();
  aFlight.mError.clear();
  aFlight.mRecord.mFirstTokenMs = -1;
  aFlight.mRecord.mGapsMs.clear();
  aFlight.mRecord.mAttempts += 1;
}

auto
TakeBytes(Flight& aFlight, std::string_view aBytes, TimePoint aNow) -> void
{
  if (aFlight.mPlanned.mIsService || aFlight.mStatus != kOk) {
    const auto room = kMaxErrorBytes - aFlight.mBody.size();
    aFlight.mBody += aBytes.substr(0, room);
    return;
  }
  auto event = AnswerEvent{};
  while (ReadEvent(aFlight.mReader, aBytes, event)) {
    if (event.mKind == AnswerEvent::Kind::Text) {
      TakeText(aFlight, event.mText, aNow);
    } else if (event.mKind == AnswerEvent::Kind::End) {
      aFlight.mEnd = event.mText;
    } else {
      aFlight.mError = event.mText.empty() ? "{}" : event.mText;
    }
  }
}

auto
JudgeEnd(Flight& aFlight,
         CallEnd aEnd,
         std::int64_t aMaxAttempts,
         TimePoint aNow) -> FlightVerdict
{
  auto& record = aFlight.mRecord;
  if (IsWhole(aFlight, aEnd)) {
    CheckEnd(aFlight.mCheck);
    record.mOutcome = "done";
    FinishRecord(aFlight, aNow);
    return {};
  }
  const auto error = FindError(aFlight, aEnd);
  const auto after = error.mRetryAfter.value_or(Millis(0));
  const auto allowanceEnd = aFlight.mPlannedAt + aFlight.mPlanned.mAllowance;
  const auto isResent = error.mRetryAfter.has_value() &&
                        record.mAttempts < aMaxAttempts &&
                        aNow + after < allowanceEnd;
  if (isResent) {
    return { true, after };
  }
  record.mType = error.mType;
  record.mRan = error.mRan;
  record.mOutcome = error.mRan == "no" ? "refused" : "failed";
  FinishRecord(aFlight, aNow);
  return {};
}

auto
MakeHttpRequest(const LoadSettings& aSettings,
                const Flight& aFlight,
                Millis aRemaining) -> HttpRequest
{
  const auto& planned = aFlight.mPlanned;
  const auto& account = aSettings.mAccounts[planned.mAccount];
  const auto id = aFlight.mRecord.mLabel + "-" +
                  std::to_string(aFlight.mRecord.mSeed) + "-" +
                  std::to_string(planned.mIndex);
  auto request = HttpRequest{};
  request.mMethod = "POST";
  request.mHeaders = { { "authorization", "Bearer " + account.mKey },
                       { "content-type", "application/json" },
                       { "x-cuminslip-allowance-ms",
                         std::to_string(aRemaining.count()) } };
  if (planned.mIsService) {
    const auto& service = aSettings.mServices[planned.mKind];
    request.mPath = "/v1/services/" + service.mName + "/book";
    request.mHeaders.push_back({ "x-cuminslip-kind", service.mKind });
    request.mHeaders.push_back({ "idempotency-key", id });
    request.mBody = json::serialize(json::object{ { "booking", id } });
    return request;
  }
  const auto& kind = aSettings.mKinds[planned.mKind];
  auto body = json::object{ { "model", account.mModel },
                            { "max_tokens", planned.mAnswerTokens },
                            { "stream", true } };
  request.mPath = "/v1/completions";
  request.mHeaders.push_back({ "x-cuminslip-kind", kind.mName });
  if (aSettings.mIsDirect) {
    request.mPath = "/v1/streams";
    body["version"] = account.mVersion;
    body["attempt"] = id + "-" + std::to_string(aFlight.mRecord.mAttempts);
    body["owner"] = "load";
    body["priority"] = std::min(planned.mKind, kLongestPriority);
    body["allowance_ms"] = aRemaining.count();
    body["lease_ms"] = aRemaining.count();
  }
  // NOTE: the prompt has no character that JSON escapes, so that a long one is
  // copied once only.
  const auto head = json::serialize(body);
  auto text = std::string{};
  text.reserve(head.size() + aFlight.mPrompt.size() + 16);
  text = head.substr(0, head.size() - 1);
  text += R"(,"prompt":")";
  text += aFlight.mPrompt;
  text += "\"}";
  request.mBody = std::move(text);
  return request;
}

} // namespace cuminslip::fakes
