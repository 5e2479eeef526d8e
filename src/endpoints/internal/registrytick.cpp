#include "endpoints/internal/suspicion.h"
#include "endpoints/registry.h"
#include "endpoints/types/endpointsevents.h"

namespace cuminslip::endpoints {

namespace {

/// Excludes a pause of this process from the endpoints' silence, since
/// announcements sent during the pause were lost.
auto
ExcludeOwnPause(Registry& aRegistry, TimePoint aNow) -> void
{
  const auto pause = MillisBetween(aRegistry.mLastTick, aNow);
  const auto isFirstTick = aRegistry.mLastTick == TimePoint{};
  if (isFirstTick || pause <= aRegistry.mSettings.mOwnPauseLimit) {
    return;
  }
  for (auto& [id, entry] : aRegistry.mEntries) {
    entry.mHeardAt = std::min(aNow, entry.mHeardAt + pause);
  }
}

auto
CheckSuspicion(const RegistrySettings& aSettings,
               EndpointEntry& aEntry,
               TimePoint aNow,
               std::vector<EndpointChange>& aChanges) -> void
{
  const auto reason = ExplainSuspicion(aSettings, aEntry, aNow);
  const auto isSuspect = !reason.empty();
  if (isSuspect == aEntry.mWasSuspect) {
    return;
  }
  aEntry.mWasSuspect = isSuspect;
  aChanges.push_back(
    { isSuspect ? EndpointChangeKind::Suspected : EndpointChangeKind::Recovered,
      aEntry.mLatest.mEndpoint,
      aEntry.mLatest.mIncarnation,
      isSuspect ? reason : "announcements and calls succeed again" });
}

auto
EventOf(EndpointChangeKind aKind) -> const Event&
{
  switch (aKind) {
    case EndpointChangeKind::Joined:
      return kEndpointJoinedEvent;
    case EndpointChangeKind::Restarted:
      return kEndpointRestartedEvent;
    case EndpointChangeKind::Leaving:
      return kEndpointLeavingEvent;
    case EndpointChangeKind::Returned:
      return kEndpointReturnedEvent;
    case EndpointChangeKind::Suspected:
      return kEndpointSuspectedEvent;
    case EndpointChangeKind::Recovered:
      return kEndpointRecoveredEvent;
    case EndpointChangeKind::AddressTakenOver:
      return kEndpointAddressTakenOverEvent;
    case EndpointChangeKind::DrainStarted:
      return kEndpointDrainStartedEvent;
    case EndpointChangeKind::DrainEnded:
      return kEndpointDrainEndedEvent;
    case EndpointChangeKind::CacheGap:
      return kEndpointCacheGapEvent;
    case EndpointChangeKind::Forgotten:
      return kEndpointForgottenEvent;
    case EndpointChangeKind::Refused:
      return kEndpointRefusedEvent;
  }
  return kEndpointRefusedEvent;
}

} // namespace

auto
TickRegistry(Registry& aRegistry, TimePoint aNow) -> std::vector<EndpointChange>
{
  auto changes = std::vector<EndpointChange>{};
  ExcludeOwnPause(aRegistry, aNow);
  aRegistry.mLastTick = aNow;
  for (auto it = aRegistry.mEntries.begin(); it != aRegistry.mEntries.end();) {
    auto& entry = it->second;
    CheckSuspicion(aRegistry.mSettings, entry, aNow, changes);
    if (SilenceAt(entry, aNow) < aRegistry.mSettings.mForgetAfter) {
      ++it;
      continue;
    }
    changes.push_back({ EndpointChangeKind::Forgotten,
                        it->first,
                        entry.mLatest.mIncarnation,
                        "silent for too long" });
    it = aRegistry.mEntries.erase(it);
  }
  return changes;
}

auto
LogEndpointChange(const EndpointChange& aChange) -> void
{
  LogEvent(EventOf(aChange.mKind),
           { { "endpoint", aChange.mEndpoint.mValue },
             { "incarnation", aChange.mIncarnation },
             { "reason", aChange.mReason } });
}

} // namespace cuminslip::endpoints
