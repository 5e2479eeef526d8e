#pragma once

#include "base/clock.h"
#include "policy/prediction.h"
#include "policy/types/endpointview.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

/// Outlier ejection: temporarily stops using endpoints that fail, while
/// limiting how many are ejected at once.
namespace cuminslip {

struct HealthSettings
{
  /// Consecutive failures after which an endpoint is ejected.
  std::int64_t mFailuresInRow = 2;
  /// Smoothed failure rate from which an endpoint is ejected.
  double mFailureShare = 0.4;
  /// Both conditions require a failure rate that exceeds the median of the
  /// group by this much.
  double mShareAboveMedian = 0.3;
  /// Minimum number of calls before the failure rate is considered.
  std::int64_t mLeastCalls = 5;
  double mGain = 0.2;
  /// Maximum fraction of the endpoints that may be ejected at once.
  double mMaxEjectedShare = 0.34;
  Millis mFirstEjection{ 2000 };
  Millis mGreatestEjection{ 60000 };
  /// Number of trial calls that must succeed before an endpoint is used again.
  std::int64_t mTrials = 1;

  auto operator==(const HealthSettings&) const -> bool = default;
};

enum class CallOutcome : std::uint8_t
{
  Succeeded,
  /// A valid refusal, for example for lack of memory: the endpoint works.
  Refused,
  /// Connection refused or broken, protocol error, or a stream without its
  /// end marker.
  Failed,
  /// No data within the expected time.
  TimedOut
};

enum class HealthState : std::uint8_t
{
  InUse,
  Ejected,
  /// The ejection has ended: one call at a time checks whether the endpoint
  /// works.
  OnTrial
};

/// Returns the name used in logs. Thread safe.
auto
ToText(HealthState aState) -> std::string_view;

/// Health state that this instance keeps for an endpoint.
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
  /// Not ejected because mMaxEjectedShare was reached.
  KeptByLimit
};

/// Returns the name used in logs. Thread safe.
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

/// Records the end of a call; aWasTrial is the result of BeginCall for it. Not
/// thread safe.
auto
RecordCall(EndpointHealth& aHealth,
           CallOutcome aOutcome,
           bool aWasTrial,
           const HealthSettings& aSettings) -> void;

/// Records the start of a call; returns true if it is a trial call. Not thread
/// safe.
auto
BeginCall(EndpointHealth& aHealth) -> bool;

/// Ejects endpoints, puts them on trial or back into use, and returns the
/// changes. aGroup holds interchangeable endpoints. Call it after failures and
/// about once a second. Not thread safe.
auto
UpdateHealth(std::span<EndpointHealth> aGroup,
             const HealthSettings& aSettings,
             TimePoint aNow,
             std::mt19937_64& aRandom) -> std::vector<HealthChange>;

/// Returns true if the endpoint may receive a call now. Thread safe.
auto
MayCall(const EndpointHealth& aHealth) -> bool;

/// Resets the health state if the endpoint was restarted. Not thread safe.
auto
ResetIfRestarted(EndpointHealth& aHealth, Incarnation aIncarnation) -> void;

/// Returns how long to wait for the first data of an attempt, from its
/// predicted times and the remaining allowance: short enough that another
/// attempt can follow, long enough that a slow engine is not abandoned. Thread
/// safe.
auto
FirstDataTimeout(const PredictedTimes& aPredicted, Micros aAllowanceLeft)
  -> Micros;

} // namespace cuminslip
