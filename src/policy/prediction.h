#pragma once

#include "base/clock.h"
#include "policy/types/endpointview.h"

#include <array>
#include <cstdint>
#include <optional>

/// Predicts how long an engine would take to serve a request.
namespace cuminslip {

/// Indexed by engine priority: 0 urgent, 1 normal, 2 patient.
using QueueShares = std::array<double, 3>;

struct PredictionSettings
{
  /// Used if an engine reports no rate.
  double mDefaultPrefillTokensPerSecond = 20000;
  double mDefaultDecodeTokensPerSecond = 30;
  /// Assumed answer length of the streams ahead of a request.
  std::int64_t mTypicalAnswerTokens = 128;
  /// Fraction of the queued prompt tokens that a request of each engine
  /// priority waits for, since engines schedule by priority.
  QueueShares mQueueShares{ 0.25, 0.75, 1.0 };
  double mLeastSlowness = 0.25;
  double mGreatestSlowness = 20.0;

  auto operator==(const PredictionSettings&) const -> bool = default;
};

struct WorkSize
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxTokens = 0;
  /// Prompt tokens that the engine is expected to have cached.
  std::int64_t mCachedTokens = 0;
  /// As passed to the engine: 0 urgent, 1 normal, 2 patient.
  int mEnginePriority = 1;

  auto operator==(const WorkSize&) const -> bool = default;
};

struct PredictedTimes
{
  Micros mQueue{ 0 };
  Micros mPrefill{ 0 };
  Micros mDecode{ 0 };
  /// The measured slowness factor that is included in the times.
  double mSlowness = 1.0;

  auto operator==(const PredictedTimes&) const -> bool = default;
};

/// Returns the sum of queue and prefill time. Thread safe.
auto
FirstTokenTime(const PredictedTimes& aTimes) -> Micros;

/// Returns the time until the end of the answer. Thread safe.
auto
TotalTime(const PredictedTimes& aTimes) -> Micros;

/// Predicts times from the last load report, its age, the requests sent since
/// then and the measured slowness. Thread safe.
auto
PredictTimes(const EndpointView& aEndpoint,
             const WorkSize& aWork,
             const PredictionSettings& aSettings) -> PredictedTimes;

/// Estimates the number of prompt tokens queued at the engine now. Thread safe.
auto
EstimateQueuedTokens(const EndpointView& aEndpoint,
                     const PredictionSettings& aSettings) -> std::int64_t;

/// Estimates the number of free KV tokens at the engine now; not below 0.
/// Thread safe.
auto
EstimateFreeKvTokens(const EndpointView& aEndpoint) -> std::int64_t;

/// Returns the ratio of the measured time to first token to the time predicted
/// from the engine's own figures, that is, without the slowness included in
/// aPredicted. Empty if the times are too short to compare. Thread safe.
auto
MeasureSlowness(Micros aMeasured,
                const PredictedTimes& aPredicted,
                const PredictionSettings& aSettings) -> std::optional<double>;

/// Updates the moving average aHealth.mSlowness with the measured slowness. Not
/// thread safe.
auto
LearnSlowness(CallHealth& aHealth,
              Micros aMeasured,
              const PredictedTimes& aPredicted,
              const PredictionSettings& aSettings) -> void;

} // namespace cuminslip
