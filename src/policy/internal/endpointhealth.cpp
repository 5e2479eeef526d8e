#include "policy/endpointhealth.h"

#include <algorithm>

namespace cuminslip {

namespace {

constexpr int kMostDoublings = 10;

auto
IsNotInUse(const EndpointHealth& aHealth) -> bool
{
  return aHealth.mState != HealthState::InUse;
}

auto
MedianFailureShare(std::span<const EndpointHealth> aGroup) -> double
{
  auto shares = std::vector<double>{};
  for (const auto& health : aGroup) {
    shares.push_back(health.mCalls.mFailureShare);
  }
  const auto middle =
    shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
  std::nth_element(shares.begin(), middle, shares.end());
  return *middle;
}

auto
IsFailing(const EndpointHealth& aHealth,
          double aMedian,
          const HealthSettings& aSettings) -> bool
{
  // NOTE: if the other endpoints of the group fail as well, the cause is
  // elsewhere, and ejecting endpoints would only make it worse.
  const auto share = aHealth.mCalls.mFailureShare;
  if (share < aMedian + aSettings.mShareAboveMedian) {
    return false;
  }
  return aHealth.mCalls.mConsecutiveFailures >= aSettings.mFailuresInRow ||
         (aHealth.mCallCount >= aSettings.mLeastCalls &&
          share >= aSettings.mFailureShare);
}

auto
DrawEjection(const EndpointHealth& aHealth,
             const HealthSettings& aSettings,
             std::mt19937_64& aRandom) -> Millis
{
  const auto doublings = static_cast<int>(
    std::min<std::int64_t>(aHealth.mEjections, kMostDoublings));
  const auto limit = std::min(aSettings.mGreatestEjection,
                              aSettings.mFirstEjection * (1 << doublings));
  // NOTE: the jitter prevents many instances from trying the endpoint at once.
  const auto factor = std::uniform_real_distribution<double>(0.5, 1.5)(aRandom);
  return std::chrono::duration_cast<Millis>(limit * factor);
}

auto
Eject(EndpointHealth& aHealth,
      const HealthSettings& aSettings,
      TimePoint aNow,
      std::mt19937_64& aRandom) -> HealthChange
{
  const auto duration = DrawEjection(aHealth, aSettings, aRandom);
  aHealth.mState = HealthState::Ejected;
  aHealth.mEjectedUntil = aNow + duration;
  aHealth.mEjections += 1;
  aHealth.mTrialsPassed = 0;
  return { aHealth.mId, HealthChangeKind::Ejected, duration, aHealth.mCalls };
}

auto
Return(EndpointHealth& aHealth) -> HealthChange
{
  aHealth.mState = HealthState::InUse;
  aHealth.mCalls.mConsecutiveFailures = 0;
  aHealth.mCalls.mFailureShare = 0;
  aHealth.mCallCount = 0;
  return { aHealth.mId, HealthChangeKind::Returned, Millis(0), aHealth.mCalls };
}

auto
UpdateNotInUse(EndpointHealth& aHealth,
               const HealthSettings& aSettings,
               TimePoint aNow,
               std::mt19937_64& aRandom,
               std::vector<HealthChange>& aChanges) -> void
{
  if (aHealth.mState == HealthState::Ejected) {
    if (aNow >= aHealth.mEjectedUntil) {
      aHealth.mState = HealthState::OnTrial;
      aHealth.mCalls.mConsecutiveFailures = 0;
      aChanges.push_back({ aHealth.mId,
                           HealthChangeKind::TrialBegan,
                           Millis(0),
                           aHealth.mCalls });
    }
    return;
  }
  if (aHealth.mCalls.mConsecutiveFailures > 0) {
    aChanges.push_back(Eject(aHealth, aSettings, aNow, aRandom));
  } else if (aHealth.mTrialsPassed >= aSettings.mTrials) {
    aChanges.push_back(Return(aHealth));
  }
}

/// Returns the failing endpoints in use, most consecutive failures first.
auto
FindFailing(std::span<EndpointHealth> aGroup, const HealthSettings& aSettings)
  -> std::vector<EndpointHealth*>
{
  const auto median = MedianFailureShare(aGroup);
  auto failing = std::vector<EndpointHealth*>{};
  for (auto& health : aGroup) {
    if (!IsNotInUse(health) && IsFailing(health, median, aSettings)) {
      failing.push_back(&health);
    }
  }
  std::stable_sort(
    failing.begin(), failing.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mCalls.mConsecutiveFailures >
             aRight->mCalls.mConsecutiveFailures;
    });
  return failing;
}

} // namespace

