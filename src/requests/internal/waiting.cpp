#include "requests/internal/waiting.h"

#include "base/digest.h"
#include "policy/decisionlog.h"
#include "requests/internal/delivery.h"
#include "requests/internal/dispatch.h"
#include "requests/internal/filters.h"

namespace cuminslip::requests {

namespace {

constexpr auto kQueueRetry = Millis(1000);

/// Identifies the set of endpoints that can run a request. Requests with equal
/// ids can run on the same endpoints.
auto
ComputePoolId(const Request& aRequest) -> std::uint64_t
{
  const auto& inForce = aRequest.mTemplate->mTemplate;
  auto text = aRequest.mFacts.mService.value_or("") + "|" +
              inForce.mModel.mValue + "|" + inForce.mVersion.mValue;
  for (const auto& domain : inForce.mFailureDomains) {
    text += "|" + domain.mValue;
  }
  for (const auto& region : inForce.mRegions) {
    text += "|" + region.mValue;
  }
  return Checksum(text);
}

auto
PredictedTotal(const EndpointChoice& aChoice) -> Micros
{
  if (aChoice.mConsidered.empty()) {
    return Micros(0);
  }
  const auto& times = aChoice.mConsidered.front().mTimes;
  return times.mPrefill + times.mDecode;
}

} // namespace

auto
TryChoice(Front& aFront, const Request& aRequest) -> EndpointChoice
{
  const auto now = aFront.mPorts.mNow();
  RefreshViews(aFront.mFleet, aFront.mSettings.mChoice.mLanes, now);
  const auto input = ChoiceInput{ aRequest.mFacts,
                                  aRequest.mTemplate->mTemplate,
                                  aFront.mSettings.mPlace,
                                  aFront.mFleet.mViews,
                                  aRequest.mTried,
                                  &aFront.mPrefixes,
                                  now };
  return ChooseEndpoint(
    input, aFront.mSettings.mChoice, aFront.mChoice, aFront.mRandom);
}

auto
MakeEntry(const Front& aFront,
          const Request& aRequest,
          const EndpointChoice& aChoice) -> WaitEntry
{
  const auto cached = aChoice.mConsidered.empty()
                        ? std::int64_t{ 0 }
                        : ExpectedTokens(aChoice.mConsidered.front().mCached);
  const auto uncached = aRequest.mFacts.mPromptTokens - cached;
  const auto pool =
    WaitPool{ ComputePoolId(aRequest),
              IsLongWork(uncached, aFront.mSettings.mChoice.mLanes) };
  auto entry = BuildWaitEntry(aRequest.mFacts,
                              aRequest.mTemplate->mTemplate.mLimits.mWeight,
                              pool,
                              PredictedTotal(aChoice),
                              aFront.mPorts.mNow());
  if (aFront.mSettings.mIsFirstComeFirstServed) {
    // NOTE: with a single account and priority, entries are ordered by arrival.
    entry.mAccount = AccountId{ "all" };
    entry.mPriority = Priority::Normal;
    entry.mValue = 1.0;
    entry.mPool = {};
    entry.mLatestStart = entry.mExpires;
  }
  return entry;
}

auto
CollectQueueState(const Front& aFront, const WaitEntry& aEntry) -> WaitFigures
{
  const auto& queue = aFront.mQueue;
  auto figures = WaitFigures{};
  figures.mRequests = static_cast<std::int64_t>(queue.mEntries.size());
  figures.mBytes = queue.mBytes;
  const auto it = queue.mAccounts.find(aEntry.mAccount);
  if (it != queue.mAccounts.end()) {
    figures.mAccountRequests = it->second.mRequests;
    figures.mAccountBytes = it->second.mBytes;
  }
  figures.mPredictedWait = PredictWait(queue, aEntry);
  return figures;
}

auto
EnterQueue(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto now = aFront.mPorts.mNow();
  const auto choice = TryChoice(aFront, aRequest);
  const auto entry = MakeEntry(aFront, aRequest, choice);
  aRequest.mStage = Stage::Waiting;
  aRequest.mWaitingSince = now;
  const auto result =
    Enqueue(aFront.mQueue, entry, aRequest.mTemplate->mTemplate.mLimits, now);
  LogWaitStarted(entry, result);
  for (const auto& displaced : result.mDisplaced) {
    LogWaitDisplaced(displaced, now);
    if (auto* other = FindRequest(aFront, displaced.mId)) {
      RefuseRequest(aFront,
                    *other,
                    { RefusalType::Overloaded,
                      "displaced by more urgent work",
                      other->mRan,
                      kQueueRetry });
    }
  }
  if (result.mReason != EnqueueReason::Accepted) {
    RefuseRequest(aFront,
                  aRequest,
                  { RefusalType::Overloaded,
                    std::string(ToText(result.mReason)),
                    aRequest.mRan,
                    kQueueRetry });
    return FilterResult::Done;
  }
  return FilterResult::Wait;
}

} // namespace cuminslip::requests
