#include "policy/reach.h"

#include <algorithm>
#include <tuple>

namespace cuminslip {

auto
AddUnreached(Reach aReach,
             std::uint64_t aEndpoint,
             std::size_t aKnown,
             TimePoint aNow,
             const ReachRules& aRules) -> Reach
{
  if (aReach.mUnreached.empty()) {
    aReach.mFailingSince = aNow;
  }
  // NOTE: no more than this is needed to know of a cut.
  if (aReach.mUnreached.size() < aRules.mMinEndpoints) {
    aReach.mUnreached.insert(aEndpoint);
  }
  const auto enough =
    std::max<std::size_t>(std::min(aRules.mMinEndpoints, aKnown), 1);
  if (!aReach.mIsLost && aReach.mUnreached.size() >= enough) {
    aReach.mIsLost = true;
    aReach.mTriedAt = aNow;
  }
  return aReach;
}

auto
AddReached(Reach aReach, TimePoint aSentAt) -> Reach
{
  const auto isProof =
    aReach.mUnreached.empty() || aSentAt >= aReach.mFailingSince;
  return isProof ? Reach{} : aReach;
}

auto
IsReachTrialDue(const Reach& aReach, TimePoint aNow, const ReachRules& aRules)
  -> bool
{
  return aReach.mIsLost && aNow >= aReach.mTriedAt + aRules.mTrialInterval;
}

auto
ChooseRelay(const std::vector<RelayCandidate>& aCandidates)
  -> std::optional<std::size_t>
{
  const auto rank = [](const RelayCandidate& aItem) {
    return std::tuple(
      !aItem.mIsPreferred, aItem.mInFlight, aItem.mRandomKey);
  };
  auto best = std::optional<std::size_t>{};
  for (auto i = std::size_t{ 0 }; i < aCandidates.size(); ++i) {
    const auto isBetter =
      !best || rank(aCandidates[i]) < rank(aCandidates[*best]);
    if (!aCandidates[i].mIsAvoided && isBetter) {
      best = i;
    }
  }
  return best;
}

auto
MayAcceptRelayed(std::size_t aRelayed, int aPriority, const RelayRules& aRules)
  -> bool
{
  const auto steps = std::clamp(aPriority, 0, aRules.mMaxSteps);
  const auto share = 1 - steps * aRules.mReservedPerStep;
  return static_cast<double>(aRelayed) <
         share * static_cast<double>(aRules.mMaxRelayed);
}

} // namespace cuminslip
