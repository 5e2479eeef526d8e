#pragma once

#include "base/clock.h"
#include "policy/endpointchoice.h"
#include "policy/overload.h"
#include "policy/prediction.h"
#include "policy/tokenbucket.h"
#include "policy/types/requestfacts.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

/// Decides at once whether a request can be answered in its time.
namespace cuminslip {

struct AdmissionSettings
{
  /// A request is refused when its predicted time times this is more than its
  /// allowance; below 1, as predictions err and a refusal is final.
  double mPredictionShare = 0.7;
  Millis mLeastAllowance{ 5 };
  Millis mLeastRetryAfter{ 200 };
  Millis mGreatestRetryAfter{ 60000 };

  auto operator==(const AdmissionSettings&) const -> bool = default;
};

enum class AdmissionReason : std::uint8_t
{
  Admitted,
  AllowanceUsedUp,
  AccountTokensUsedUp,
  AccountQueueFull,
  QueueFull,
  PredictedTooLate,
  NonePermitted,
  TooLarge,
  Overloaded,
  Stopping
};

/// Name for logs and for the error type. Thread safe.
auto
ToText(AdmissionReason aReason) -> std::string_view;

/// What waits at this instance now.
struct WaitFigures
{
  std::int64_t mRequests = 0;
  std::int64_t mBytes = 0;
  std::int64_t mAccountRequests = 0;
  std::int64_t mAccountBytes = 0;
  /// Predicted wait of this request until it may start.
  Micros mPredictedWait{ 0 };

  auto operator==(const WaitFigures&) const -> bool = default;
};

struct AdmissionInput
{
  const RequestFacts& mRequest;
  const AccountLimits& mLimits;
  /// Of a trial choice for this request.
  const EndpointChoice& mChoice;
  WaitFigures mWait;
  std::int64_t mMaxRequests = 10000;
  std::int64_t mMaxBytes = std::int64_t{ 1024 } * 1024 * 1024;
  double mOverloadLevel = 0;
  /// The account already used more than its fair share of late.
  bool mIsOverShare = false;
  bool mIsStopping = false;
  TimePoint mNow;
};

struct AdmissionDecision
{
  AdmissionReason mReason = AdmissionReason::Admitted;
  /// When to try again; none where that can't help.
  std::optional<Millis> mRetryAfter;
  PredictedTimes mPredicted;
  Micros mPredictedTotal{ 0 };
  Micros mAllowance{ 0 };

  auto operator==(const AdmissionDecision&) const -> bool = default;
};

/// True when the request is taken. Thread safe.
auto
IsAdmitted(const AdmissionDecision& aDecision) -> bool;

/// Takes the request's tokens from aBucket when it admits. A request that then
/// does not run gives them back by ChargeTokens. Not thread safe.
auto
DecideAdmission(const AdmissionInput& aInput,
                const AdmissionSettings& aSettings,
                TokenBucket& aBucket,
                std::mt19937_64& aRandom) -> AdmissionDecision;

/// Tokens that a request is charged for.
auto
ChargedTokens(const RequestFacts& aRequest) -> std::int64_t;

} // namespace cuminslip
