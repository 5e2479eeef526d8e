#pragma once

#include "policy/endpointhealth.h"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

/// Ways of keeping calls from endpoints that fail, as one instance does it.
namespace cuminslip::bench {

enum class GuardKind : std::uint8_t
{
  None,
  /// Open above a share of failures, half-open at intervals, one sample call.
  CircuitBreaker,
  /// Running calls at most a limit that grows by one a round of successes and
  /// halves at failures and late answers.
  ConcurrencyLimit,
  OutlierEjection
};

struct GuardSettings
{
  GuardKind mKind = GuardKind::None;
  double mBreakerShare = 0.8;
  std::size_t mBreakerLeastSamples = 100;
  Micros mBreakerMaxAge{ Seconds(300) };
  Micros mBreakerInterval{ Seconds(120) };
  double mLimitStart = 20;
  HealthSettings mHealth;
};

enum class BreakerState : std::uint8_t
{
  Closed,
  Open,
  HalfOpen
};

struct BreakerSample
{
  TimePoint mAt;
  bool mHasFailed = false;
};

struct EndpointGuard
{
  BreakerState mBreaker = BreakerState::Closed;
  std::deque<BreakerSample> mSamples;
  TimePoint mNextHalfOpen;
  bool mIsSampleRunning = false;
  double mLimit = 0;
  double mRunning = 0;
  Micros mFastest{ 0 };
};

/// The guards of one instance.
struct Guard
{
  GuardSettings mSettings;
  std::vector<EndpointGuard> mEndpoints;
  std::vector<EndpointHealth> mHealth;
  std::mt19937_64 mRandom;
};

auto
CreateGuard(const GuardSettings& aSettings,
            std::size_t aEndpoints,
            std::uint64_t aSeed) -> Guard;

/// Whether a call may go to the endpoint now.
auto
MayCallEndpoint(Guard& aGuard, std::size_t aEndpoint, TimePoint aNow) -> bool;

/// Notes the begin of a call; the result goes to EndGuardedCall.
auto
BeginGuardedCall(Guard& aGuard, std::size_t aEndpoint) -> bool;

auto
EndGuardedCall(Guard& aGuard,
               std::size_t aEndpoint,
               bool aHasFailed,
               bool aWasTrial,
               Micros aDuration,
               TimePoint aNow) -> void;

} // namespace cuminslip::bench
