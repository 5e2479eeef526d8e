#include "endpoints/internal/suspicion.h"

#include <algorithm>

namespace cuminslip::endpoints {

namespace {

constexpr double kFailureSmoothing = 0.1;
/// Most signs that missed announcements alone can add.
constexpr std::int64_t kMaxMissedAnnouncementPoints = 2;

/// Announcements overdue, not counting the first: one lost is no sign.
auto
MissedAnnouncementPoints(Millis aSilence, Millis aInterval) -> std::int64_t
{
  const auto missed =
    aSilence.count() / std::max<std::int64_t>(aInterval.count(), 1);
  return std::clamp<std::int64_t>(missed - 1, 0, kMaxMissedAnnouncementPoints);
}

/// Failed calls; once the retry delay is over one more call is allowed.
auto
FailurePoints(const RegistrySettings& aSettings,
              const CallRecord& aCalls,
              TimePoint aNow) -> std::int64_t
{
  const auto failures = aCalls.mHealth.mConsecutiveFailures;
  const auto waitsSince = aCalls.mTrialSentAt.value_or(aCalls.mLastFailure);
  if (failures == 0 || MillisBetween(waitsSince, aNow) < aCalls.mRetryDelay) {
    return failures;
  }
  return std::min(failures, aSettings.mSuspicionLimit - 1);
}

auto
ReportLagPoints(const RegistrySettings& aSettings, Millis aReportAge)
  -> std::int64_t
{
  return aReportAge >= aSettings.mLaggingReport + aSettings.mShareDelay ? 1 : 0;
}

} // namespace

auto
SilenceAt(const EndpointEntry& aEntry, TimePoint aNow) -> Millis
{
  return std::max(Millis(0), MillisBetween(aEntry.mHeardAt, aNow));
}

auto
ReportAgeAt(const EndpointEntry& aEntry, TimePoint aNow) -> Millis
{
  return std::max(Millis(0), MillisBetween(aEntry.mLoadTakenAt, aNow));
}

auto
RecordSend(const RegistrySettings& aSettings,
           CallRecord& aCalls,
           TimePoint aNow) -> void
{
  if (aCalls.mHealth.mConsecutiveFailures >= aSettings.mSuspicionLimit) {
    aCalls.mTrialSentAt = aNow;
  }
}

auto
RecordCall(const RegistrySettings& aSettings,
           CallRecord& aCalls,
           CallResult aResult,
           TimePoint aNow) -> void
{
  const auto isFailure = aResult == CallResult::Failed;
  auto& health = aCalls.mHealth;
  health.mFailureShare +=
    kFailureSmoothing * ((isFailure ? 1.0 : 0.0) - health.mFailureShare);
  const auto wasTrial = aCalls.mTrialSentAt.has_value();
  aCalls.mTrialSentAt.reset();
  if (!isFailure) {
    health.mConsecutiveFailures = 0;
    aCalls.mRetryDelay = Millis(0);
    return;
  }
  ++health.mConsecutiveFailures;
  if (wasTrial) {
    aCalls.mRetryDelay =
      std::min(2 * aCalls.mRetryDelay, aSettings.mMaxRetryDelay);
  }
  aCalls.mRetryDelay = std::max(aCalls.mRetryDelay, aSettings.mRetryDelay);
  aCalls.mLastFailure = aNow;
}

auto
ExplainSuspicion(const RegistrySettings& aSettings,
                 const EndpointEntry& aEntry,
                 TimePoint aNow) -> std::string
{
  if (aEntry.mIsDisplaced) {
    return "another endpoint announces the same address";
  }
  const auto silence = SilenceAt(aEntry, aNow);
  const auto interval = aEntry.mLatest.mInterval;
  const auto limit =
    std::max(aSettings.mSilenceLimit,
             aSettings.mShareDelay + aSettings.mSilentIntervals * interval);
  if (silence >= limit) {
    return "silent for " + std::to_string(silence.count()) + " ms";
  }
  const auto missed =
    MissedAnnouncementPoints(silence - aSettings.mShareDelay, interval);
  const auto failed = FailurePoints(aSettings, aEntry.mCalls, aNow);
  const auto lagging = ReportLagPoints(aSettings, ReportAgeAt(aEntry, aNow));
  if (missed + failed + lagging < aSettings.mSuspicionLimit) {
    return {};
  }
  return "missed announcements " + std::to_string(missed) + ", failed calls " +
         std::to_string(failed) + ", lagging reports " +
         std::to_string(lagging);
}

} // namespace cuminslip::endpoints
