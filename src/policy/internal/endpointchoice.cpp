#include "policy/endpointchoice.h"

#include "policy/internal/choicecandidates.h"

#include <algorithm>
#include <iterator>

namespace cuminslip {

namespace {

auto
ReasonForNone(const ChoiceInput& aInput, const RuledOut& aRuledOut)
  -> ChoiceReason
{
  if (aInput.mEndpoints.empty()) {
    return ChoiceReason::NoEndpoint;
  }
  if (aRuledOut.mLaneFull > 0) {
    return ChoiceReason::LaneFull;
  }
  if (aRuledOut.mTried + aRuledOut.mEjected > 0) {
    return ChoiceReason::NoneAvailable;
  }
  if (aRuledOut.mTooSmall > 0) {
    return ChoiceReason::TooLarge;
  }
  const auto unavailable = aRuledOut.mLeaving + aRuledOut.mSuspect;
  return unavailable > 0 ? ChoiceReason::NoneAvailable
                         : ChoiceReason::NonePermitted;
}

auto
ReportedLoad(const EndpointView& aEndpoint) -> std::int64_t
{
  return aEndpoint.mLoad.mRunningStreams + aEndpoint.mLoad.mWaitingStreams;
}

/// Position in aConsidered; ties are broken at random.
template<class Figure>
auto
FindLeast(const std::vector<ConsideredEndpoint>& aConsidered,
          Figure aFigure,
          std::mt19937_64& aRandom) -> std::size_t
{
  auto best = std::size_t{ 0 };
  auto ties = std::size_t{ 1 };
  for (auto i = std::size_t{ 1 }; i < aConsidered.size(); ++i) {
    const auto figure = aFigure(aConsidered[i]);
    const auto least = aFigure(aConsidered[best]);
    if (figure < least) {
      best = i;
      ties = 1;
    } else if (figure == least) {
      ++ties;
      auto draw = std::uniform_int_distribution<std::size_t>(1, ties);
      best = draw(aRandom) == 1 ? i : best;
    }
  }
  return best;
}

/// One of those whose cost is close to the least, at random.
auto
FindNearLeastCost(const std::vector<ConsideredEndpoint>& aConsidered,
                  const ChoiceSettings& aSettings,
                  std::mt19937_64& aRandom) -> std::size_t
{
  const auto least =
    std::min_element(aConsidered.begin(),
                     aConsidered.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.mCost < aRight.mCost;
                     })
      ->mCost;
  const auto limit = std::chrono::duration_cast<Micros>(
    (least + aSettings.mTieFloor) * (1.0 + aSettings.mTieShare));
  auto best = std::size_t{ 0 };
  auto ties = std::size_t{ 0 };
  for (auto i = std::size_t{ 0 }; i < aConsidered.size(); ++i) {
    if (aConsidered[i].mCost > limit) {
      continue;
    }
    ++ties;
    auto draw = std::uniform_int_distribution<std::size_t>(1, ties);
    best = draw(aRandom) == 1 ? i : best;
  }
  return best;
}

struct Pick
{
  std::size_t mPosition = 0;
  ChoiceReason mReason = ChoiceReason::LeastCost;
};

auto
PickOne(const ChoiceInput& aInput,
        const std::vector<ConsideredEndpoint>& aConsidered,
        const ChoiceSettings& aSettings,
        ChoiceState& aState,
        std::mt19937_64& aRandom) -> Pick
{
  switch (aSettings.mRule) {
    case ChoiceRule::RoundRobin:
      return { static_cast<std::size_t>(aState.mTurn++ % aConsidered.size()),
               ChoiceReason::RoundRobin };
    case ChoiceRule::LeastOutstanding:
      return { FindLeast(
                 aConsidered,
                 [&](const ConsideredEndpoint& aItem) {
                   return aInput.mEndpoints[aItem.mIndex].mOwnStreams;
                 },
                 aRandom),
               ChoiceReason::LeastOutstanding };
    case ChoiceRule::LeastReportedLoad:
      return { FindLeast(
                 aConsidered,
                 [&](const ConsideredEndpoint& aItem) {
                   return ReportedLoad(aInput.mEndpoints[aItem.mIndex]);
                 },
                 aRandom),
               ChoiceReason::LeastReportedLoad };
    case ChoiceRule::LeastCost:
      break;
  }
  const auto position = FindNearLeastCost(aConsidered, aSettings, aRandom);
  return { position,
           aConsidered[position].mCached.mTokens > 0
             ? ChoiceReason::LongestPrefix
             : ChoiceReason::LeastCost };
}

auto
IsOpen(const ConsideredEndpoint& aItem) -> bool
{
  return aItem.mLane == LaneVerdict::Open ||
         aItem.mLane == LaneVerdict::Overflow;
}

/// Compares the candidates; drops those whose lane has no room.
auto
EvaluateCandidates(const ChoiceInput& aInput,
                   Candidates& aCandidates,
                   const ChoiceSettings& aSettings,
                   std::mt19937_64& aRandom) -> std::vector<ConsideredEndpoint>
{
  const auto usesCost = aSettings.mRule == ChoiceRule::LeastCost;
  const auto cached = usesCost && aInput.mPrefixes != nullptr
                        ? FindCachedPrefixes(*aInput.mPrefixes,
                                             aInput.mRequest.mPrefixes,
                                             aInput.mEndpoints,
                                             aInput.mNow)
                        : std::vector<CachedPrefix>{};
  // NOTE: for long work the open lanes are few, and a sample could miss them.
  const auto isLong =
    IsLongWork(aInput.mRequest.mPromptTokens, aSettings.mLanes);
  const auto preferred =
    usesCost ? FindPreferredEngines(aInput, aCandidates.mIndexes, aSettings)
             : std::vector<std::size_t>{};
  const auto indexes = usesCost && !isLong
                         ? SampleCandidates(std::move(aCandidates.mIndexes),
                                            cached,
                                            preferred,
                                            aSettings,
                                            aRandom)
                         : std::move(aCandidates.mIndexes);
  auto considered = std::vector<ConsideredEndpoint>{};
  considered.reserve(indexes.size());
  const auto exploreShare =
    aInput.mRequest.mPromptTokens <= aSettings.mExploreTokens
      ? aSettings.mExploreShare
      : 0.0;
  auto unit = std::uniform_real_distribution<double>(0.0, 1.0);
  for (const auto index : indexes) {
    auto evaluation = EvaluationInput{};
    evaluation.mIndex = index;
    evaluation.mCached = cached.empty() ? CachedPrefix{} : cached[index];
    evaluation.mIsPreferred =
      std::find(preferred.begin(), preferred.end(), index) != preferred.end();
    evaluation.mIsExplored = unit(aRandom) < exploreShare;
    auto item = EvaluateEndpoint(aInput, evaluation, aSettings);
    if (IsOpen(item)) {
      considered.push_back(item);
    } else {
      ++aCandidates.mRuledOut.mLaneFull;
    }
  }
  return considered;
}

} // namespace

