#include "policy/reach.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cuminslip {

namespace {

/// Returns true if enough endpoints gave no connection.
auto
AreEnough(const Reach& aReach, std::size_t aKnown, const ReachRules& aRules)
  -> bool
{
  auto services = std::set<std::uint64_t>{};
  for (const auto& [endpoint, service] : aReach.mUnreached) {
    services.insert(service);
  }
  const auto least =
    services.size() > 1 ? aRules.mMinEndpoints : aRules.mMinOfOneService;
  return aReach.mUnreached.size() >= std::min(least, aKnown);
}

} // namespace

auto
AddUnreached(Reach aReach,
             std::uint64_t aEndpoint,
             std::uint64_t aService,
             std::size_t aKnown,
             TimePoint aNow,
             const ReachRules& aRules) -> Reach
{
  if (aReach.mUnreached.empty()) {
    aReach.mFailingSince = aNow;
  }
  // NOTE: no more than this is needed to know of a cut.
  if (aReach.mUnreached.size() < aRules.mMinOfOneService) {
    aReach.mUnreached.emplace(aEndpoint, aService);
  }
  const auto isLong = aNow >= aReach.mFailingSince + aRules.mMinSpan;
  if (!aReach.mIsLost && isLong && AreEnough(aReach, aKnown, aRules)) {
    aReach.mIsLost = true;
    aReach.mTriedAt = aNow;
  }
  return aReach;
}

auto
AddReached(const Reach& aReach, TimePoint aSentAt) -> Reach
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
    return std::tuple(!aItem.mIsPreferred, aItem.mInFlight, aItem.mRandomKey);
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
