#pragma once

#include "endpoints/registry.h"
#include "policy/endpointhealth.h"
#include "policy/lanes.h"

#include <map>
#include <random>
#include <vector>

/// Cached endpoint views for scheduling: registry entries combined with lanes
/// and health.
namespace cuminslip::requests {

struct Fleet
{
  endpoints::Registry mRegistry;
  std::map<EndpointId, EndpointHealth> mHealth;
  /// Number of this instance's long prompts in the prefill phase on each
  /// engine.
  std::map<EndpointId, std::int64_t> mLongPrefills;
  std::vector<EndpointView> mViews;
  bool mIsStale = true;
};

/// Rebuilds the views if they are marked stale; otherwise does nothing.
auto
RefreshViews(Fleet& aFleet, const LaneSettings& aLanes, TimePoint aNow) -> void;

/// Updates the view of one endpoint from the registry. Keeps its lane. Marks
/// the views stale if the endpoint is no longer registered.
auto
RefreshView(Fleet& aFleet, const EndpointId& aEndpoint, TimePoint aNow) -> void;

/// Adjusts the number of long prefills on an engine: aChange is 1 at the start
/// of one and -1 at its end.
auto
CountLongPrefill(Fleet& aFleet,
                 const EndpointId& aEndpoint,
                 std::int64_t aChange) -> void;

/// Makes the next call of RefreshViews rebuild the views.
auto
MarkStale(Fleet& aFleet) -> void;

/// Returns the view of an endpoint or null. Valid until the next refresh.
auto
FindView(const Fleet& aFleet, const EndpointId& aEndpoint)
  -> const EndpointView*;

/// Records the start of an attempt. Returns whether it is a trial call to an
/// ejected endpoint.
auto
RecordAttemptStart(Fleet& aFleet,
                   const EndpointId& aEndpoint,
                   std::int64_t aPromptTokens,
                   TimePoint aNow) -> bool;

/// Records the end of an attempt passed to RecordAttemptStart before.
auto
RecordAttemptEnd(Fleet& aFleet,
                 const EndpointId& aEndpoint,
                 std::int64_t aPromptTokens,
                 TimePoint aNow) -> void;

/// Records the outcome of a call for the endpoint's health.
auto
RecordCallOutcome(Fleet& aFleet,
                  const EndpointId& aEndpoint,
                  CallOutcome aOutcome,
                  bool aWasTrial,
                  const HealthSettings& aSettings,
                  TimePoint aNow) -> void;

/// Ends a trial call without an outcome, so that another one can start.
auto
ForgetTrial(Fleet& aFleet, const EndpointId& aEndpoint) -> void;

/// Ejects unhealthy endpoints, allows trial calls and readmits recovered
/// endpoints. Logs each change.
auto
UpdateFleetHealth(Fleet& aFleet,
                  const HealthSettings& aSettings,
                  TimePoint aNow,
                  std::mt19937_64& aRandom) -> void;

} // namespace cuminslip::requests
