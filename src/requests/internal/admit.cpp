#include "policy/decisionlog.h"
#include "requests/internal/delivery.h"
#include "requests/internal/filters.h"
#include "requests/internal/ordering.h"
#include "requests/internal/waiting.h"

namespace cuminslip::requests {

namespace {

constexpr auto kNoEndpointRetry = Millis(1000);

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

} // namespace

auto
AdmitRequest(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto now = aFront.mPorts.mNow();
  const auto choice = TryChoice(aFront, aRequest);
  if (choice.mReason == ChoiceReason::NoEndpoint) {
    RefuseRequest(aFront,
                  aRequest,
                  { RefusalType::NoEndpoint,
                    "no endpoint is known to this instance",
                    Ran::No,
                    kNoEndpointRetry });
    return FilterResult::Done;
  }
  const auto entry = MakeEntry(aFront, aRequest, choice);
  const auto& facts = aRequest.mFacts;
  const auto& limits = aRequest.mTemplate->mTemplate.mLimits;
  const auto input = AdmissionInput{ facts,
                                     limits,
                                     choice,
                                     CollectQueueState(aFront, entry),
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
  LogAdmission(facts, decision);
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
  RecordDemand(aFront, aRequest);
  return FilterResult::Continue;
}

} // namespace cuminslip::requests
