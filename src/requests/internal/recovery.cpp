#include "endpoints/protocol.h"
#include "policy/decisionlog.h"
#include "requests/internal/delivery.h"
#include "requests/internal/dispatch.h"
#include "requests/internal/filters.h"
#include "requests/internal/waiting.h"
#include "requests/types/requestsevents.h"

namespace cuminslip::requests {

namespace {

constexpr auto kRefusedDelay = Millis(50);
constexpr auto kFailureRetry = Millis(1000);

/// What is known after a further attempt: yes before unknown before no.
auto
CombineRan(Ran aLeft, Ran aRight) -> Ran
{
  if (aLeft == Ran::Yes || aRight == Ran::Yes) {
    return Ran::Yes;
  }
  if (aLeft == Ran::Unknown || aRight == Ran::Unknown) {
    return Ran::Unknown;
  }
  return Ran::No;
}

auto
LogAttemptFailed(const Request& aRequest, Ran aRan, const std::string& aCause)
  -> void
{
  const auto& attempt = *aRequest.mAttempt;
  LogEvent(kAttemptFailedEvent,
           { { "request", aRequest.mFacts.mId.mValue },
             { "attempt", attempt.mId.mValue },
             { "endpoint", attempt.mEndpoint.mValue },
             { "cause", aCause },
             { "ran", RanName(aRan) },
             { "pieces", aRequest.mSequencer.mNext } });
}

/// Puts the request back among the waiting ones after aDelay.
auto
ReturnToQueue(Front& aFront, Request& aRequest, Millis aDelay) -> void
{
  aRequest.mStage = Stage::Retrying;
  const auto id = aRequest.mFacts.mId;
  aRequest.mRetryTimer = aFront.mPorts.mTimers.mStart(aDelay, [&aFront, id] {
    auto* request = FindRequest(aFront, id);
    if (request == nullptr || request->mStage != Stage::Retrying) {
      return;
    }
    request->mRetryTimer = 0;
    EnterQueue(aFront, *request);
    PumpQueue(aFront);
  });
}

auto
DecideNextAttempt(Front& aFront, Request& aRequest, Ran aRan) -> RetryDecision
{
  const auto choice = TryChoice(aFront, aRequest);
  auto input = RetryInput{};
  input.mOutcome =
    aRan == Ran::No ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
  input.mIsIdempotent = aRequest.mFacts.mIsIdempotent;
  input.mAttempts = aRequest.mAttempts;
  input.mAllowanceLeft = aRequest.mFacts.mDeadline - aFront.mPorts.mNow();
  if (!choice.mConsidered.empty()) {
    input.mPredictedTotal = TotalTime(choice.mConsidered.front().mTimes);
  }
  input.mHasOtherEndpoint =
    choice.mIndex.has_value() || MayResolveByWaiting(choice.mReason);
  const auto decision = DecideRetry(
    input, aFront.mSettings.mRetries, aFront.mRetryBudget, aFront.mRandom);
  LogRetry(aRequest.mFacts, input, decision);
  return decision;
}

auto
RetryOrFail(Front& aFront,
            Request& aRequest,
            Ran aRan,
            const std::string& aCause) -> void
{
  const auto decision = DecideNextAttempt(aFront, aRequest, aRan);
  if (decision.mReason != RetryReason::Allowed) {
    RefuseRequest(aFront,
                  aRequest,
                  { RefusalType::EndpointFailed,
                    aCause + "; no further attempt: " +
                      std::string(ToText(decision.mReason)),
                    aRequest.mRan,
                    kFailureRetry });
    return;
  }
  ++aFront.mCounters.mRetries;
  if (aRequest.mSequencer.mNext > 0) {
    ++aFront.mCounters.mResumed;
  }
  ReturnToQueue(aFront, aRequest, decision.mDelay);
}

} // namespace

auto
FailAttempt(Front& aFront,
            Request& aRequest,
            CallOutcome aOutcome,
            Ran aRan,
            const std::string& aCause) -> void
{
  LogAttemptFailed(aRequest, aRan, aCause);
  const auto endpoint = aRequest.mAttempt->mEndpoint;
  RecordCallOutcome(aFront.mFleet,
                    endpoint,
                    aOutcome,
                    aRequest.mAttempt->mIsTrial,
                    aFront.mSettings.mHealth,
                    aFront.mPorts.mNow());
  aRequest.mAttempt->mIsTrial = false;
  aRequest.mRan = CombineRan(aRequest.mRan, aRan);
  CloseAttempt(aFront,
               aRequest,
               aRan == Ran::No ? endpoints::ReleaseReason::None
                               : endpoints::ReleaseReason::Failed);
  UpdateFleetHealth(aFront.mFleet,
                    aFront.mSettings.mHealth,
                    aFront.mPorts.mNow(),
                    aFront.mRandom);
  if (aOutcome == CallOutcome::Refused) {
    // NOTE: a sound refusal, for example for lack of memory, is no failure: the
    // request waits on within its queue time.
    ReturnToQueue(aFront, aRequest, kRefusedDelay);
    return;
  }
  aRequest.mTried.push_back(endpoint);
  RetryOrFail(aFront, aRequest, aRan, aCause);
}

} // namespace cuminslip::requests
