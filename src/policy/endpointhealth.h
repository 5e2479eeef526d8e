#pragma once

#include "base/clock.h"
#include "policy/prediction.h"
#include "policy/types/endpointview.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

/// Takes endpoints that fail out of use for a while, never too many at once.
namespace cuminslip {

struct HealthSettings
{
  /// Failures in a row after which an endpoint is ejected.
  std::int64_t mFailuresInRow = 2;
  /// Smoothed share of failures from which it is ejected.
  double mFailureShare = 0.4;
  /// Either counts only where its share is above the median one's by this.
  double mShareAboveMedian = 0.3;
  /// Calls before the share counts.
  std::int64_t mLeastCalls = 5;
  double mGain = 0.2;
  /// Largest share of the endpoints that may be out at once.
  double mMaxEjectedShare = 0.34;
  Millis mFirstEjection{ 2000 };
  Millis mGreatestEjection{ 60000 };
  /// Trial calls that must succeed before an endpoint is back.
  std::int64_t mTrials = 1;

  auto operator==(const HealthSettings&) const -> bool = default;
};

enum class CallOutcome : std::uint8_t
{
  Succeeded,
  /// A sound refusal, for example for lack of memory: says that it works.
  Refused,
  /// Connection refused or broken, protocol error, stream without end.
  Failed,
  /// No sign of life within the time that was expected.
  TimedOut
};

enum class HealthState : std::uint8_t
{
  InUse,
  Ejected,
  /// The ejection is over: one call at a time shows whether it works.
  OnTrial
};

/// Name for logs. Thread safe.
auto
ToText(HealthState aState) -> std::string_view;

/// What this instance keeps for an endpoint.
struct EndpointHealth
{
  EndpointId mId;
  Incarnation mIncarnation = 0;
  HealthState mState = HealthState::InUse;
  CallHealth mCalls;
  std::int64_t mCallCount = 0;
  std::int64_t mEjections = 0;
  std::int64_t mTrialsRunning = 0;
  std::int64_t mTrialsPassed = 0;
  TimePoint mEjectedUntil;

  auto operator==(const EndpointHealth&) const -> bool = default;
};

enum class HealthChangeKind : std::uint8_t
{
  Ejected,
  TrialBegan,
  Returned,
  /// Would have been ejected, but too many are out already.
  KeptByLimit
};

/// Name for logs. Thread safe.
auto
ToText(HealthChangeKind aKind) -> std::string_view;

struct HealthChange
{
  EndpointId mEndpoint;
  HealthChangeKind mKind = HealthChangeKind::Ejected;
  Millis mFor{ 0 };
  CallHealth mCalls;

  auto operator==(const HealthChange&) const -> bool = default;
};

/// Notes the end of a call; aWasTrial is what BeginCall returned for it. Not
/// thread safe.
auto
RecordCall(EndpointHealth& aHealth,
           CallOutcome aOutcome,
           bool aWasTrial,
           const HealthSettings& aSettings) -> void;

/// Notes that a call begins; returns whether it is a trial call. Not thread
/// safe.
auto
BeginCall(EndpointHealth& aHealth) -> bool;

/// Ejects, puts on trial and returns endpoints. aGroup holds endpoints that
/// can stand in for each other. Call after failures and about once a second.
/// Not thread safe.
auto
UpdateHealth(std::span<EndpointHealth> aGroup,
             const HealthSettings& aSettings,
             TimePoint aNow,
             std::mt19937_64& aRandom) -> std::vector<HealthChange>;

/// Whether the endpoint may get a call now. Thread safe.
auto
MayCall(const EndpointHealth& aHealth) -> bool;

/// Starts anew when the endpoint was restarted. Not thread safe.
auto
ResetIfRestarted(EndpointHealth& aHealth, Incarnation aIncarnation) -> void;

/// How long to wait for the first sign of life of an attempt, from its
/// predicted times and what is left: so short that another attempt can still
/// follow, so long that a slow engine is not given up. Thread safe.
auto
SilenceLimit(const PredictedTimes& aPredicted, Micros aAllowanceLeft) -> Micros;

} // namespace cuminslip
