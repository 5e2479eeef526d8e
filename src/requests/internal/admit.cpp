#include "requests/internal/delivery.h"
#include "requests/internal/filters.h"
#include "requests/internal/waiting.h"
#include "requests/types/requestsevents.h"

namespace cuminslip::requests {

namespace {

auto
ToRefusalType(AdmissionReason aReason) -> RefusalType
{
  switch (aReason) {
    case AdmissionReason::AccountTokensUsedUp:
      return RefusalType::RateLimited;
    case AdmissionReason::AccountQueueFull:
    case AdmissionReason::QueueFull:
    case AdmissionReason::Overloaded:
      return RefusalType::Overloaded;
    case AdmissionReason::NonePermitted:
      return RefusalType::NoEndpoint;
    case AdmissionReason::TooLarge:
      return RefusalType::TooLarge;
    case AdmissionReason::Stopping:
      return RefusalType::Stopping;
    case AdmissionReason::Admitted:
    case AdmissionReason::AllowanceUsedUp:
    case AdmissionReason::PredictedTooLate:
      return RefusalType::CannotMeetDeadline;
  }
  return RefusalType::CannotMeetDeadline;
}

auto
LogAdmission(const Request& aRequest, const AdmissionDecision& aDecision)
  -> void
{
  const auto& facts = aRequest.mFacts;
  LogEvent(kRequestAdmittedEvent,
           { { "request", facts.mId.mValue },
             { "account", facts.mAccount.mValue },
             { "kind", facts.mKind.mValue },
             { "revision", aRequest.mTemplate->mRevision },
             { "prompt_tokens", facts.mPromptTokens },
             { "length_class", facts.mLengthClass },
             { "allowance_us", aDecision.mAllowance.count() },
             { "predicted_us", aDecision.mPredictedTotal.count() } });
}

} // namespace

auto
AdmitRequest(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto now = aFront.mPorts.mNow();
  const auto choice = TryChoice(aFront, aRequest);
  const auto entry = MakeEntry(aFront, aRequest, choice);
  const auto& facts = aRequest.mFacts;
  const auto& limits = aRequest.mTemplate->mTemplate.mLimits;
  const auto input = AdmissionInput{ facts,
                                     limits,
                                     choice,
                                     FiguresFor(aFront, entry),
                                     aFront.mSettings.mMaxWaitingRequests,
                                     aFront.mSettings.mMaxWaitingBytes,
                                     aFront.mOverload.mLevel,
                                     IsOverShare(aFront.mQueue, facts.mAccount),
                                     aFront.mIsStopping,
                                     now };
  const auto decision = DecideAdmission(input,
                                        aFront.mSettings.mAdmission,
                                        aFront.mBuckets[facts.mAccount],
                                        aFront.mRandom);
  if (!IsAdmitted(decision)) {
    RefuseRequest(aFront,
                  aRequest,
                  { ToRefusalType(decision.mReason),
                    std::string(ToText(decision.mReason)) + " (" +
                      std::string(ToText(choice.mReason)) + ")",
                    Ran::No,
                    decision.mRetryAfter });
    return FilterResult::Done;
  }
  ++aFront.mCounters.mAdmitted;
  LogAdmission(aRequest, decision);
  return FilterResult::Continue;
}

} // namespace cuminslip::requests
