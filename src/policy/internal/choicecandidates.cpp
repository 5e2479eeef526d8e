#include "policy/internal/choicecandidates.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
SizeOf(const RequestFacts& aRequest, const CachedPrefix& aCached) -> WorkSize
{
  return { aRequest.mPromptTokens,
           aRequest.mMaxTokens,
           std::min(ExpectedTokens(aCached), aRequest.mPromptTokens),
           aRequest.mPriority };
}

auto
SlackAfter(const ChoiceInput& aInput, const PredictedTimes& aTimes) -> Micros
{
  return aInput.mRequest.mDeadline - aInput.mNow - TotalTime(aTimes);
}

auto
LaneOf(const ChoiceInput& aInput,
       const EndpointView& aEndpoint,
       const CachedPrefix& aCached,
       const ChoiceSettings& aSettings) -> LaneVerdict
{
  const auto work = SizeOf(aInput.mRequest, aCached);
  const auto unread = work.mPromptTokens - work.mCachedTokens;
  if (!IsLongWork(unread, aSettings.mLanes)) {
    return LaneVerdict::Open;
  }
  const auto times = PredictTimes(aEndpoint, work, aSettings.mPrediction);
  return CheckLane(aEndpoint,
                   unread,
                   SlackAfter(aInput, times),
                   aSettings.mLanes,
                   aSettings.mPrediction);
}

auto
WasTried(const ChoiceInput& aInput, const EndpointId& aEndpoint) -> bool
{
  return std::find(aInput.mTried.begin(), aInput.mTried.end(), aEndpoint) !=
         aInput.mTried.end();
}

auto
IsTooSmall(const ChoiceInput& aInput, const EndpointView& aEndpoint) -> bool
{
  const auto need = aInput.mRequest.mPromptTokens + aInput.mRequest.mMaxTokens;
  return aEndpoint.mKind == EndpointKind::ModelEngine &&
         aEndpoint.mLoad.mTotalKvTokens > 0 &&
         need > aEndpoint.mLoad.mTotalKvTokens;
}

/// The counter of the cause that rules the endpoint out; null when none does.
auto
CauseOf(const ChoiceInput& aInput,
        const EndpointView& aEndpoint,
        const ChoiceSettings& aSettings,
        RuledOut& aRuledOut) -> std::size_t*
{
  switch (CheckPermission(aEndpoint, aInput.mRequest, aInput.mTemplate)) {
    case Permission::Permitted:
      break;
    case Permission::Leaving:
      return &aRuledOut.mLeaving;
    case Permission::Suspect:
      return &aRuledOut.mSuspect;
    default:
      return &aRuledOut.mNotPermitted;
  }
  if (IsTooSmall(aInput, aEndpoint)) {
    return &aRuledOut.mTooSmall;
  }
  if (WasTried(aInput, aEndpoint.mId)) {
    return &aRuledOut.mTried;
  }
  if (aEndpoint.mIsEjected) {
    return &aRuledOut.mEjected;
  }
  // NOTE: a cached prefix could make a long prompt short, so that only what is
  // long without it is checked here and the rest in ConsiderEndpoint.
  const auto lane = LaneOf(aInput, aEndpoint, {}, aSettings);
  const auto isOpen =
    lane == LaneVerdict::Open || lane == LaneVerdict::Overflow;
  return isOpen || aInput.mPrefixes != nullptr ? nullptr : &aRuledOut.mLaneFull;
}

auto
DistanceOf(const ChoiceInput& aInput,
           const EndpointView& aEndpoint,
           const ChoiceSettings& aSettings) -> Micros
{
  if (aEndpoint.mRegion != aInput.mOwnPlace.mRegion) {
    return aSettings.mOtherRegionCost;
  }
  return aEndpoint.mFailureDomain == aInput.mOwnPlace.mFailureDomain
           ? Micros(0)
           : aSettings.mOtherDomainCost;
}

