#include "endpoints/orphankeeper.h"

#include "endpoints/protocol.h"

namespace cuminslip::endpoints {

namespace {

constexpr auto kUrgentTime = Seconds(60);
constexpr auto kSweepInterval = Millis(500);

auto
TakeState(OrphanKeeper& aKeeper,
          Registry& aRegistry,
          const EndpointId& aEndpoint,
          const std::optional<EndpointAnswer>& aAnswer,
          TimePoint aAskedAt) -> void
{
  aKeeper.mAsked.erase(aEndpoint);
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
AskForState(OrphanKeeper& aKeeper,
            const OrphanContext& aContext,
            const EndpointEntry& aEntry,
            TimePoint aNow) -> void
{
  const auto id = aEntry.mLatest.mEndpoint;
  aKeeper.mAsked.insert(id);
  auto call = EndpointCall{};
  call.mAddress = aEntry.mLatest.mAddress;
  call.mMethod = "GET";
  call.mPath = kStatePath;
  aContext.mCall(std::move(call),
                 [&aKeeper, &registry = aContext.mRegistry, id, aNow](
                   const std::optional<EndpointAnswer>& aAnswer) {
                   TakeState(aKeeper, registry, id, aAnswer, aNow);
                 });
}

auto
AskForStates(OrphanKeeper& aKeeper,
             const OrphanContext& aContext,
             TimePoint aNow) -> void
{
  const auto maxAge =
    aNow < aKeeper.mUrgentUntil ? kUrgentInspectionAge : kInspectionAge;
  const auto ids =
    EndpointsToInspect(aContext.mMembership, aContext.mRegistry, maxAge, aNow);
  for (const auto& id : ids) {
    const auto& entry = aContext.mRegistry.mEntries.at(id);
    const auto isReachable =
      ExplainSuspicion(aContext.mRegistry.mSettings, entry, aNow).empty();
    const auto hasRoom = aKeeper.mAsked.size() < aKeeper.mMaxAsked;
    if (hasRoom && isReachable && !aKeeper.mAsked.contains(id)) {
      AskForState(aKeeper, aContext, entry, aNow);
    }
  }
}

} // namespace

auto
NoteInstanceChange(OrphanKeeper& aKeeper,
                   const InstanceChange& aChange,
                   TimePoint aNow) -> void
{
  const auto mayLeaveOrphans = aChange.mKind == InstanceChangeKind::Silent ||
                               aChange.mKind == InstanceChangeKind::Stopped ||
                               aChange.mKind == InstanceChangeKind::Restarted;
  if (mayLeaveOrphans) {
    aKeeper.mUrgentUntil = aNow + kUrgentTime;
  }
}

auto
TickOrphanKeeper(OrphanKeeper& aKeeper,
                 const OrphanContext& aContext,
                 TimePoint aNow) -> void
{
  if (aNow < aKeeper.mNextSweep) {
    return;
  }
  aKeeper.mNextSweep = aNow + kSweepInterval;
  AskForStates(aKeeper, aContext, aNow);
  const auto releases = SweepOrphans(aKeeper.mSweep,
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
                   [&aKeeper](const std::optional<EndpointAnswer>& aAnswer) {
                     const auto isFree =
                       aAnswer && IsReleaseConfirmed(aAnswer->mBody);
                     aKeeper.mReleased += isFree ? 1 : 0;
                   });
  }
}

} // namespace cuminslip::endpoints
