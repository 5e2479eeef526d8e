#include "policy/retries.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
StartBudget(RetryBudget& aBudget, const RetrySettings& aSettings) -> void
{
  if (!aBudget.mIsStarted) {
    aBudget = { aSettings.mGreatestBudget, true };
  }
}

auto
FindObstacle(const RetryInput& aInput, const RetrySettings& aSettings)
  -> RetryReason
{
  if (aInput.mOutcome == AttemptOutcome::Unknown && !aInput.mIsIdempotent) {
    return RetryReason::NotIdempotent;
  }
  if (aInput.mAttempts >= aSettings.mMaxAttempts) {
    return RetryReason::TooManyAttempts;
  }
  const auto needed = aInput.mPredictedTotal * aSettings.mPredictionShare;
  if (aInput.mAllowanceLeft <= Micros(0) || needed > aInput.mAllowanceLeft) {
    return RetryReason::NoAllowance;
  }
  return aInput.mHasOtherEndpoint ? RetryReason::Allowed
                                  : RetryReason::NoOtherEndpoint;
}

auto
DrawDelay(const RetryInput& aInput,
          const RetrySettings& aSettings,
          std::mt19937_64& aRandom) -> Millis
{
  constexpr auto kMostDoublings = std::int64_t{ 20 };
  const auto doublings =
    std::clamp<std::int64_t>(aInput.mAttempts - 1, 0, kMostDoublings);
  const auto factor = std::int64_t{ 1 } << doublings;
  const auto limit = std::min(aSettings.mGreatestDelay,
                              Millis(aSettings.mFirstDelay.count() * factor));
  const auto delay = std::uniform_int_distribution<std::int64_t>(
    0, std::max<std::int64_t>(0, limit.count()))(aRandom);
  const auto spare = std::chrono::duration_cast<Millis>(
    aInput.mAllowanceLeft -
    std::min(aInput.mAllowanceLeft, aInput.mPredictedTotal));
  return std::min(Millis(delay), spare);
}

} // namespace

auto
ToText(RetryReason aReason) -> std::string_view
{
  switch (aReason) {
    case RetryReason::Allowed:
      return "allowed";
    case RetryReason::NotIdempotent:
      return "not_idempotent";
    case RetryReason::TooManyAttempts:
      return "too_many_attempts";
    case RetryReason::NoAllowance:
      return "no_allowance";
    case RetryReason::BudgetUsedUp:
      return "budget_used_up";
    case RetryReason::NoOtherEndpoint:
      return "no_other_endpoint";
  }
  return "unknown";
}

auto
RecordFirstAttempt(RetryBudget& aBudget, const RetrySettings& aSettings) -> void
{
  StartBudget(aBudget, aSettings);
  aBudget.mCredit = std::min(aSettings.mGreatestBudget,
                             aBudget.mCredit + aSettings.mBudgetShare);
}

auto
DecideRetry(const RetryInput& aInput,
            const RetrySettings& aSettings,
            RetryBudget& aBudget,
            std::mt19937_64& aRandom) -> RetryDecision
{
  StartBudget(aBudget, aSettings);
  const auto obstacle = FindObstacle(aInput, aSettings);
  if (obstacle != RetryReason::Allowed) {
    return { obstacle, Millis(0) };
  }
  if (aBudget.mCredit < 1) {
    return { RetryReason::BudgetUsedUp, Millis(0) };
  }
  aBudget.mCredit -= 1;
  return { RetryReason::Allowed, DrawDelay(aInput, aSettings, aRandom) };
}

} // namespace cuminslip
