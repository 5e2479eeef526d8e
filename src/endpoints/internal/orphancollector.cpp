#include "endpoints/orphancollector.h"

#include "endpoints/protocol.h"

namespace cuminslip::endpoints {

namespace {

constexpr auto kUrgentTime = Seconds(60);
constexpr auto kSweepInterval = Millis(500);

auto
HandleState(OrphanCollector& aCollector,
            Registry& aRegistry,
            const EndpointId& aEndpoint,
            const std::optional<EndpointAnswer>& aAnswer,
            TimePoint aAskedAt) -> void
{
  aCollector.mPendingStates.erase(aEndpoint);
  if (!aAnswer || aAnswer->mStatus != 200) {
    return;
  }
  const auto state = CollectOutcome<Announcement>(
    [&] { return DecodeAnnouncement(aAnswer->mBody); });
  if (state.mValue && state.mValue->mEndpoint == aEndpoint) {
    NoteHoldings(aRegistry, *state.mValue, aAskedAt);
  }
}

auto
RequestState(OrphanCollector& aCollector,
             const OrphanContext& aContext,
             const EndpointEntry& aEntry,
             TimePoint aNow) -> void
{
  const auto id = aEntry.mLatest.mEndpoint;
  aCollector.mPendingStates.insert(id);
  auto call = EndpointCall{};
  call.mAddress = aEntry.mLatest.mAddress;
  call.mMethod = "GET";
  call.mPath = kStatePath;
  aContext.mCall(std::move(call),
                 [&aCollector, &registry = aContext.mRegistry, id, aNow](
                   const std::optional<EndpointAnswer>& aAnswer) {
                   HandleState(aCollector, registry, id, aAnswer, aNow);
                 });
}

auto
RequestStates(OrphanCollector& aCollector,
              const OrphanContext& aContext,
              TimePoint aNow) -> void
{
  const auto maxAge =
    aNow < aCollector.mUrgentUntil ? kUrgentInspectionAge : kInspectionAge;
  const auto ids =
    EndpointsToInspect(aContext.mMembership, aContext.mRegistry, maxAge, aNow);
  for (const auto& id : ids) {
    const auto& entry = aContext.mRegistry.mEntries.at(id);
    const auto isReachable =
      ExplainSuspicion(aContext.mRegistry.mSettings, entry, aNow).empty();
    const auto hasRoom =
      aCollector.mPendingStates.size() < aCollector.mMaxPendingStates;
    if (hasRoom && isReachable && !aCollector.mPendingStates.contains(id)) {
      RequestState(aCollector, aContext, entry, aNow);
    }
  }
}

} // namespace

auto
NoteInstanceChange(OrphanCollector& aCollector,
                   const InstanceChange& aChange,
                   TimePoint aNow) -> void
{
  const auto mayLeaveOrphans = aChange.mKind == InstanceChangeKind::Silent ||
                               aChange.mKind == InstanceChangeKind::Stopped ||
                               aChange.mKind == InstanceChangeKind::Restarted;
  if (mayLeaveOrphans) {
    aCollector.mUrgentUntil = aNow + kUrgentTime;
  }
}

auto
TickOrphanCollector(OrphanCollector& aCollector,
                    const OrphanContext& aContext,
                    TimePoint aNow) -> void
{
  if (aNow < aCollector.mNextSweep) {
    return;
  }
  aCollector.mNextSweep = aNow + kSweepInterval;
  RequestStates(aCollector, aContext, aNow);
  const auto releases = SweepOrphans(aCollector.mSweep,
                                     aContext.mMembership,
                                     aContext.mRegistry,
                                     aContext.mIsHeld,
                                     aNow);
  for (const auto& release : releases) {
    LogRelease(release);
    auto call = EndpointCall{};
    call.mAddress = release.mAddress;
    call.mPath = PathOf(release);
    call.mBody = "{}";
    aContext.mCall(std::move(call),
                   [&aCollector](const std::optional<EndpointAnswer>& aAnswer) {
                     const auto isFree =
                       aAnswer && IsReleaseConfirmed(aAnswer->mBody);
                     aCollector.mReleased += isFree ? 1 : 0;
                   });
  }
}

} // namespace cuminslip::endpoints
