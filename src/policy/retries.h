#pragma once

#include "base/clock.h"

#include <cstdint>
#include <random>
#include <string_view>

/// Decides whether a failed attempt is retried at another endpoint.
namespace cuminslip {

struct RetrySettings
{
  /// Ratio of retries to first attempts.
  double mBudgetShare = 0.1;
  /// Maximum number of saved-up retries, so that retries are possible even at a
  /// rate of a few requests per minute.
  double mGreatestBudget = 10;
  std::int64_t mMaxAttempts = 3;
  Millis mFirstDelay{ 20 };
  Millis mGreatestDelay{ 1000 };
  /// A retry requires a remaining allowance of at least its predicted time
  /// multiplied by this factor.
  double mPredictionShare = 0.7;

  auto operator==(const RetrySettings&) const -> bool = default;
};

/// Credit for retries; starts at RetrySettings::mGreatestBudget.
struct RetryBudget
{
  double mCredit = 0;
  bool mIsStarted = false;

  auto operator==(const RetryBudget&) const -> bool = default;
};

/// Whether the failed attempt may have run at the endpoint.
enum class AttemptOutcome : std::uint8_t
{
  /// The endpoint refused it before running it, or no byte was sent.
  NotRun,
  /// The attempt broke after it began to run, or there was no answer.
  Unknown
};

enum class RetryReason : std::uint8_t
{
  Allowed,
  /// The request may have run already and must not run twice.
  NotIdempotent,
  TooManyAttempts,
  NoAllowance,
  BudgetUsedUp,
  /// All endpoints were tried already.
  NoOtherEndpoint
};

/// Returns the name used in logs. Thread safe.
auto
ToText(RetryReason aReason) -> std::string_view;

struct RetryInput
{
  AttemptOutcome mOutcome = AttemptOutcome::Unknown;
  bool mIsIdempotent = true;
  /// Number of attempts made so far.
  std::int64_t mAttempts = 1;
  Micros mAllowanceLeft{ 0 };
  /// Predicted total time of the next attempt.
  Micros mPredictedTotal{ 0 };
  bool mHasOtherEndpoint = true;

  auto operator==(const RetryInput&) const -> bool = default;
};

struct RetryDecision
{
  RetryReason mReason = RetryReason::Allowed;
  Millis mDelay{ 0 };

  auto operator==(const RetryDecision&) const -> bool = default;
};

/// Records a first attempt, which adds mBudgetShare to the budget. Not thread
/// safe.
auto
RecordFirstAttempt(RetryBudget& aBudget, const RetrySettings& aSettings)
  -> void;

/// Decides on a retry and takes it from the budget if it is allowed. The delay
/// has full jitter and is at most the allowance left after the predicted time.
/// Not thread safe.
auto
DecideRetry(const RetryInput& aInput,
            const RetrySettings& aSettings,
            RetryBudget& aBudget,
            std::mt19937_64& aRandom) -> RetryDecision;

} // namespace cuminslip
