#include "requests/internal/delivery.h"

#include "policy/admission.h"
#include "requests/completions.h"
#include "requests/internal/claims.h"
#include "requests/internal/dispatch.h"
#include "requests/internal/runrecord.h"
#include "requests/types/requestsevents.h"

#include <algorithm>

namespace cuminslip::requests {

namespace {

constexpr auto kEventStream = "text/event-stream";
constexpr auto kRequestIdHeader = "x-cuminslip-request-id";
constexpr auto kMillisPerSecond = 1000;

auto
IsStreaming(const Request& aRequest) -> bool
{
  return aRequest.mCompletion && aRequest.mCompletion->mIsStream;
}

auto
NeedsWholeText(const Request& aRequest) -> bool
{
  return !IsStreaming(aRequest) || aRequest.mClaim.has_value();
}

auto
StartAnswer(Request& aRequest) -> void
{
  if (aRequest.mHasStartedAnswer) {
    return;
  }
  aRequest.mHasStartedAnswer = true;
  aRequest.mCaller.mStartStream(
    200,
    { { "content-type", kEventStream },
      { "cache-control", "no-store" },
      { kRequestIdHeader, aRequest.mFacts.mId.mValue } });
}

auto
RespondRefusal(const Request& aRequest, const Refusal& aRefusal) -> void
{
  const auto& id = aRequest.mFacts.mId.mValue;
  auto response = wire::JsonResponse(RefusalStatus(aRefusal.mType),
                                     FormatRefusal(aRefusal, id));
  response.mHeaders.push_back({ kRequestIdHeader, id });
  if (aRefusal.mRetryAfter) {
    const auto seconds =
      (aRefusal.mRetryAfter->count() + kMillisPerSecond - 1) / kMillisPerSecond;
    response.mHeaders.push_back({ "retry-after", std::to_string(seconds) });
  }
  aRequest.mCaller.mRespond(response);
}

auto
SendFinalRefusal(const Request& aRequest, const Refusal& aRefusal) -> void
{
  if (!aRequest.mHasStartedAnswer) {
    RespondRefusal(aRequest, aRefusal);
    return;
  }
  aRequest.mCaller.mSendPiece(
    "event: error\ndata: " +
    FormatRefusal(aRefusal, aRequest.mFacts.mId.mValue) + "\n\n");
  aRequest.mCaller.mFinish();
}

/// Refunds the tokens of a request that was admitted but not executed. Does
/// nothing if the request was not admitted: its deadline timer is not set.
auto
ReturnTokens(Front& aFront, const Request& aRequest) -> void
{
  if (aRequest.mDeadlineTimer == 0) {
    return;
  }
  const auto& limits = aRequest.mTemplate->mTemplate.mLimits;
  ChargeTokens(aFront.mBuckets[aRequest.mFacts.mAccount],
               limits,
               -static_cast<double>(ChargedTokens(aRequest.mFacts)),
               aFront.mPorts.mNow());
}

/// Removes a request that has its final answer.
auto
EndRequest(Front& aFront, Request& aRequest) -> void
{
  aRequest.mStage = Stage::Done;
  aFront.mPorts.mTimers.mStop(aRequest.mDeadlineTimer);
  aFront.mPorts.mTimers.mStop(aRequest.mRetryTimer);
  RemoveEntry(aFront.mQueue, aRequest.mFacts.mId);
  const auto it = aFront.mRequests.find(aRequest.mFacts.mId);
  if (it == aFront.mRequests.end()) {
    return;
  }
  aFront.mEnded.push_back(std::move(it->second));
  aFront.mRequests.erase(it);
}

auto
LogFinished(Front& aFront, const Request& aRequest) -> void
{
  const auto& facts = aRequest.mFacts;
  const auto now = aFront.mPorts.mNow();
  const auto firstPiece = aRequest.mFirstPiece.value_or(now);
  LogEvent(
    kRequestFinishedEvent,
    { { "request", facts.mId.mValue },
      { "account", facts.mAccount.mValue },
      { "attempts", aRequest.mAttempts },
      { "pieces", aRequest.mSequencer.mNext },
      { "first_token_ms", MillisBetween(facts.mArrived, firstPiece).count() },
      { "total_ms", MillisBetween(facts.mArrived, now).count() } });
}

auto
RecordAnswer(Front& aFront, Request& aRequest, RunRecord aRecord) -> void
{
  auto text = EncodeRunRecord(aRecord);
  if (text.size() > aFront.mSettings.mMaxRecordedBytes) {
    aRecord.mBody = {};
    aRecord.mIsWhole = false;
    text = EncodeRunRecord(aRecord);
  }
  RecordOutcome(aFront, aRequest, std::move(text));
}

auto
RespondWholeAnswer(const Request& aRequest, const std::string& aReason) -> void
{
  const auto& id = aRequest.mFacts.mId.mValue;
  auto response = wire::JsonResponse(200,
                                     FormatAnswer(*aRequest.mCompletion,
                                                  id,
                                                  aRequest.mText,
                                                  aReason,
                                                  aRequest.mFacts.mPromptTokens,
                                                  aRequest.mSequencer.mNext));
  response.mHeaders.push_back({ kRequestIdHeader, id });
  aRequest.mCaller.mRespond(response);
}

auto
IsForwardedResponseHeader(const wire::Header& aHeader) -> bool
{
  constexpr auto kExcludedHeaders =
    std::array{ std::string_view("connection"),
                std::string_view("content-length"),
                std::string_view("transfer-encoding"),
                std::string_view("keep-alive"),
                std::string_view("server"),
                std::string_view("date") };
  return std::find(kExcludedHeaders.begin(),
                   kExcludedHeaders.end(),
                   aHeader.mName) == kExcludedHeaders.end();
}

auto
RespondReplay(const Request& aRequest, const RunRecord& aRecord) -> void
{
  const auto& id = aRequest.mFacts.mId.mValue;
  if (!aRequest.mCompletion) {
    auto response = wire::HttpResponse{ aRecord.mStatus, {}, aRecord.mBody };
    response.mHeaders.push_back({ "content-type", aRecord.mContentType });
    response.mHeaders.push_back({ kRequestIdHeader, id });
    aRequest.mCaller.mRespond(response);
    return;
  }
  if (!aRequest.mCompletion->mIsStream) {
    RespondWholeAnswer(aRequest, aRecord.mReason);
    return;
  }
  const auto& completion = *aRequest.mCompletion;
  aRequest.mCaller.mStartStream(
    200, { { "content-type", kEventStream }, { kRequestIdHeader, id } });
  aRequest.mCaller.mSendPiece(
    FormatPiece(completion.mForm, id, completion.mModel, aRecord.mBody));
  aRequest.mCaller.mSendPiece(
    FormatEnd(completion.mForm, id, completion.mModel, aRecord.mReason));
  aRequest.mCaller.mFinish();
}

} // namespace

auto
RefuseRequest(Front& aFront, Request& aRequest, const Refusal& aRefusal) -> void
{
  if (aRequest.mStage == Stage::Done) {
    return;
  }
  ++aFront.mCounters.mRefusals.at(static_cast<std::size_t>(aRefusal.mType));
  const auto isFailure = aRefusal.mRan != Ran::No;
  LogEvent(
    isFailure ? kRequestFailedEvent : kRefusalSentEvent,
    { { "request", aRequest.mFacts.mId.mValue },
      { "account", aRequest.mFacts.mAccount.mValue },
      { "type", RefusalName(aRefusal.mType) },
      { "ran", RanName(aRefusal.mRan) },
      { "reason", aRefusal.mMessage },
      { "attempts", aRequest.mAttempts },
      { "retry_after_ms", aRefusal.mRetryAfter.value_or(Millis(0)).count() } });
  CloseAttempt(aFront,
               aRequest,
               aRefusal.mType == RefusalType::TimedOut
                 ? endpoints::ReleaseReason::DeadlinePassed
                 : endpoints::ReleaseReason::Failed);
  RecordFailure(aFront, aRequest, aRefusal.mRan);
  if (aRefusal.mRan == Ran::No) {
    ReturnTokens(aFront, aRequest);
  }
  SendFinalRefusal(aRequest, aRefusal);
  EndRequest(aFront, aRequest);
}

auto
DeliverPiece(Front& aFront, Request& aRequest, const std::string& aText) -> void
{
  if (!aRequest.mFirstPiece) {
    aRequest.mFirstPiece = aFront.mPorts.mNow();
  }
  if (NeedsWholeText(aRequest)) {
    aRequest.mText += aText;
  }
  if (!IsStreaming(aRequest)) {
    return;
  }
  StartAnswer(aRequest);
  const auto& completion = *aRequest.mCompletion;
  aRequest.mCaller.mSendPiece(FormatPiece(
    completion.mForm, aRequest.mFacts.mId.mValue, completion.mModel, aText));
}

auto
FinishAnswer(Front& aFront, Request& aRequest, const std::string& aReason)
  -> void
{
  ++aFront.mCounters.mFinished;
  LogFinished(aFront, aRequest);
  if (aRequest.mClaim) {
    RecordAnswer(aFront, aRequest, { 200, "", aRequest.mText, aReason, true });
  }
  if (!IsStreaming(aRequest)) {
    RespondWholeAnswer(aRequest, aReason);
  } else {
    StartAnswer(aRequest);
    const auto& completion = *aRequest.mCompletion;
    aRequest.mCaller.mSendPiece(FormatEnd(completion.mForm,
                                          aRequest.mFacts.mId.mValue,
                                          completion.mModel,
                                          aReason));
    aRequest.mCaller.mFinish();
  }
  EndRequest(aFront, aRequest);
}

auto
FinishServiceCall(Front& aFront,
                  Request& aRequest,
                  const wire::HttpResponse& aResponse) -> void
{
  ++aFront.mCounters.mFinished;
  LogFinished(aFront, aRequest);
  RecordAnswer(
    aFront,
    aRequest,
    { aResponse.mStatus,
      wire::FindHeader(aResponse.mHeaders, "content-type").value_or(""),
      aResponse.mBody,
      "",
      true });
  auto response = wire::HttpResponse{ aResponse.mStatus, {}, aResponse.mBody };
  std::copy_if(aResponse.mHeaders.begin(),
               aResponse.mHeaders.end(),
               std::back_inserter(response.mHeaders),
               IsForwardedResponseHeader);
  response.mHeaders.push_back({ kRequestIdHeader, aRequest.mFacts.mId.mValue });
  aRequest.mCaller.mRespond(response);
  EndRequest(aFront, aRequest);
}

auto
ReplayRun(Front& aFront, Request& aRequest, const std::string& aRecord) -> void
{
  const auto record = DecodeRunRecord(aRecord);
  if (!record || !record->mIsWhole) {
    RefuseRequest(aFront,
                  aRequest,
                  { RefusalType::OutcomeUnknown,
                    "the run with this key has finished, but its answer was "
                    "not recorded",
                    Ran::Yes });
    return;
  }
  ++aFront.mCounters.mReplayedRuns;
  LogEvent(kRunReplayedEvent, { { "request", aRequest.mFacts.mId.mValue } });
  aRequest.mText = record->mBody;
  RespondReplay(aRequest, *record);
  EndRequest(aFront, aRequest);
}

auto
DropRequest(Front& aFront, Request& aRequest) -> void
{
  ++aFront.mCounters.mCallerGone;
  LogEvent(kCallerGoneEvent,
           { { "request", aRequest.mFacts.mId.mValue },
             { "pieces", aRequest.mSequencer.mNext } });
  const auto ran = aRequest.mAttempt ? Ran::Unknown : aRequest.mRan;
  CloseAttempt(aFront, aRequest, endpoints::ReleaseReason::CallerGone);
  RecordFailure(aFront, aRequest, ran);
  if (ran == Ran::No) {
    ReturnTokens(aFront, aRequest);
  }
  aRequest.mCaller.mAbort();
  EndRequest(aFront, aRequest);
}

} // namespace cuminslip::requests
