#pragma once

#include "base/clock.h"

#include <cstdint>
#include <random>
#include <string_view>

/// Decides whether a failed attempt is repeated elsewhere.
namespace cuminslip {

struct RetrySettings
{
  /// Retries as a share of first attempts.
  double mBudgetShare = 0.1;
  /// Retries that may be saved up; lets few requests a minute have retries.
  double mGreatestBudget = 10;
  std::int64_t mMaxAttempts = 3;
  Millis mFirstDelay{ 20 };
  Millis mGreatestDelay{ 1000 };
  /// A retry needs its predicted time times this as allowance.
  double mPredictionShare = 0.7;

  auto operator==(const RetrySettings&) const -> bool = default;
};

/// Starts full.
struct RetryBudget
{
  double mCredit = 0;
  bool mIsStarted = false;

  auto operator==(const RetryBudget&) const -> bool = default;
};

/// Whether the failed attempt ran at the endpoint.
enum class AttemptOutcome : std::uint8_t
{
  /// Refused before running, or no byte was sent.
  NotRun,
  /// Broken after running began, or no answer.
  Unknown
};

enum class RetryReason : std::uint8_t
{
  Allowed,
  /// It may have run and may not run twice.
  NotIdempotent,
  TooManyAttempts,
  NoAllowance,
  BudgetUsedUp,
  /// No endpoint is left that was not tried.
  NoOtherEndpoint
};

/// Name for logs. Thread safe.
auto
ToText(RetryReason aReason) -> std::string_view;

struct RetryInput
{
  AttemptOutcome mOutcome = AttemptOutcome::Unknown;
  bool mIsIdempotent = true;
  /// Attempts made so far.
  std::int64_t mAttempts = 1;
  Micros mAllowanceLeft{ 0 };
  /// Of the next attempt.
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

/// Notes a first attempt, which earns a share of a retry. Not thread safe.
auto
RecordFirstAttempt(RetryBudget& aBudget, const RetrySettings& aSettings)
  -> void;

/// Takes from the budget when it allows the retry. The delay has full jitter.
/// Not thread safe.
auto
DecideRetry(const RetryInput& aInput,
            const RetrySettings& aSettings,
            RetryBudget& aBudget,
            std::mt19937_64& aRandom) -> RetryDecision;

} // namespace cuminslip
