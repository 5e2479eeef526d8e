#include "policy/decisionlog.h"

#include "policy/types/policyevents.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
ToMillis(Micros aTime) -> std::int64_t
{
  return std::chrono::duration_cast<Millis>(aTime).count();
}

auto
FormatOne(const ConsideredEndpoint& aItem,
          std::span<const EndpointView> aEndpoints) -> std::string
{
  return aEndpoints[aItem.mIndex].mId.mValue + " " +
         std::to_string(ToMillis(FirstTokenTime(aItem.mTimes))) + "/" +
         std::to_string(aItem.mCached.mTokens) + "/" +
         std::to_string(ToMillis(aItem.mCost));
}

auto
FormatRuledOut(const RuledOut& aRuledOut) -> std::string
{
  auto text = std::string{};
  const auto add = [&](std::string_view aName, std::size_t aCount) {
    if (aCount > 0) {
      text += text.empty() ? "" : " ";
      text += std::string(aName) + "=" + std::to_string(aCount);
    }
  };
  add("not_permitted", aRuledOut.mNotPermitted);
  add("leaving", aRuledOut.mLeaving);
  add("suspect", aRuledOut.mSuspect);
  add("ejected", aRuledOut.mEjected);
  add("tried", aRuledOut.mTried);
  add("too_small", aRuledOut.mTooSmall);
  add("lane_full", aRuledOut.mLaneFull);
  return text;
}

auto
FormatParts(const SplitPlan& aPlan, std::span<const EndpointView> aEndpoints)
  -> std::string
{
  auto text = std::string{};
  for (const auto& part : aPlan.mParts) {
    text += text.empty() ? "" : " ";
    text +=
      aEndpoints[part.mIndex].mId.mValue + "=" + std::to_string(part.mTokens);
  }
  return text;
}

} // namespace

auto
FormatAlternatives(const EndpointChoice& aChoice,
                   std::span<const EndpointView> aEndpoints,
                   std::size_t aMost) -> std::string
{
  auto text = std::string{};
  const auto count = std::min(aMost, aChoice.mConsidered.size());
  for (auto i = std::size_t{ 0 }; i < count; ++i) {
    text += text.empty() ? "" : ", ";
    text += FormatOne(aChoice.mConsidered[i], aEndpoints);
  }
  return text;
}

auto
LogChoice(const RequestFacts& aRequest,
          const EndpointChoice& aChoice,
          std::span<const EndpointView> aEndpoints) -> void
{
  const auto ruledOut = FormatRuledOut(aChoice.mRuledOut);
  if (!aChoice.mIndex) {
    LogEvent(kNoEndpointChosenEvent,
             { { "request", aRequest.mId.mValue },
               { "reason", ToText(aChoice.mReason) },
               { "ruled_out", ruledOut } });
    return;
  }
  const auto& chosen = aChoice.mConsidered.front();
  LogEvent(kEndpointChosenEvent,
           { { "request", aRequest.mId.mValue },
             { "endpoint", aEndpoints[*aChoice.mIndex].mId.mValue },
             { "reason", ToText(aChoice.mReason) },
             { "tokens", aRequest.mPromptTokens },
             { "cached_tokens", chosen.mCached.mTokens },
             { "certainty", chosen.mCached.mCertainty },
             { "queue_ms", ToMillis(chosen.mTimes.mQueue) },
             { "prefill_ms", ToMillis(chosen.mTimes.mPrefill) },
             { "lane", ToText(chosen.mLane) },
             { "alternatives", FormatAlternatives(aChoice, aEndpoints) },
             { "ruled_out", ruledOut } });
}

auto
LogAdmission(const RequestFacts& aRequest, const AdmissionDecision& aDecision)
  -> void
{
  const auto& event =
    IsAdmitted(aDecision) ? kRequestAdmittedEvent : kRequestRefusedEvent;
  const auto hint = aDecision.mRetryAfter ? aDecision.mRetryAfter->count() : -1;
  LogEvent(event,
           { { "request", aRequest.mId.mValue },
             { "account", aRequest.mAccount.mValue },
             { "kind", aRequest.mKind.mValue },
             { "reason", ToText(aDecision.mReason) },
             { "tokens", aRequest.mPromptTokens },
             { "allowance_ms", ToMillis(aDecision.mAllowance) },
             { "predicted_ms", ToMillis(aDecision.mPredictedTotal) },
             { "retry_after_ms", std::int64_t{ hint } } });
}

