#pragma once

#include "base/clock.h"
#include "policy/types/endpointview.h"

#include <array>
#include <cstdint>
#include <optional>

/// Predicts how long an engine would take for a request.
namespace cuminslip {

/// By engine priority: 0 urgent, 1 normal, 2 patient.
using QueueShares = std::array<double, 3>;

struct PredictionSettings
{
  /// Used where an engine reports no rate.
  double mDefaultPrefillTokensPerSecond = 20000;
  double mDefaultDecodeTokensPerSecond = 30;
  /// Length of answer assumed for streams that others sent.
  std::int64_t mTypicalAnswerTokens = 128;
  /// Share of the queued prompt tokens that a request of each engine priority
  /// waits for, as engines honour priorities.
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
  /// As given to the engine: 0 urgent, 1 normal, 2 patient.
  int mEnginePriority = 1;

  auto operator==(const WorkSize&) const -> bool = default;
};

struct PredictedTimes
{
  Micros mQueue{ 0 };
  Micros mPrefill{ 0 };
  Micros mDecode{ 0 };
  /// The learned slowness that the times contain.
  double mSlowness = 1.0;

  auto operator==(const PredictedTimes&) const -> bool = default;
};

/// Queue and prefill time. Thread safe.
auto
FirstTokenTime(const PredictedTimes& aTimes) -> Micros;

/// Time until the end of the answer. Thread safe.
auto
TotalTime(const PredictedTimes& aTimes) -> Micros;

/// Predicts from the last report, its age, what was sent since and the
/// measured slowness. Thread safe.
auto
PredictTimes(const EndpointView& aEndpoint,
             const WorkSize& aWork,
             const PredictionSettings& aSettings) -> PredictedTimes;

/// Prompt tokens expected to be queued at the engine now. Thread safe.
auto
EstimateQueuedTokens(const EndpointView& aEndpoint,
                     const PredictionSettings& aSettings) -> std::int64_t;

/// KV tokens expected to be free at the engine now; not below 0. Thread safe.
auto
EstimateFreeKvTokens(const EndpointView& aEndpoint) -> std::int64_t;

/// How many times as long as predicted from the engine's own figures a first
/// token took; none where the times are too short to tell. The slowness that
/// the prediction already contains is taken out of it. Thread safe.
auto
MeasureSlowness(Micros aMeasured,
                const PredictedTimes& aPredicted,
                const PredictionSettings& aSettings) -> std::optional<double>;

/// Smooths the measured slowness into aHealth.mSlowness. Not thread safe.
auto
LearnSlowness(CallHealth& aHealth,
              Micros aMeasured,
              const PredictedTimes& aPredicted,
              const PredictionSettings& aSettings) -> void;

} // namespace cuminslip
