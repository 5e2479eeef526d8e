#include "endpoints/orphansweep.h"

#include "base/digest.h"

#include <algorithm>
#include <set>

namespace cuminslip::endpoints {

namespace {

using SuspectKey = std::pair<EndpointId, HoldingId>;

/// Why a reported holding looks like an orphan at aNow, if it does.
auto
FindReason(const Membership& aMembership,
           const EndpointEntry& aEntry,
           const HoldingReport& aHolding,
           const IsHeldFunction& aIsHeld,
           TimePoint aNow) -> ReleaseReason
{
  const auto owner = Owner{ aHolding.mOwner, aHolding.mOwnerIncarnation };
  const auto state = OwnerStateAt(aMembership, owner, aNow);
  if (state == OwnerState::Gone) {
    return ReleaseReason::OwnerGone;
  }
  if (aHolding.mOwner == aMembership.mSettings.mInstance) {
    return aIsHeld(aHolding.mId) ? ReleaseReason::None
                                 : ReleaseReason::NotInLedger;
  }
  const auto leaseEnd = *aEntry.mHoldingsHeardAt + aHolding.mExpiresIn;
  // NOTE: only a report made after the lease ended shows that nobody renewed.
  const auto isOver = aHolding.mExpiresIn <= Millis(0) && aNow >= leaseEnd;
  const auto isAlive = state == OwnerState::Alive;
  return isOver && !isAlive ? ReleaseReason::LeaseExpired : ReleaseReason::None;
}

auto
WaitBeforeRelease(const OrphanSweep& aSweep, ReleaseReason aReason) -> Millis
{
  return aReason == ReleaseReason::OwnerGone ? Millis(0) : aSweep.mExpiryMargin;
}

auto
SweepEndpoint(OrphanSweep& aSweep,
              const Membership& aMembership,
              const EndpointEntry& aEntry,
              const IsHeldFunction& aIsHeld,
              TimePoint aNow,
              std::set<SuspectKey>& aSeen,
              std::vector<ReleaseAction>& aActions) -> void
{
  for (const auto& holding : aEntry.mLatest.mHoldings) {
    const auto reason = FindReason(aMembership, aEntry, holding, aIsHeld, aNow);
    if (reason == ReleaseReason::None) {
      continue;
    }
    const auto key = SuspectKey{ aEntry.mLatest.mEndpoint, holding.mId };
    aSeen.insert(key);
    auto& suspect =
      aSweep.mSuspects.try_emplace(key, OrphanSweep::Suspect{ aNow, aNow })
        .first->second;
    const auto ready = suspect.mFirstSeen + WaitBeforeRelease(aSweep, reason);
    if (aNow < ready || aNow < suspect.mNextTry) {
      continue;
    }
    suspect.mNextTry = aNow + aSweep.mRetryDelay;
    aActions.push_back({ holding.mId,
                         holding.mKind,
                         aEntry.mLatest.mEndpoint,
                         aEntry.mLatest.mAddress,
                         reason });
  }
}

auto
IsSweeper(const Membership& aMembership,
          const std::vector<InstanceRecord>& aAlive,
          const EndpointId& aEndpoint) -> bool
{
  return SweeperOf(aAlive, aEndpoint) == aMembership.mSettings.mInstance;
}

} // namespace

auto
SweeperOf(const std::vector<InstanceRecord>& aAlive,
          const EndpointId& aEndpoint) -> InstanceId
{
  const auto weight = [&](const InstanceRecord& aRecord) {
    return std::pair(Checksum(aRecord.mId.mValue, Checksum(aEndpoint.mValue)),
                     aRecord.mId);
  };
  const auto best = std::max_element(
    aAlive.begin(), aAlive.end(), [&](const auto& aLeft, const auto& aRight) {
      return weight(aLeft) < weight(aRight);
    });
  return best->mId;
}

auto
EndpointsToInspect(const Membership& aMembership,
                   const Registry& aRegistry,
                   Millis aMaxAge,
                   TimePoint aNow) -> std::vector<EndpointId>
{
  auto ids = std::vector<EndpointId>{};
  const auto alive = AliveInstances(aMembership, aNow);
  for (const auto& [id, entry] : aRegistry.mEntries) {
    const auto isRecent =
      entry.mHoldingsHeardAt && aNow - *entry.mHoldingsHeardAt < aMaxAge;
    const auto isEngine = entry.mLatest.mKind == EndpointKind::ModelEngine;
    if (isEngine && !isRecent && IsSweeper(aMembership, alive, id)) {
      ids.push_back(id);
    }
  }
  return ids;
}

auto
SweepOrphans(OrphanSweep& aSweep,
             const Membership& aMembership,
             const Registry& aRegistry,
             const IsHeldFunction& aIsHeld,
             TimePoint aNow) -> std::vector<ReleaseAction>
{
  auto actions = std::vector<ReleaseAction>{};
  auto seen = std::set<SuspectKey>{};
  const auto alive = AliveInstances(aMembership, aNow);
  for (const auto& [id, entry] : aRegistry.mEntries) {
    if (entry.mHoldingsHeardAt && IsSweeper(aMembership, alive, id)) {
      SweepEndpoint(aSweep, aMembership, entry, aIsHeld, aNow, seen, actions);
    }
  }
  std::erase_if(aSweep.mSuspects,
                [&](const auto& aItem) { return !seen.contains(aItem.first); });
  return actions;
}

} // namespace cuminslip::endpoints
