#include "requests/internal/dispatch.h"

#include "endpoints/protocol.h"
#include "policy/decisionlog.h"
#include "policy/prefixhashes.h"
#include "requests/internal/attemptevents.h"
#include "requests/internal/delivery.h"
#include "requests/internal/holdings.h"
#include "requests/internal/waiting.h"
#include "requests/types/requestsevents.h"

#include <algorithm>

namespace cuminslip::requests {

namespace {

constexpr auto kQueueTimeRetry = Millis(2000);

auto
AllowanceLeft(const Front& aFront, const Request& aRequest) -> Millis
{
  return MillisBetween(aFront.mPorts.mNow(), aRequest.mFacts.mDeadline);
}

auto
MakeAuthorizationHeaders(const Front& aFront) -> wire::Headers
{
  if (aFront.mSettings.mEndpointKey.empty()) {
    return {};
  }
  return { { "authorization", "Bearer " + aFront.mSettings.mEndpointKey } };
}

auto
BuildStreamCall(const Front& aFront,
                const Request& aRequest,
                const Attempt& aAttempt) -> wire::HttpRequest
{
  const auto& facts = aRequest.mFacts;
  auto stream = endpoints::StreamRequest{};
  stream.mAttempt = aAttempt.mId;
  stream.mOwner = { aFront.mSettings.mInstance, aFront.mSettings.mIncarnation };
  stream.mModel = facts.mModel;
  stream.mVersion = facts.mVersion;
  stream.mPrompt = aRequest.mCompletion->mPrompt;
  stream.mMaxTokens = facts.mMaxTokens;
  const auto slack = facts.mDeadline - aFront.mPorts.mNow();
  stream.mPriority =
    static_cast<Priority>(EnginePriority(facts.mPriority,
                                         aAttempt.mUncachedTokens,
                                         slack,
                                         aFront.mSettings.mChoice.mLanes));
  stream.mAllowance = AllowanceLeft(aFront, aRequest);
  stream.mLease = aFront.mSettings.mLease;
  stream.mSkipPieces = aRequest.mSequencer.mNext;
  std::transform(facts.mPrefixes.begin(),
                 facts.mPrefixes.end(),
                 std::back_inserter(stream.mPrefixHashes),
                 FormatPrefixHash);
  auto headers = MakeAuthorizationHeaders(aFront);
  headers.push_back({ "content-type", "application/json" });
  return { "POST",
           std::string(endpoints::kStreamsPath),
           "",
           headers,
           endpoints::EncodeStreamRequest(stream) };
}

auto
IsForwardedHeader(const wire::Header& aHeader) -> bool
{
  constexpr auto kExcludedHeaders = std::array{
    std::string_view("authorization"),  std::string_view("connection"),
    std::string_view("content-length"), std::string_view("host"),
    std::string_view("keep-alive"),     std::string_view("transfer-encoding"),
    std::string_view("upgrade"),        std::string_view("expect")
  };
  if (aHeader.mName.starts_with("x-cuminslip-")) {
    return false;
  }
  return std::find(kExcludedHeaders.begin(),
                   kExcludedHeaders.end(),
                   aHeader.mName) == kExcludedHeaders.end();
}

auto
BuildServiceCall(const Front& aFront, const Request& aRequest)
  -> wire::HttpRequest
{
  auto call = wire::HttpRequest{ aRequest.mHttp.mMethod,
                                 aRequest.mServicePath,
                                 aRequest.mHttp.mQuery,
                                 {},
                                 aRequest.mHttp.mBody };
  std::copy_if(aRequest.mHttp.mHeaders.begin(),
               aRequest.mHttp.mHeaders.end(),
               std::back_inserter(call.mHeaders),
               IsForwardedHeader);
  call.mHeaders.push_back(
    { "x-cuminslip-request-id", aRequest.mFacts.mId.mValue });
  call.mHeaders.push_back(
    { "x-cuminslip-allowance-ms",
      std::to_string(AllowanceLeft(aFront, aRequest).count()) });
  return call;
}

auto
LogAttemptStarted(const Request& aRequest) -> void
{
  LogEvent(kAttemptStartedEvent,
           { { "request", aRequest.mFacts.mId.mValue },
             { "attempt", aRequest.mAttempt->mId.mValue },
             { "endpoint", aRequest.mAttempt->mEndpoint.mValue },
             { "number", aRequest.mAttempts },
             { "skipped_pieces", aRequest.mSequencer.mNext } });
}

auto
ToRan(const Attempt& aAttempt) -> Ran
{
  return aAttempt.mFirstPiece ? Ran::Yes : Ran::Unknown;
}

auto
RefuseExpired(Front& aFront) -> void
{
  const auto now = aFront.mPorts.mNow();
  for (const auto& entry : TakeExpired(aFront.mQueue, now)) {
    LogWaitExpired(entry, now);
    auto* request = FindRequest(aFront, entry.mId);
    if (request == nullptr) {
      continue;
    }
    RefuseRequest(aFront,
                  *request,
                  { RefusalType::TimedOut,
                    "no endpoint had capacity within the queue time",
                    request->mRan,
                    kQueueTimeRetry });
  }
}

/// Updates the request to the account's active template, so that permissions
/// are checked again right before sending. Returns false if there is none.
auto
RebindTemplate(Front& aFront, Request& aRequest) -> bool
{
  const auto it = aFront.mTemplates.find(aRequest.mFacts.mAccount);
  if (it == aFront.mTemplates.end()) {
    return false;
  }
  aRequest.mTemplate = it->second;
  // NOTE: a partly delivered answer cannot continue with another model or
  // version.
  if (aRequest.mSequencer.mNext == 0 && aRequest.mCompletion) {
    aRequest.mFacts.mModel = it->second->mTemplate.mModel;
    aRequest.mFacts.mVersion = it->second->mTemplate.mVersion;
  }
  return true;
}

/// Refuses requests for which the active template no longer permits any
/// endpoint.
auto
RefuseWithdrawn(Front& aFront, const std::vector<RequestId>& aIds) -> void
{
  for (const auto& id : aIds) {
    auto* request = FindRequest(aFront, id);
    if (request == nullptr) {
      continue;
    }
    RefuseRequest(aFront,
                  *request,
                  { RefusalType::NotPermitted,
                    "the active template permits no endpoint",
                    request->mRan });
  }
}

struct Candidate
{
  RequestId mId;
  EndpointChoice mChoice;
};

auto
StartNext(Front& aFront) -> bool
{
  auto candidate = std::optional<Candidate>{};
  auto withdrawn = std::vector<RequestId>{};
  const auto canStart = [&](const WaitEntry& aEntry) {
    auto* request = FindRequest(aFront, aEntry.mId);
    if (request == nullptr || !RebindTemplate(aFront, *request)) {
      return false;
    }
    auto choice = TryChoice(aFront, *request);
    const auto hasPlace = choice.mIndex.has_value();
    if (choice.mReason == ChoiceReason::NonePermitted) {
      withdrawn.push_back(aEntry.mId);
    }
    if (hasPlace) {
      candidate = Candidate{ aEntry.mId, std::move(choice) };
    }
    return hasPlace;
  };
  const auto started = TakeNext(aFront.mQueue, aFront.mPorts.mNow(), canStart);
  RefuseWithdrawn(aFront, withdrawn);
  if (!started) {
    return !withdrawn.empty();
  }
  LogWaitEnded(*started);
  RecordWait(aFront.mOverload, started->mWaited);
  auto* request = FindRequest(aFront, started->mEntry.mId);
  if (request == nullptr) {
    return true;
  }
  const auto isSame = candidate && candidate->mId == started->mEntry.mId;
  const auto choice = isSame ? candidate->mChoice : TryChoice(aFront, *request);
  if (choice.mIndex) {
    StartAttempt(aFront, *request, choice, aFront.mFleet.mViews);
  }
  return true;
}

} // namespace

auto
PumpQueue(Front& aFront) -> void
{
  if (aFront.mIsPumping) {
    return;
  }
  aFront.mIsPumping = true;
  RefuseExpired(aFront);
  while (StartNext(aFront)) {
  }
  aFront.mIsPumping = false;
}

auto
StartAttempt(Front& aFront,
             Request& aRequest,
             const EndpointChoice& aChoice,
             const std::vector<EndpointView>& aViews) -> void
{
  const auto now = aFront.mPorts.mNow();
  const auto& view = aViews[*aChoice.mIndex];
  auto attempt = Attempt{};
  attempt.mId = AttemptId{ MakeUniqueId(aFront, "a") };
  attempt.mEndpoint = view.mId;
  attempt.mIncarnation = view.mIncarnation;
  attempt.mAddress =
    wire::ParseAddress(view.mAddress).value_or(wire::SocketAddress{});
  attempt.mUncachedTokens = aRequest.mFacts.mPromptTokens;
  attempt.mStarted = now;
  attempt.mLastActivity = now;
  if (!aChoice.mConsidered.empty()) {
    const auto& chosen = aChoice.mConsidered.front();
    attempt.mPredicted = chosen.mTimes;
    attempt.mUncachedTokens -= ExpectedTokens(chosen.mCached);
  }
  aRequest.mStage = Stage::Running;
  aRequest.mAttempt = std::move(attempt);
  ++aRequest.mAttempts;
  ++aFront.mCounters.mAttempts;
  if (aRequest.mAttempts == 1) {
    RecordFirstAttempt(aFront.mRetryBudget, aFront.mSettings.mRetries);
  }
  LogChoice(aRequest.mFacts, aChoice, aViews);
  LogAttemptStarted(aRequest);
  RecordSentPrompt(aFront.mPrefixes,
                   view.mId,
                   view.mIncarnation,
                   aRequest.mFacts.mPrefixes,
                   now);
  auto& running = *aRequest.mAttempt;
  endpoints::BeginAttempt(aRequest.mSequencer, running.mId);
  running.mIsLongPrefill =
    IsLongWork(running.mUncachedTokens, aFront.mSettings.mChoice.mLanes);
  if (running.mIsLongPrefill) {
    CountLongPrefill(aFront.mFleet, running.mEndpoint, 1);
  }
  running.mIsTrial = RecordAttemptStart(
    aFront.mFleet, running.mEndpoint, aRequest.mFacts.mPromptTokens, now);
  auto call = wire::HttpCall{};
  call.mAddress = running.mAddress;
  call.mRequest = aRequest.mCompletion
                    ? BuildStreamCall(aFront, aRequest, running)
                    : BuildServiceCall(aFront, aRequest);
  call.mTimeout = AllowanceLeft(aFront, aRequest) + Millis(1);
  if (aRequest.mCompletion) {
    HoldStream(aFront, aRequest, running);
  }
  running.mCall = aFront.mPorts.mEndpoints.mStart(
    std::move(call), MakeCallHandlers(aFront, aRequest, running.mId));
}

auto
CloseAttempt(Front& aFront, Request& aRequest, endpoints::ReleaseReason aReason)
  -> void
{
  if (!aRequest.mAttempt) {
    return;
  }
  const auto attempt = std::move(*aRequest.mAttempt);
  aRequest.mAttempt.reset();
  aFront.mPorts.mEndpoints.mCancel(attempt.mCall);
  if (attempt.mIsTrial) {
    ForgetTrial(aFront.mFleet, attempt.mEndpoint);
  }
  if (attempt.mIsLongPrefill) {
    CountLongPrefill(aFront.mFleet, attempt.mEndpoint, -1);
  }
  RecordAttemptEnd(aFront.mFleet,
                   attempt.mEndpoint,
                   aRequest.mFacts.mPromptTokens,
                   aFront.mPorts.mNow());
  if (aReason == endpoints::ReleaseReason::None) {
    DropStream(aFront, attempt.mId);
    return;
  }
  ReleaseStream(aFront, attempt.mId, aReason);
}

auto
FailSilentAttempts(Front& aFront) -> void
{
  const auto now = aFront.mPorts.mNow();
  auto silent = std::vector<RequestId>{};
  for (const auto& [id, request] : aFront.mRequests) {
    if (!request->mAttempt || !request->mCompletion) {
      continue;
    }
    const auto& attempt = *request->mAttempt;
    const auto left = request->mFacts.mDeadline - now;
    const auto limit =
      attempt.mStatus == 0
        ? std::min<Micros>(FirstDataTimeout(attempt.mPredicted, left),
                           aFront.mSettings.mSilenceLimit)
        : Micros(aFront.mSettings.mSilenceLimit);
    if (now - attempt.mLastActivity > limit) {
      silent.push_back(id);
    }
  }
  for (const auto& id : silent) {
    if (auto* request = FindRequest(aFront, id)) {
      FailAttempt(aFront,
                  *request,
                  CallOutcome::TimedOut,
                  ToRan(*request->mAttempt),
                  "no data received in time");
    }
  }
}

} // namespace cuminslip::requests
