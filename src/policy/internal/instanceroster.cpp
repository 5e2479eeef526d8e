#include "policy/instanceroster.h"

#include <algorithm>

namespace cuminslip {

namespace {

using InstancesByAddress = std::map<std::string, FailureDomainId>;

/// Adds an instance. A control instance of an earlier version names no failure
/// domain.
auto
AddInstance(InstancesByAddress& aInstances,
            const directory::EntryInstance& aInstance) -> void
{
  auto& domain = aInstances[aInstance.mPeerAddress];
  if (domain.mValue.empty()) {
    domain = aInstance.mFailureDomain;
  }
}

/// Drops the instances that vanished first until the roster is small enough.
auto
LimitSize(InstancesByAddress& aInstances,
          std::map<std::string, TimePoint>& aVanishedAt,
          std::size_t aMax) -> void
{
  while (aInstances.size() > aMax && !aVanishedAt.empty()) {
    const auto oldest =
      std::min_element(aVanishedAt.begin(),
                       aVanishedAt.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       });
    aInstances.erase(oldest->first);
    aVanishedAt.erase(oldest);
  }
}

} // namespace

auto
UpdateRoster(const InstanceRoster& aPrevious,
             const std::vector<directory::EntryInstance>& aListed,
             TimePoint aNow,
             const RosterRules& aRules) -> InstanceRoster
{
  auto instances = InstancesByAddress{};
  for (const auto& it : aListed) {
    AddInstance(instances, it);
  }
  auto roster = InstanceRoster{};
  for (const auto& it : aPrevious.mInstances) {
    if (instances.contains(it.mPeerAddress)) {
      AddInstance(instances, it);
      continue;
    }
    const auto known = aPrevious.mVanishedAt.find(it.mPeerAddress);
    const auto vanishedAt =
      known == aPrevious.mVanishedAt.end() ? aNow : known->second;
    if (aNow - vanishedAt < aRules.mMemory) {
      roster.mVanishedAt[it.mPeerAddress] = vanishedAt;
    }
  }
  for (const auto& it : aPrevious.mInstances) {
    if (roster.mVanishedAt.contains(it.mPeerAddress)) {
      AddInstance(instances, it);
    }
  }
  LimitSize(instances, roster.mVanishedAt, aRules.mMaxInstances);
  for (const auto& [address, domain] : instances) {
    roster.mInstances.push_back({ address, domain });
  }
  const auto hasChanged = roster.mInstances != aPrevious.mInstances;
  roster.mVersion = aPrevious.mVersion + (hasChanged ? 1 : 0);
  roster.mSettledAt =
    aPrevious.mVersion == 0 ? aNow + aRules.mSettleTime : aPrevious.mSettledAt;
  return roster;
}

auto
IsSettled(const InstanceRoster& aRoster, TimePoint aNow) -> bool
{
  return aRoster.mVersion > 0 && aNow >= aRoster.mSettledAt;
}

} // namespace cuminslip
