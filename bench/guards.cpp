#include "bench/guards.h"

#include <algorithm>

namespace cuminslip::bench {

namespace {

auto
UpdateBreaker(const GuardSettings& aSettings,
              EndpointGuard& aGuard,
              TimePoint aNow) -> void
{
  auto& samples = aGuard.mSamples;
  while (!samples.empty() &&
         samples.front().mAt + aSettings.mBreakerMaxAge < aNow) {
    samples.pop_front();
  }
  if (aGuard.mBreaker == BreakerState::Open && aNow >= aGuard.mNextHalfOpen) {
    aGuard.mBreaker = BreakerState::HalfOpen;
  }
  if (aGuard.mBreaker != BreakerState::Closed ||
      samples.size() < aSettings.mBreakerLeastSamples) {
    return;
  }
  const auto failed =
    std::count_if(samples.begin(), samples.end(), [](const auto& aSample) {
      return aSample.mHasFailed;
    });
  if (static_cast<double>(failed) >=
      aSettings.mBreakerShare * static_cast<double>(samples.size())) {
    aGuard.mBreaker = BreakerState::Open;
    aGuard.mNextHalfOpen = aNow + aSettings.mBreakerInterval;
  }
}

auto
EndBreakerCall(const GuardSettings& aSettings,
               EndpointGuard& aGuard,
               bool aHasFailed,
               bool aWasTrial,
               TimePoint aNow) -> void
{
  aGuard.mSamples.push_back({ aNow, aHasFailed });
  if (aWasTrial) {
    aGuard.mIsSampleRunning = false;
    aGuard.mBreaker = aHasFailed ? BreakerState::Open : BreakerState::Closed;
    aGuard.mNextHalfOpen = aNow + aSettings.mBreakerInterval;
    aGuard.mSamples.clear();
  }
  UpdateBreaker(aSettings, aGuard, aNow);
}

auto
EndLimitedCall(EndpointGuard& aGuard, bool aHasFailed, Micros aDuration) -> void
{
  constexpr auto kLateFactor = 3;
  const auto isFirst = aGuard.mFastest == Micros(0);
  if (!aHasFailed) {
    aGuard.mFastest =
      isFirst ? aDuration : std::min(aGuard.mFastest, aDuration);
  }
  const auto isLate = !isFirst && aDuration > aGuard.mFastest * kLateFactor;
  aGuard.mLimit = aHasFailed || isLate ? std::max(1.0, aGuard.mLimit / 2)
                                       : aGuard.mLimit + 1 / aGuard.mLimit;
}

} // namespace

auto
CreateGuard(const GuardSettings& aSettings,
            std::size_t aEndpoints,
            std::uint64_t aSeed) -> Guard
{
  auto guard = Guard{};
  guard.mSettings = aSettings;
  guard.mEndpoints.resize(aEndpoints);
  guard.mHealth.resize(aEndpoints);
  guard.mRandom.seed(aSeed);
  for (auto i = std::size_t{ 0 }; i < aEndpoints; ++i) {
    guard.mEndpoints[i].mLimit = aSettings.mLimitStart;
    guard.mHealth[i].mId = { std::to_string(i) };
  }
  return guard;
}

auto
MayCallEndpoint(Guard& aGuard, std::size_t aEndpoint, TimePoint aNow) -> bool
{
  auto& endpoint = aGuard.mEndpoints[aEndpoint];
  switch (aGuard.mSettings.mKind) {
    case GuardKind::None:
      return true;
    case GuardKind::CircuitBreaker:
      UpdateBreaker(aGuard.mSettings, endpoint, aNow);
      return endpoint.mBreaker == BreakerState::Closed ||
             (endpoint.mBreaker == BreakerState::HalfOpen &&
              !endpoint.mIsSampleRunning);
    case GuardKind::ConcurrencyLimit:
      return endpoint.mRunning < std::max(1.0, endpoint.mLimit);
    case GuardKind::OutlierEjection:
      if (aGuard.mHealth[aEndpoint].mState != HealthState::InUse) {
        UpdateHealth(
          aGuard.mHealth, aGuard.mSettings.mHealth, aNow, aGuard.mRandom);
      }
      return MayCall(aGuard.mHealth[aEndpoint]);
  }
  return true;
}

auto
BeginGuardedCall(Guard& aGuard, std::size_t aEndpoint) -> bool
{
  auto& endpoint = aGuard.mEndpoints[aEndpoint];
  endpoint.mRunning += 1;
  if (aGuard.mSettings.mKind == GuardKind::OutlierEjection) {
    return BeginCall(aGuard.mHealth[aEndpoint]);
  }
  const auto isTrial = endpoint.mBreaker == BreakerState::HalfOpen;
  endpoint.mIsSampleRunning = endpoint.mIsSampleRunning || isTrial;
  return isTrial;
}

auto
EndGuardedCall(Guard& aGuard,
               std::size_t aEndpoint,
               bool aHasFailed,
               bool aWasTrial,
               Micros aDuration,
               TimePoint aNow) -> void
{
  auto& endpoint = aGuard.mEndpoints[aEndpoint];
  endpoint.mRunning -= 1;
  switch (aGuard.mSettings.mKind) {
    case GuardKind::None:
      return;
    case GuardKind::CircuitBreaker:
      EndBreakerCall(aGuard.mSettings, endpoint, aHasFailed, aWasTrial, aNow);
      return;
    case GuardKind::ConcurrencyLimit:
      EndLimitedCall(endpoint, aHasFailed, aDuration);
      return;
    case GuardKind::OutlierEjection:
      RecordCall(aGuard.mHealth[aEndpoint],
                 aHasFailed ? CallOutcome::Failed : CallOutcome::Succeeded,
                 aWasTrial,
                 aGuard.mSettings.mHealth);
      UpdateHealth(
        aGuard.mHealth, aGuard.mSettings.mHealth, aNow, aGuard.mRandom);
      return;
  }
}

} // namespace cuminslip::bench
