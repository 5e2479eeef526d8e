#include "policy/splitplan.h"

#include <algorithm>
#include <map>

namespace cuminslip {

namespace {

/// An engine that may hold a part of the prompt.
struct Holder
{
  std::size_t mIndex = 0;
  std::int64_t mUsable = 0;
  std::int64_t mTotal = 0;
};

/// Key of a group of engines in one region or failure domain; groups with a
/// lower distance are tried first.
struct HolderGroupKey
{
  int mDistance = 0;
  RegionId mRegion;
  FailureDomainId mFailureDomain;

  auto operator<=>(const HolderGroupKey&) const = default;
};

constexpr int kOwnDomain = 0;
constexpr int kOtherDomain = 1;
constexpr int kOwnRegion = 2;
constexpr int kOtherRegion = 3;

auto
UsableTokens(const EndpointView& aEndpoint, const SplitSettings& aSettings)
  -> std::int64_t
{
  const auto total = static_cast<double>(aEndpoint.mLoad.mTotalKvTokens);
  const auto kept = static_cast<std::int64_t>(
    aEndpoint.mLane == Lane::Long ? 0 : total * aSettings.mKeptFreeShare);
  return std::max<std::int64_t>(0, EstimateFreeKvTokens(aEndpoint) - kept);
}

/// Adds each engine to the group of its failure domain and to that of its
/// region.
auto
GroupHolders(const RequestFacts& aRequest,
             const Template& aTemplate,
             std::span<const EndpointView> aEndpoints,
             const OwnPlace& aOwnPlace,
             const SplitSettings& aSettings)
  -> std::map<HolderGroupKey, std::vector<Holder>>
{
  auto groups = std::map<HolderGroupKey, std::vector<Holder>>{};
  for (auto i = std::size_t{ 0 }; i < aEndpoints.size(); ++i) {
    const auto& endpoint = aEndpoints[i];
    const auto permission = CheckPermission(endpoint, aRequest, aTemplate);
    if (endpoint.mIsEjected || permission != Permission::Permitted) {
      continue;
    }
    const auto holder = Holder{ i,
                                UsableTokens(endpoint, aSettings),
                                endpoint.mLoad.mTotalKvTokens };
    const auto isOwnRegion = endpoint.mRegion == aOwnPlace.mRegion;
    const auto isOwnDomain =
      endpoint.mFailureDomain == aOwnPlace.mFailureDomain;
    const auto domainDistance = isOwnDomain ? kOwnDomain : kOtherDomain;
    groups[{ isOwnRegion ? domainDistance : kOtherRegion,
             endpoint.mRegion,
             endpoint.mFailureDomain }]
      .push_back(holder);
    groups[{ isOwnRegion ? kOwnRegion : kOtherRegion + 1,
             endpoint.mRegion,
             {} }]
      .push_back(holder);
  }
  return groups;
}

/// Selects engines until their usable memory covers aNeed, in tokens: those
/// reserved for long prompts first, then those with most usable memory. Empty
/// if there are not enough.
auto
SelectHolders(std::vector<Holder> aHolders,
              std::span<const EndpointView> aEndpoints,
              std::int64_t aNeed,
              const SplitSettings& aSettings) -> std::vector<Holder>
{
  std::stable_sort(aHolders.begin(),
                   aHolders.end(),
                   [&](const Holder& aLeft, const Holder& aRight) {
                     const auto left = aEndpoints[aLeft.mIndex].mLane;
                     const auto right = aEndpoints[aRight.mIndex].mLane;
                     return left != right ? left == Lane::Long
                                          : aLeft.mUsable > aRight.mUsable;
                   });
  auto sum = std::int64_t{ 0 };
  auto count = std::size_t{ 0 };
  // NOTE: adds one step per part, since each part is rounded up to a step.
  const auto need = [&] {
    return aNeed + static_cast<std::int64_t>(count) * aSettings.mPartStepTokens;
  };
  while (count < aHolders.size() && count < aSettings.mMaxParts &&
         (count == 0 || sum < need())) {
    sum += aHolders[count].mUsable;
    ++count;
  }
  if (sum < need()) {
    return {};
  }
  aHolders.resize(count);
  std::erase_if(aHolders, [&](const Holder& aHolder) {
    return aHolder.mUsable < aSettings.mPartStepTokens;
  });
  return aHolders;
}

auto
RoundUp(std::int64_t aTokens, std::int64_t aStep) -> std::int64_t
{
  return (aTokens + aStep - 1) / aStep * aStep;
}

/// Divides the prompt in proportion to the usable memory of the holders, so
/// that each keeps some free.
auto
DivideParts(const std::vector<Holder>& aHolders,
            const RequestFacts& aRequest,
            const SplitSettings& aSettings) -> std::vector<SplitPart>
{
  const auto need = aRequest.mPromptTokens + aRequest.mMaxTokens;
  auto sum = std::int64_t{ 0 };
  for (const auto& holder : aHolders) {
    sum += holder.mUsable;
  }
  auto parts = std::vector<SplitPart>{};
  auto first = std::int64_t{ 0 };
  for (const auto& holder : aHolders) {
    const auto left = aRequest.mPromptTokens - first;
    if (left <= 0) {
      break;
    }
    const auto share = static_cast<double>(need) *
                       static_cast<double>(holder.mUsable) /
                       static_cast<double>(sum);
    const auto step = aSettings.mPartStepTokens;
    const auto wanted = RoundUp(static_cast<std::int64_t>(share) + 1, step);
    const auto room = holder.mUsable / step * step;
    const auto tokens = std::min({ left, wanted, room });
    parts.push_back({ holder.mIndex, first, tokens, tokens });
    first += tokens;
  }
  return parts;
}

/// Reserves memory for the answer with the last part; returns false if the
/// parts do not fit.
auto
ReserveAnswer(std::vector<SplitPart>& aParts,
              const std::vector<Holder>& aHolders,
              const RequestFacts& aRequest) -> bool
{
  if (aParts.empty()) {
    return false;
  }
  auto& last = aParts.back();
  last.mReservedTokens += aRequest.mMaxTokens;
  const auto isWhole =
    last.mFirstToken + last.mTokens == aRequest.mPromptTokens;
  const auto& holder = aHolders.at(aParts.size() - 1);
  return isWhole && last.mReservedTokens <= holder.mUsable;
}

auto
PredictPrefill(const std::vector<SplitPart>& aParts,
               std::span<const EndpointView> aEndpoints,
               const RequestFacts& aRequest,
               const PredictionSettings& aPrediction) -> Micros
{
  auto total = Micros(0);
  for (const auto& part : aParts) {
    const auto work =
      WorkSize{ part.mTokens, 0, 0, static_cast<int>(aRequest.mPriority) };
    total +=
      FirstTokenTime(PredictTimes(aEndpoints[part.mIndex], work, aPrediction));
  }
  return total;
}

auto
SumTotal(const std::vector<Holder>& aHolders, const SplitSettings& aSettings)
  -> std::int64_t
{
  auto totals = std::vector<std::int64_t>{};
  for (const auto& holder : aHolders) {
    totals.push_back(holder.mTotal);
  }
  std::sort(totals.rbegin(), totals.rend());
  totals.resize(std::min(totals.size(), aSettings.mMaxParts));
  auto sum = std::int64_t{ 0 };
  for (const auto total : totals) {
    sum += total;
  }
  return sum;
}

} // namespace

auto
ToText(SplitReason aReason) -> std::string_view
{
  switch (aReason) {
    case SplitReason::Planned:
      return "planned";
    case SplitReason::NotNeeded:
      return "not_needed";
    case SplitReason::NeverFits:
      return "never_fits";
    case SplitReason::NotEnoughFree:
      return "not_enough_free";
  }
  return "unknown";
}

auto
PlanSplit(const RequestFacts& aRequest,
          const Template& aTemplate,
          std::span<const EndpointView> aEndpoints,
          const OwnPlace& aOwnPlace,
          const SplitSettings& aSettings,
          const PredictionSettings& aPrediction) -> SplitPlan
{
  const auto need = aRequest.mPromptTokens + aRequest.mMaxTokens;
  auto plan = SplitPlan{};
  for (const auto& [place, holders] :
       GroupHolders(aRequest, aTemplate, aEndpoints, aOwnPlace, aSettings)) {
    for (const auto& holder : holders) {
      if (holder.mTotal >= need) {
        plan.mReason = SplitReason::NotNeeded;
        return plan;
      }
    }
    if (SumTotal(holders, aSettings) >= need) {
      plan.mReason = SplitReason::NotEnoughFree;
    }
    const auto selected = SelectHolders(holders, aEndpoints, need, aSettings);
    auto parts = DivideParts(selected, aRequest, aSettings);
    if (ReserveAnswer(parts, selected, aRequest)) {
      plan.mReason = SplitReason::Planned;
      plan.mParts = std::move(parts);
      plan.mPredictedPrefill =
        PredictPrefill(plan.mParts, aEndpoints, aRequest, aPrediction);
      return plan;
    }
  }
  return plan;
}

} // namespace cuminslip
