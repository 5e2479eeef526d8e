#include "policy/admission.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
FindPlaceProblem(const AdmissionInput& aInput) -> AdmissionReason
{
  switch (aInput.mChoice.mReason) {
    case ChoiceReason::NonePermitted:
      return AdmissionReason::NonePermitted;
    case ChoiceReason::TooLarge:
      return AdmissionReason::TooLarge;
    default:
      return AdmissionReason::Admitted;
  }
}

auto
FindBoundProblem(const AdmissionInput& aInput) -> AdmissionReason
{
  const auto& wait = aInput.mWait;
  const auto bytes = aInput.mRequest.mBodyBytes;
  if (wait.mAccountRequests >= aInput.mLimits.mMaxWaitingRequests ||
      wait.mAccountBytes + bytes > aInput.mLimits.mMaxWaitingBytes) {
    return AdmissionReason::AccountQueueFull;
  }
  if (wait.mRequests >= aInput.mMaxRequests ||
      wait.mBytes + bytes > aInput.mMaxBytes) {
    return AdmissionReason::QueueFull;
  }
  return AdmissionReason::Admitted;
}

auto
PredictedOf(const EndpointChoice& aChoice) -> PredictedTimes
{
  return aChoice.mConsidered.empty() ? PredictedTimes{}
                                     : aChoice.mConsidered.front().mTimes;
}

auto
FindProblem(const AdmissionInput& aInput,
            const AdmissionSettings& aSettings,
            const AdmissionDecision& aFigures) -> AdmissionReason
{
  if (aInput.mIsStopping) {
    return AdmissionReason::Stopping;
  }
  if (aFigures.mAllowance < aSettings.mLeastAllowance) {
    return AdmissionReason::AllowanceUsedUp;
  }
  const auto place = FindPlaceProblem(aInput);
  if (place != AdmissionReason::Admitted) {
    return place;
  }
  const auto bound = FindBoundProblem(aInput);
  if (bound != AdmissionReason::Admitted) {
    return bound;
  }
  const auto needed = aFigures.mPredictedTotal * aSettings.mPredictionShare;
  return needed > aFigures.mAllowance ? AdmissionReason::PredictedTooLate
                                      : AdmissionReason::Admitted;
}

auto
ComputeRetryAfter(const AdmissionInput& aInput,
                  const AdmissionSettings& aSettings,
                  const AdmissionDecision& aDecision,
                  Millis aUntilTokens,
                  std::mt19937_64& aRandom) -> std::optional<Millis>
{
  auto base = aSettings.mLeastRetryAfter;
  switch (aDecision.mReason) {
    case AdmissionReason::NonePermitted:
    case AdmissionReason::TooLarge:
    case AdmissionReason::AllowanceUsedUp:
      return std::nullopt;
    case AdmissionReason::AccountTokensUsedUp:
      base = std::max(base, aUntilTokens);
      break;
    default:
      base =
        std::max(base,
                 std::chrono::duration_cast<Millis>(
                   aInput.mWait.mPredictedWait + aDecision.mPredicted.mQueue));
  }
  return SpreadRetryAfter(
    base, aInput.mOverloadLevel, aSettings.mGreatestRetryAfter, aRandom);
}

} // namespace

auto
ToText(AdmissionReason aReason) -> std::string_view
{
  switch (aReason) {
    case AdmissionReason::Admitted:
      return "admitted";
    case AdmissionReason::AllowanceUsedUp:
      return "allowance_used_up";
    case AdmissionReason::AccountTokensUsedUp:
      return "account_tokens_used_up";
    case AdmissionReason::AccountQueueFull:
      return "account_queue_full";
    case AdmissionReason::QueueFull:
      return "queue_full";
    case AdmissionReason::PredictedTooLate:
      return "predicted_too_late";
    case AdmissionReason::NonePermitted:
      return "none_permitted";
    case AdmissionReason::TooLarge:
      return "too_large";
    case AdmissionReason::Overloaded:
      return "overloaded";
    case AdmissionReason::Stopping:
      return "stopping";
  }
  return "unknown";
}

auto
IsAdmitted(const AdmissionDecision& aDecision) -> bool
{
  return aDecision.mReason == AdmissionReason::Admitted;
}

auto
ChargedTokens(const RequestFacts& aRequest) -> std::int64_t
{
  return std::max<std::int64_t>(1,
                                aRequest.mPromptTokens + aRequest.mMaxTokens);
}

auto
DecideAdmission(const AdmissionInput& aInput,
                const AdmissionSettings& aSettings,
                TokenBucket& aBucket,
                std::mt19937_64& aRandom) -> AdmissionDecision
{
  auto decision = AdmissionDecision{};
  decision.mPredicted = PredictedOf(aInput.mChoice);
  decision.mPredictedTotal =
    aInput.mWait.mPredictedWait + TotalTime(decision.mPredicted);
  decision.mAllowance = aInput.mRequest.mDeadline - aInput.mNow;
  decision.mReason = FindProblem(aInput, aSettings, decision);
  if (IsAdmitted(decision) &&
      IsShed({ aInput.mRequest.mPriority, aInput.mIsOverShare, false },
             aInput.mOverloadLevel,
             aRandom)) {
    decision.mReason = AdmissionReason::Overloaded;
  }
  const auto tokens = static_cast<double>(ChargedTokens(aInput.mRequest));
  if (IsAdmitted(decision) &&
      !TakeTokens(aBucket, aInput.mLimits, tokens, aInput.mNow)) {
    decision.mReason = AdmissionReason::AccountTokensUsedUp;
  }
  if (!IsAdmitted(decision)) {
    decision.mRetryAfter =
      ComputeRetryAfter(aInput,
                        aSettings,
                        decision,
                        TimeUntilTokens(aBucket, aInput.mLimits),
                        aRandom);
  }
  return decision;
}

} // namespace cuminslip
