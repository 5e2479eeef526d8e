#include "requests/internal/fleet.h"

#include "policy/decisionlog.h"

#include <algorithm>

namespace cuminslip::requests {

namespace {

auto
HealthOf(Fleet& aFleet, const EndpointId& aEndpoint) -> EndpointHealth&
{
  auto& health = aFleet.mHealth[aEndpoint];
  health.mId = aEndpoint;
  return health;
}

auto
ApplyHealth(Fleet& aFleet, EndpointView& aView) -> void
{
  auto& health = HealthOf(aFleet, aView.mId);
  ResetIfRestarted(health, aView.mIncarnation);
  aView.mIsEjected = !MayCall(health);
  const auto reading = aFleet.mLongPrefills.find(aView.mId);
  aView.mOwnLongPrefills =
    reading == aFleet.mLongPrefills.end() ? 0 : reading->second;
}

auto
ToCallResult(CallOutcome aOutcome) -> endpoints::CallResult
{
  switch (aOutcome) {
    case CallOutcome::Succeeded:
      return endpoints::CallResult::Succeeded;
    case CallOutcome::Refused:
      return endpoints::CallResult::Refused;
    case CallOutcome::Failed:
    case CallOutcome::TimedOut:
      return endpoints::CallResult::Failed;
  }
  return endpoints::CallResult::Failed;
}

auto
RemoveMissingEndpoints(Fleet& aFleet) -> void
{
  std::erase_if(aFleet.mHealth, [&](const auto& aItem) {
    return !aFleet.mRegistry.mEntries.contains(aItem.first);
  });
}

/// Endpoints that can stand in for each other: one kind, service and domain.
auto
GroupKey(const EndpointView& aView) -> std::string
{
  return aView.mService + "/" + aView.mRegion.mValue;
}

} // namespace

auto
RefreshViews(Fleet& aFleet, const LaneSettings& aLanes, TimePoint aNow) -> void
{
  if (!aFleet.mIsStale) {
    return;
  }
  aFleet.mViews = endpoints::ViewsAt(aFleet.mRegistry, aNow);
  RemoveMissingEndpoints(aFleet);
  for (auto& view : aFleet.mViews) {
    ApplyHealth(aFleet, view);
  }
  AssignLanes(aFleet.mViews, aLanes);
  aFleet.mIsStale = false;
}

auto
RefreshView(Fleet& aFleet, const EndpointId& aEndpoint, TimePoint aNow) -> void
{
  const auto it =
    std::find_if(aFleet.mViews.begin(),
                 aFleet.mViews.end(),
                 [&](const auto& aView) { return aView.mId == aEndpoint; });
  if (it == aFleet.mViews.end()) {
    return;
  }
  auto view = endpoints::ViewAt(aFleet.mRegistry, aEndpoint, aNow);
  if (!view) {
    aFleet.mIsStale = true;
    return;
  }
  view->mLane = it->mLane;
  ApplyHealth(aFleet, *view);
  *it = std::move(*view);
}

auto
CountLongPrefill(Fleet& aFleet,
                 const EndpointId& aEndpoint,
                 std::int64_t aChange) -> void
{
  auto& count = aFleet.mLongPrefills[aEndpoint];
  count = std::max<std::int64_t>(0, count + aChange);
  if (count == 0) {
    aFleet.mLongPrefills.erase(aEndpoint);
  }
}

auto
MarkStale(Fleet& aFleet) -> void
{
  aFleet.mIsStale = true;
}

auto
FindView(const Fleet& aFleet, const EndpointId& aEndpoint)
  -> const EndpointView*
{
  const auto it =
    std::find_if(aFleet.mViews.begin(),
                 aFleet.mViews.end(),
                 [&](const auto& aView) { return aView.mId == aEndpoint; });
  return it == aFleet.mViews.end() ? nullptr : &*it;
}

auto
RecordAttemptStart(Fleet& aFleet,
                   const EndpointId& aEndpoint,
                   std::int64_t aPromptTokens,
                   TimePoint aNow) -> bool
{
  endpoints::NoteSent(aFleet.mRegistry, aEndpoint, aPromptTokens, aNow);
  const auto isTrial = BeginCall(HealthOf(aFleet, aEndpoint));
  RefreshView(aFleet, aEndpoint, aNow);
  return isTrial;
}

auto
RecordAttemptEnd(Fleet& aFleet,
                 const EndpointId& aEndpoint,
                 std::int64_t aPromptTokens,
                 TimePoint aNow) -> void
{
  endpoints::NoteEnded(aFleet.mRegistry, aEndpoint, aPromptTokens);
  RefreshView(aFleet, aEndpoint, aNow);
}

auto
RecordCallOutcome(Fleet& aFleet,
                  const EndpointId& aEndpoint,
                  CallOutcome aOutcome,
                  bool aWasTrial,
                  const HealthSettings& aSettings,
                  TimePoint aNow) -> void
{
  endpoints::NoteCallResult(
    aFleet.mRegistry, aEndpoint, ToCallResult(aOutcome), aNow);
  RecordCall(HealthOf(aFleet, aEndpoint), aOutcome, aWasTrial, aSettings);
  RefreshView(aFleet, aEndpoint, aNow);
}

auto
ForgetTrial(Fleet& aFleet, const EndpointId& aEndpoint) -> void
{
  auto& health = HealthOf(aFleet, aEndpoint);
  health.mTrialsRunning = std::max<std::int64_t>(0, health.mTrialsRunning - 1);
}

auto
UpdateFleetHealth(Fleet& aFleet,
                  const HealthSettings& aSettings,
                  TimePoint aNow,
                  std::mt19937_64& aRandom) -> void
{
  auto groups = std::map<std::string, std::vector<EndpointHealth>>{};
  for (const auto& view : aFleet.mViews) {
    groups[GroupKey(view)].push_back(HealthOf(aFleet, view.mId));
  }
  for (auto& [key, group] : groups) {
    const auto changes = UpdateHealth(group, aSettings, aNow, aRandom);
    for (const auto& health : group) {
      aFleet.mHealth[health.mId] = health;
    }
    for (const auto& change : changes) {
      LogHealthChange(change);
      aFleet.mIsStale = true;
    }
  }
}

} // namespace cuminslip::requests