auto
PenaltyOf(const ChoiceInput& aInput,
          const EndpointView& aEndpoint,
          const ConsideredEndpoint& aConsidered,
          const ChoiceSettings& aSettings) -> Micros
{
  auto penalty = std::chrono::duration_cast<Micros>(
    aSettings.mFailureCost * aEndpoint.mHealth.mFailureShare);
  if (aEndpoint.mKind != EndpointKind::ModelEngine) {
    return penalty;
  }
  const auto work = SizeOf(aInput.mRequest, aConsidered.mCached);
  const auto unread = work.mPromptTokens - work.mCachedTokens;
  if (aEndpoint.mLoad.mTotalKvTokens > 0 &&
      unread + work.mMaxTokens > EstimateFreeKvTokens(aEndpoint)) {
    penalty += aSettings.mNoMemoryCost;
  }
  if (aConsidered.mLane == LaneVerdict::Overflow) {
    penalty += aSettings.mOverflowCost;
  }
  if (aEndpoint.mLane == Lane::Long && !IsLongWork(unread, aSettings.mLanes)) {
    penalty += aSettings.mLanes.mLongLanePenalty;
  }
  return penalty;
}

} // namespace

auto
FindCandidates(const ChoiceInput& aInput, const ChoiceSettings& aSettings)
  -> Candidates
{
  auto candidates = Candidates{};
  for (auto i = std::size_t{ 0 }; i < aInput.mEndpoints.size(); ++i) {
    auto* cause =
      CauseOf(aInput, aInput.mEndpoints[i], aSettings, candidates.mRuledOut);
    if (cause == nullptr) {
      candidates.mIndexes.push_back(i);
    } else {
      ++*cause;
    }
  }
  return candidates;
}

auto
SampleCandidates(std::vector<std::size_t> aIndexes,
                 const std::vector<CachedPrefix>& aCached,
                 const ChoiceSettings& aSettings,
                 std::mt19937_64& aRandom) -> std::vector<std::size_t>
{
  const auto wanted = aSettings.mSampleCount;
  if (wanted == 0 || aIndexes.size() <= wanted + aSettings.mHolderCount) {
    return aIndexes;
  }
  auto first = std::size_t{ 0 };
  if (!aCached.empty()) {
    const auto isHolder = [&](std::size_t aIndex) {
      return aCached[aIndex].mTokens > 0;
    };
    const auto end = std::partition(aIndexes.begin(), aIndexes.end(), isHolder);
    const auto holders = static_cast<std::size_t>(end - aIndexes.begin());
    first = std::min(aSettings.mHolderCount, holders);
    std::shuffle(aIndexes.begin(), end, aRandom);
    std::partial_sort(aIndexes.begin(),
                      aIndexes.begin() + static_cast<std::ptrdiff_t>(first),
                      end,
                      [&](std::size_t aLeft, std::size_t aRight) {
                        return ExpectedTokens(aCached[aLeft]) >
                               ExpectedTokens(aCached[aRight]);
                      });
  }
  for (auto i = first; i < first + wanted; ++i) {
    auto draw =
      std::uniform_int_distribution<std::size_t>(i, aIndexes.size() - 1);
    std::swap(aIndexes[i], aIndexes[draw(aRandom)]);
  }
  aIndexes.resize(first + wanted);
  return aIndexes;
}

auto
ConsiderEndpoint(const ChoiceInput& aInput,
                 std::size_t aIndex,
                 const CachedPrefix& aCached,
                 const ChoiceSettings& aSettings) -> ConsideredEndpoint
{
  const auto& endpoint = aInput.mEndpoints[aIndex];
  auto considered = ConsideredEndpoint{};
  considered.mIndex = aIndex;
  considered.mCached = aCached;
  considered.mDistance = DistanceOf(aInput, endpoint, aSettings);
  if (endpoint.mKind == EndpointKind::ModelEngine) {
    considered.mTimes = PredictTimes(
      endpoint, SizeOf(aInput.mRequest, aCached), aSettings.mPrediction);
    considered.mLane = LaneOf(aInput, endpoint, aCached, aSettings);
  }
  considered.mCost = FirstTokenTime(considered.mTimes) + considered.mDistance +
                     PenaltyOf(aInput, endpoint, considered, aSettings);
  return considered;
}

} // namespace cuminslip
