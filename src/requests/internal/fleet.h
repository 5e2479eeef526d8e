#pragma once

#include "endpoints/registry.h"
#include "policy/endpointhealth.h"
#include "policy/lanes.h"

#include <map>
#include <random>
#include <vector>

/// The endpoints as the decisions see them: the registry's views with lanes and
/// health, kept between decisions.
namespace cuminslip::requests {

struct Fleet
{
  endpoints::Registry mRegistry;
  std::map<EndpointId, EndpointHealth> mHealth;
  /// Long prompts of this instance that each engine is reading now.
  std::map<EndpointId, std::int64_t> mLongPrefills;
  std::vector<EndpointView> mViews;
  bool mIsStale = true;
};

/// Rebuilds the views when endpoints came, went or changed, or when they are
/// to be refreshed. Cheap otherwise.
auto
RefreshViews(Fleet& aFleet, const LaneSettings& aLanes, TimePoint aNow) -> void;

/// Takes over the registry's figures for one endpoint after they changed.
auto
RefreshView(Fleet& aFleet, const EndpointId& aEndpoint, TimePoint aNow) -> void;

/// Counts a long prompt that an engine begins (1) or has ceased (-1) to read.
auto
CountLongPrefill(Fleet& aFleet,
                 const EndpointId& aEndpoint,
                 std::int64_t aChange) -> void;

/// Makes the next RefreshViews rebuild.
auto
MarkStale(Fleet& aFleet) -> void;

/// The view of one endpoint, or null. Valid until the next refresh.
auto
FindView(const Fleet& aFleet, const EndpointId& aEndpoint)
  -> const EndpointView*;

/// Counts a stream sent to an endpoint; returns whether it is a trial call.
auto
RecordAttemptStart(Fleet& aFleet,
                   const EndpointId& aEndpoint,
                   std::int64_t aPromptTokens,
                   TimePoint aNow) -> bool;

/// Counts the end of a stream that RecordAttemptStart counted.
auto
RecordAttemptEnd(Fleet& aFleet,
                 const EndpointId& aEndpoint,
                 std::int64_t aPromptTokens,
                 TimePoint aNow) -> void;

/// Takes in how a call ended.
auto
RecordCallOutcome(Fleet& aFleet,
                  const EndpointId& aEndpoint,
                  CallOutcome aOutcome,
                  bool aWasTrial,
                  const HealthSettings& aSettings,
                  TimePoint aNow) -> void;

/// Frees the place of a trial call that ended without telling anything.
auto
ForgetTrial(Fleet& aFleet, const EndpointId& aEndpoint) -> void;

/// Ejects, tries and returns endpoints; writes a log line for each change.
auto
UpdateFleetHealth(Fleet& aFleet,
                  const HealthSettings& aSettings,
                  TimePoint aNow,
                  std::mt19937_64& aRandom) -> void;

} // namespace cuminslip::requests
