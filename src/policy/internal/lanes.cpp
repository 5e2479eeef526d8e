#include "policy/lanes.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <vector>

namespace cuminslip {

namespace {

constexpr std::size_t kLeastEnginesForLanes = 3;

/// Interchangeable engines of one failure domain.
struct LaneGroup
{
  FailureDomainId mFailureDomain;
  std::vector<LoadedModel> mModels;

  auto operator<=>(const LaneGroup&) const = default;
};

struct RankedEngine
{
  std::uint64_t mHash = 0;
  std::size_t mIndex = 0;

  auto operator<=>(const RankedEngine&) const = default;
};

auto
LongCount(std::size_t aEngines, const LaneSettings& aSettings) -> std::size_t
{
  if (!aSettings.mIsEnabled || aEngines < kLeastEnginesForLanes) {
    return 0;
  }
  if (aSettings.mLongShare >= 1) {
    return aEngines;
  }
  const auto wanted = static_cast<double>(aEngines) * aSettings.mLongShare;
  const auto count = static_cast<std::size_t>(std::llround(wanted));
  return std::clamp<std::size_t>(count, 1, aEngines - 1);
}

auto
GroupEngines(std::span<const EndpointView> aEndpoints)
  -> std::map<LaneGroup, std::vector<RankedEngine>>
{
  auto groups = std::map<LaneGroup, std::vector<RankedEngine>>{};
  for (auto i = std::size_t{ 0 }; i < aEndpoints.size(); ++i) {
    const auto& endpoint = aEndpoints[i];
    if (endpoint.mKind != EndpointKind::ModelEngine ||
        endpoint.mState == EndpointState::Leaving) {
      continue;
    }
    groups[{ endpoint.mFailureDomain, endpoint.mModels }].push_back(
      { endpoint.mIdHash, i });
  }
  return groups;
}

/// Estimates the long prompts in prefill: those of this instance, or at least
/// one if so many tokens are queued that a long prompt is likely among them.
auto
LongPrefills(const EndpointView& aEndpoint,
             const LaneSettings& aLanes,
             const PredictionSettings& aPrediction) -> std::int64_t
{
  const auto queued = EstimateQueuedTokens(aEndpoint, aPrediction);
  const auto seen = queued / std::max<std::int64_t>(1, aLanes.mLongTokens);
  return std::max(aEndpoint.mOwnLongPrefills, std::min<std::int64_t>(seen, 1));
}

} // namespace

auto
ToText(LaneVerdict aVerdict) -> std::string_view
{
  switch (aVerdict) {
    case LaneVerdict::Open:
      return "open";
    case LaneVerdict::Overflow:
      return "overflow";
    case LaneVerdict::Full:
      return "full";
    case LaneVerdict::Reserved:
      return "reserved";
  }
  return "unknown";
}

auto
AssignLanes(std::span<EndpointView> aEndpoints, const LaneSettings& aSettings)
  -> void
{
  for (auto& endpoint : aEndpoints) {
    endpoint.mLane = Lane::Shared;
    endpoint.mIdHash = Checksum(endpoint.mId.mValue);
  }
  for (auto& [group, engines] : GroupEngines(aEndpoints)) {
    std::sort(engines.begin(), engines.end());
    const auto count = LongCount(engines.size(), aSettings);
    for (auto i = std::size_t{ 0 }; i < count; ++i) {
      aEndpoints[engines[i].mIndex].mLane = Lane::Long;
    }
  }
}

auto
IsLongWork(std::int64_t aUnreadTokens, const LaneSettings& aSettings) -> bool
{
  return aUnreadTokens > aSettings.mLongTokens;
}

auto
CheckLane(const EndpointView& aEndpoint,
          std::int64_t aUnreadTokens,
          Micros aSlack,
          const LaneSettings& aLanes,
          const PredictionSettings& aPrediction) -> LaneVerdict
{
  if (!aLanes.mIsEnabled || !IsLongWork(aUnreadTokens, aLanes)) {
    return LaneVerdict::Open;
  }
  const auto running = LongPrefills(aEndpoint, aLanes, aPrediction);
  if (aEndpoint.mLane == Lane::Long) {
    return running < aLanes.mMaxLongOnLongLane ? LaneVerdict::Open
                                               : LaneVerdict::Full;
  }
  if (running >= aLanes.mMaxLongOnSharedLane) {
    return LaneVerdict::Full;
  }
  const auto& load = aEndpoint.mLoad;
  const auto isIdle =
    load.mRunningStreams + load.mWaitingStreams + aEndpoint.mSent.mStreams == 0;
  const auto mayOverflow = isIdle || aSlack <= aLanes.mOverflowSlack;
  return mayOverflow ? LaneVerdict::Overflow : LaneVerdict::Reserved;
}

auto
EnginePriority(Priority aPriority,
               std::int64_t aUnreadTokens,
               Micros aSlack,
               const LaneSettings& aSettings) -> int
{
  constexpr auto kLast = static_cast<int>(Priority::Patient);
  const auto isLong =
    aSettings.mIsEnabled && IsLongWork(aUnreadTokens, aSettings);
  const auto isLate = aSlack <= aSettings.mOverflowSlack;
  const auto number =
    static_cast<int>(aPriority) + (isLong ? 1 : 0) - (isLate ? 1 : 0);
  return std::clamp(number, 0, kLast);
}

} // namespace cuminslip