auto
LogWaitStarted(const WaitEntry& aEntry, const EnqueueResult& aResult) -> void
{
  const auto limit = aEntry.mExpires - aEntry.mEnqueued;
  LogEvent(kWaitStartedEvent,
           { { "request", aEntry.mId.mValue },
             { "account", aEntry.mAccount.mValue },
             { "result", ToText(aResult.mReason) },
             { "tokens", aEntry.mCostTokens },
             { "is_long", aEntry.mPool.mIsLong },
             { "limit_ms", ToMillis(limit) } });
}

auto
LogWaitEnded(const StartedEntry& aStarted) -> void
{
  LogEvent(kWaitEndedEvent,
           { { "request", aStarted.mEntry.mId.mValue },
             { "account", aStarted.mEntry.mAccount.mValue },
             { "reason", ToText(aStarted.mReason) },
             { "waited_ms", ToMillis(aStarted.mWaited) } });
}

auto
LogWaitExpired(const WaitEntry& aEntry, TimePoint aNow) -> void
{
  LogEvent(kWaitExpiredEvent,
           { { "request", aEntry.mId.mValue },
             { "account", aEntry.mAccount.mValue },
             { "waited_ms", ToMillis(aNow - aEntry.mEnqueued) } });
}

auto
LogWaitDisplaced(const WaitEntry& aEntry, TimePoint aNow) -> void
{
  LogEvent(kWaitDisplacedEvent,
           { { "request", aEntry.mId.mValue },
             { "account", aEntry.mAccount.mValue },
             { "value", aEntry.mValue },
             { "waited_ms", ToMillis(aNow - aEntry.mEnqueued) } });
}

auto
LogRetry(const RequestFacts& aRequest,
         const RetryInput& aInput,
         const RetryDecision& aDecision) -> void
{
  LogEvent(kRetryDecidedEvent,
           { { "request", aRequest.mId.mValue },
             { "reason", ToText(aDecision.mReason) },
             { "attempts", aInput.mAttempts },
             { "allowance_ms", ToMillis(aInput.mAllowanceLeft) },
             { "predicted_ms", ToMillis(aInput.mPredictedTotal) },
             { "delay_ms", std::int64_t{ aDecision.mDelay.count() } } });
}

auto
LogHealthChange(const HealthChange& aChange) -> void
{
  LogEvent(kEndpointHealthEvent,
           { { "endpoint", aChange.mEndpoint.mValue },
             { "change", ToText(aChange.mKind) },
             { "for_ms", std::int64_t{ aChange.mFor.count() } },
             { "failures", aChange.mCalls.mConsecutiveFailures },
             { "failure_share", aChange.mCalls.mFailureShare } });
}

auto
LogOverload(double aLevel, Micros aOldestWait) -> void
{
  LogEvent(
    kOverloadChangedEvent,
    { { "level", aLevel }, { "oldest_wait_ms", ToMillis(aOldestWait) } });
}

auto
LogSplit(const RequestFacts& aRequest,
         const SplitPlan& aPlan,
         std::span<const EndpointView> aEndpoints) -> void
{
  LogEvent(kSplitPlannedEvent,
           { { "request", aRequest.mId.mValue },
             { "reason", ToText(aPlan.mReason) },
             { "tokens", aRequest.mPromptTokens },
             { "parts", FormatParts(aPlan, aEndpoints) },
             { "prefill_ms", ToMillis(aPlan.mPredictedPrefill) } });
}

auto
LogPermissionWithdrawn(const RequestFacts& aRequest,
                       const EndpointId& aEndpoint,
                       Permission aPermission) -> void
{
  LogEvent(kPermissionWithdrawnEvent,
           { { "request", aRequest.mId.mValue },
             { "endpoint", aEndpoint.mValue },
             { "reason", ToText(aPermission) } });
}

} // namespace cuminslip
