#include "policy/internal/choicecandidates.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
SizeOf(const ChoiceInput& aInput,
       const CachedPrefix& aCached,
       const ChoiceSettings& aSettings) -> WorkSize
{
  const auto& request = aInput.mRequest;
  const auto cached = std::min(ExpectedTokens(aCached), request.mPromptTokens);
  const auto priority = EnginePriority(request.mPriority,
                                       request.mPromptTokens - cached,
                                       request.mDeadline - aInput.mNow,
                                       aSettings.mLanes);
  return { request.mPromptTokens, request.mMaxTokens, cached, priority };
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
  const auto work = SizeOf(aInput, aCached, aSettings);
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

/// Returns the counter of the cause that excludes the endpoint; null if none
/// does.
auto
FindExclusionCounter(const ChoiceInput& aInput,
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
  // NOTE: a cached prefix can make a long prompt count as short. The lane is
  // checked here only if caches are unknown, otherwise in EvaluateEndpoint.
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
  const auto work = SizeOf(aInput, aConsidered.mCached, aSettings);
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

/// Returns the cost without the parts that stem from past failures and
/// slowness.
auto
CostIgnoringHealth(const ConsideredEndpoint& aConsidered,
                   const EndpointView& aEndpoint,
                   const ChoiceSettings& aSettings) -> Micros
{
  const auto slowness = std::clamp(aEndpoint.mHealth.mSlowness,
                                   aSettings.mPrediction.mLeastSlowness,
                                   aSettings.mPrediction.mGreatestSlowness);
  const auto failures = std::chrono::duration_cast<Micros>(
    aSettings.mFailureCost * aEndpoint.mHealth.mFailureShare);
  const auto time = FirstTokenTime(aConsidered.mTimes);
  const auto usual =
    slowness > 1.0 ? std::chrono::duration_cast<Micros>(time / slowness) : time;
  return aConsidered.mCost - failures - time + usual;
}

struct RankedIndex
{
  std::uint64_t mRank = 0;
  std::size_t mIndex = 0;

  auto operator<=>(const RankedIndex&) const = default;
};

auto
MixHashes(std::uint64_t aLeft, std::uint64_t aRight) -> std::uint64_t
{
  constexpr auto kMultiplier = std::uint64_t{ 0x9e3779b97f4a7c15 };
  constexpr auto kShift = 32U;
  auto mixed = (aLeft ^ aRight) * kMultiplier;
  mixed = (mixed ^ (mixed >> kShift)) * kMultiplier;
  return mixed ^ (mixed >> kShift);
}

/// Moves the endpoints with the most expected cached tokens, at most
/// mHolderCount, to the front; returns their number.
auto
MoveHoldersFirst(std::vector<std::size_t>& aIndexes,
                 const std::vector<CachedPrefix>& aCached,
                 const ChoiceSettings& aSettings,
                 std::mt19937_64& aRandom) -> std::size_t
{
  if (aCached.empty()) {
    return 0;
  }
  const auto end =
    std::partition(aIndexes.begin(), aIndexes.end(), [&](std::size_t aIndex) {
      return aCached[aIndex].mTokens > 0;
    });
  const auto holders = static_cast<std::size_t>(end - aIndexes.begin());
  const auto count = std::min(aSettings.mHolderCount, holders);
  // NOTE: shuffles equal holders, so that not all instances choose the same
  // ones.
  std::shuffle(aIndexes.begin(), end, aRandom);
  std::partial_sort(aIndexes.begin(),
                    aIndexes.begin() + static_cast<std::ptrdiff_t>(count),
                    end,
                    [&](std::size_t aLeft, std::size_t aRight) {
                      return ExpectedTokens(aCached[aLeft]) >
                             ExpectedTokens(aCached[aRight]);
                    });
  return count;
}

/// Moves the engines found by FindPreferredEngines to position aFirst; returns
/// the position after them.
auto
MovePreferredNext(std::vector<std::size_t>& aIndexes,
                  const std::vector<std::size_t>& aPreferred,
                  std::size_t aFirst) -> std::size_t
{
  const auto begin = aIndexes.begin() + static_cast<std::ptrdiff_t>(aFirst);
  const auto end =
    std::partition(begin, aIndexes.end(), [&](std::size_t aIndex) {
      return std::find(aPreferred.begin(), aPreferred.end(), aIndex) !=
             aPreferred.end();
    });
  return static_cast<std::size_t>(end - aIndexes.begin());
}

} // namespace

auto
FindCandidates(const ChoiceInput& aInput, const ChoiceSettings& aSettings)
  -> Candidates
{
  auto candidates = Candidates{};
  for (auto i = std::size_t{ 0 }; i < aInput.mEndpoints.size(); ++i) {
    auto* cause = FindExclusionCounter(
      aInput, aInput.mEndpoints[i], aSettings, candidates.mRuledOut);
    if (cause == nullptr) {
      candidates.mIndexes.push_back(i);
    } else {
      ++*cause;
    }
  }
  return candidates;
}

auto
FindPreferredEngines(const ChoiceInput& aInput,
                     const std::vector<std::size_t>& aIndexes,
                     const ChoiceSettings& aSettings)
  -> std::vector<std::size_t>
{
  const auto& prefixes = aInput.mRequest.mPrefixes;
  const auto count = std::min(aSettings.mPreferredCount, aIndexes.size());
  if (prefixes.empty() || count == 0) {
    return {};
  }
  auto ranked = std::vector<RankedIndex>{};
  ranked.reserve(aIndexes.size());
  for (const auto index : aIndexes) {
    const auto hash = aInput.mEndpoints[index].mIdHash;
    ranked.push_back({ MixHashes(hash, prefixes.front()), index });
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(ranked.begin(), end, ranked.end());
  auto preferred = std::vector<std::size_t>{};
  for (auto it = ranked.begin(); it != end; ++it) {
    preferred.push_back(it->mIndex);
  }
  return preferred;
}

auto
SampleCandidates(std::vector<std::size_t> aIndexes,
                 const std::vector<CachedPrefix>& aCached,
                 const std::vector<std::size_t>& aPreferred,
                 const ChoiceSettings& aSettings,
                 std::mt19937_64& aRandom) -> std::vector<std::size_t>
{
  const auto wanted = aSettings.mSampleCount;
  const auto kept = aSettings.mHolderCount + aPreferred.size();
  if (wanted == 0 || aIndexes.size() <= wanted + kept) {
    return aIndexes;
  }
  const auto holders = MoveHoldersFirst(aIndexes, aCached, aSettings, aRandom);
  const auto first = MovePreferredNext(aIndexes, aPreferred, holders);
  for (auto i = first; i < first + wanted; ++i) {
    auto draw =
      std::uniform_int_distribution<std::size_t>(i, aIndexes.size() - 1);
    std::swap(aIndexes[i], aIndexes[draw(aRandom)]);
  }
  aIndexes.resize(first + wanted);
  return aIndexes;
}

auto
EvaluateEndpoint(const ChoiceInput& aInput,
                 const EvaluationInput& aEvaluation,
                 const ChoiceSettings& aSettings) -> ConsideredEndpoint
{
  const auto& endpoint = aInput.mEndpoints[aEvaluation.mIndex];
  auto considered = ConsideredEndpoint{};
  considered.mIndex = aEvaluation.mIndex;
  considered.mCached = aEvaluation.mCached;
  considered.mIsPreferred = aEvaluation.mIsPreferred;
  considered.mIsExplored = aEvaluation.mIsExplored;
  considered.mDistance = DistanceOf(aInput, endpoint, aSettings);
  if (endpoint.mKind == EndpointKind::ModelEngine) {
    const auto work = SizeOf(aInput, aEvaluation.mCached, aSettings);
    considered.mEnginePriority = work.mEnginePriority;
    considered.mTimes = PredictTimes(endpoint, work, aSettings.mPrediction);
    considered.mLane = LaneOf(aInput, endpoint, aEvaluation.mCached, aSettings);
  }
  const auto discount =
    aEvaluation.mIsPreferred
      ? std::chrono::duration_cast<Micros>(considered.mTimes.mPrefill *
                                           aSettings.mPreferredDiscount)
      : Micros(0);
  considered.mCost = FirstTokenTime(considered.mTimes) + considered.mDistance +
                     PenaltyOf(aInput, endpoint, considered, aSettings) -
                     discount;
  if (aEvaluation.mIsExplored) {
    considered.mCost = CostIgnoringHealth(considered, endpoint, aSettings);
  }
  return considered;
}

} // namespace cuminslip