auto
ToText(HealthState aState) -> std::string_view
{
  switch (aState) {
    case HealthState::InUse:
      return "in_use";
    case HealthState::Ejected:
      return "ejected";
    case HealthState::OnTrial:
      return "on_trial";
  }
  return "unknown";
}

auto
ToText(HealthChangeKind aKind) -> std::string_view
{
  switch (aKind) {
    case HealthChangeKind::Ejected:
      return "ejected";
    case HealthChangeKind::TrialBegan:
      return "trial_began";
    case HealthChangeKind::Returned:
      return "returned";
    case HealthChangeKind::KeptByLimit:
      return "kept_by_limit";
  }
  return "unknown";
}

auto
BeginCall(EndpointHealth& aHealth) -> bool
{
  if (aHealth.mState != HealthState::OnTrial) {
    return false;
  }
  aHealth.mTrialsRunning += 1;
  return true;
}

auto
RecordCall(EndpointHealth& aHealth,
           CallOutcome aOutcome,
           bool aWasTrial,
           const HealthSettings& aSettings) -> void
{
  const auto failed =
    aOutcome == CallOutcome::Failed || aOutcome == CallOutcome::TimedOut;
  auto& calls = aHealth.mCalls;
  calls.mConsecutiveFailures = failed ? calls.mConsecutiveFailures + 1 : 0;
  calls.mFailureShare +=
    aSettings.mGain * ((failed ? 1.0 : 0.0) - calls.mFailureShare);
  aHealth.mCallCount += 1;
  if (aWasTrial) {
    aHealth.mTrialsRunning =
      std::max<std::int64_t>(0, aHealth.mTrialsRunning - 1);
    aHealth.mTrialsPassed += failed ? 0 : 1;
  }
  if (aHealth.mState == HealthState::InUse && !failed &&
      calls.mFailureShare < aSettings.mGain) {
    aHealth.mEjections = 0;
  }
}

auto
UpdateHealth(std::span<EndpointHealth> aGroup,
             const HealthSettings& aSettings,
             TimePoint aNow,
             std::mt19937_64& aRandom) -> std::vector<HealthChange>
{
  auto changes = std::vector<HealthChange>{};
  if (aGroup.empty()) {
    return changes;
  }
  auto out = std::size_t{ 0 };
  for (auto& health : aGroup) {
    if (IsNotInUse(health)) {
      UpdateNotInUse(health, aSettings, aNow, aRandom, changes);
    }
    out += IsNotInUse(health) ? 1U : 0U;
  }
  const auto limit = static_cast<std::size_t>(
    static_cast<double>(aGroup.size()) * aSettings.mMaxEjectedShare);
  for (auto* health : FindFailing(aGroup, aSettings)) {
    if (out >= limit) {
      changes.push_back({ health->mId,
                          HealthChangeKind::KeptByLimit,
                          Millis(0),
                          health->mCalls });
      continue;
    }
    changes.push_back(Eject(*health, aSettings, aNow, aRandom));
    ++out;
  }
  return changes;
}

auto
MayCall(const EndpointHealth& aHealth) -> bool
{
  switch (aHealth.mState) {
    case HealthState::InUse:
      return true;
    case HealthState::Ejected:
      return false;
    case HealthState::OnTrial:
      return aHealth.mTrialsRunning == 0;
  }
  return false;
}

auto
ResetIfRestarted(EndpointHealth& aHealth, Incarnation aIncarnation) -> void
{
  if (aIncarnation <= aHealth.mIncarnation) {
    return;
  }
  const auto isFirst = aHealth.mIncarnation == 0;
  const auto id = aHealth.mId;
  if (!isFirst) {
    aHealth = {};
    aHealth.mId = id;
  }
  aHealth.mIncarnation = aIncarnation;
}

auto
FirstDataTimeout(const PredictedTimes& aPredicted, Micros aAllowanceLeft)
  -> Micros
{
  constexpr auto kFactor = 3;
  constexpr auto kLeast = Micros(500000);
  const auto wanted = FirstTokenTime(aPredicted) * kFactor + kLeast;
  const auto spare = aAllowanceLeft - TotalTime(aPredicted);
  // NOTE: if no time is left for a second attempt, there is no reason to
  // abandon this one.
  return spare < wanted && spare > FirstTokenTime(aPredicted) + kLeast
           ? spare
           : std::min(wanted, std::max(Micros(0), aAllowanceLeft));
}

} // namespace cuminslip