auto
ToText(ChoiceReason aReason) -> std::string_view
{
  switch (aReason) {
    case ChoiceReason::LeastCost:
      return "least_cost";
    case ChoiceReason::LongestPrefix:
      return "longest_prefix";
    case ChoiceReason::OnlyCandidate:
      return "only_candidate";
    case ChoiceReason::RoundRobin:
      return "round_robin";
    case ChoiceReason::LeastOutstanding:
      return "least_outstanding";
    case ChoiceReason::LeastReportedLoad:
      return "least_reported_load";
    case ChoiceReason::NoEndpoint:
      return "no_endpoint";
    case ChoiceReason::NonePermitted:
      return "none_permitted";
    case ChoiceReason::NoneAvailable:
      return "none_available";
    case ChoiceReason::TooLarge:
      return "too_large";
    case ChoiceReason::LaneFull:
      return "lane_full";
  }
  return "unknown";
}

auto
MayResolveByWaiting(ChoiceReason aReason) -> bool
{
  return aReason == ChoiceReason::NoEndpoint ||
         aReason == ChoiceReason::NoneAvailable ||
         aReason == ChoiceReason::LaneFull;
}

auto
ChooseEndpoint(const ChoiceInput& aInput,
               const ChoiceSettings& aSettings,
               ChoiceState& aState,
               std::mt19937_64& aRandom) -> EndpointChoice
{
  auto candidates = FindCandidates(aInput, aSettings);
  auto choice = EndpointChoice{};
  choice.mConsidered =
    EvaluateCandidates(aInput, candidates, aSettings, aRandom);
  choice.mRuledOut = candidates.mRuledOut;
  if (choice.mConsidered.empty()) {
    choice.mReason = ReasonForNone(aInput, choice.mRuledOut);
    return choice;
  }
  const auto pick =
    PickOne(aInput, choice.mConsidered, aSettings, aState, aRandom);
  choice.mReason =
    choice.mConsidered.size() == 1 ? ChoiceReason::OnlyCandidate : pick.mReason;
  auto& items = choice.mConsidered;
  std::swap(items.front(), items[pick.mPosition]);
  std::sort(std::next(items.begin()),
            items.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mCost < aRight.mCost;
            });
  choice.mIndex = items.front().mIndex;
  return choice;
}

} // namespace cuminslip
