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

/// Admission control: decides on arrival whether a request can be answered
/// within its allowance.
namespace cuminslip {

struct AdmissionSettings
{
  /// A request is refused when its predicted time multiplied by this factor
  /// exceeds its allowance. Below 1 because predictions are inexact and a
  /// refusal is final.
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

/// Returns the name used in logs and in the error type. Thread safe.
auto
ToText(AdmissionReason aReason) -> std::string_view;

/// Requests queued at this instance now.
struct WaitFigures
{
  std::int64_t mRequests = 0;
  std::int64_t mBytes = 0;
  std::int64_t mAccountRequests = 0;
  std::int64_t mAccountBytes = 0;
  /// Predicted queueing time of this request.
  Micros mPredictedWait{ 0 };

  auto operator==(const WaitFigures&) const -> bool = default;
};

struct AdmissionInput
{
  const RequestFacts& mRequest;
  const AccountLimits& mLimits;
  /// Result of ChooseEndpoint for this request, made without sending it.
  const EndpointChoice& mChoice;
  WaitFigures mWait;
  std::int64_t mMaxRequests = 10000;
  std::int64_t mMaxBytes = std::int64_t{ 1024 } * 1024 * 1024;
  double mOverloadLevel = 0;
  /// The account has recently used more than its fair share.
  bool mIsOverShare = false;
  bool mIsStopping = false;
  TimePoint mNow;
};

struct AdmissionDecision
{
  AdmissionReason mReason = AdmissionReason::Admitted;
  /// When the caller may try again; empty if a retry cannot help.
  std::optional<Millis> mRetryAfter;
  PredictedTimes mPredicted;
  Micros mPredictedTotal{ 0 };
  Micros mAllowance{ 0 };

  auto operator==(const AdmissionDecision&) const -> bool = default;
};

/// Returns true if the request was admitted. Thread safe.
auto
IsAdmitted(const AdmissionDecision& aDecision) -> bool;

/// Decides on admission and, if the request is admitted, takes its tokens from
/// aBucket. If the request does not run after all, return them with
/// ChargeTokens. Not thread safe.
auto
DecideAdmission(const AdmissionInput& aInput,
                const AdmissionSettings& aSettings,
                TokenBucket& aBucket,
                std::mt19937_64& aRandom) -> AdmissionDecision;

/// Returns the number of tokens that a request is charged for.
auto
ChargedTokens(const RequestFacts& aRequest) -> std::int64_t;

} // namespace cuminslip
