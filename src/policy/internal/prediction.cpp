#include "policy/prediction.h"

#include <algorithm>

namespace cuminslip {

namespace {

constexpr double kMicrosPerSecond = 1e6;
constexpr double kSlownessGain = 0.2;
/// If the measured and the predicted time are both shorter, their ratio says
/// nothing about the engine. A shorter predicted time is raised to this.
constexpr Micros kLeastComparableTime{ 2000 };

auto
ToMicros(double aSeconds) -> Micros
{
  return Micros(static_cast<std::int64_t>(aSeconds * kMicrosPerSecond));
}

auto
RateOr(double aReported, double aDefault) -> double
{
  return aReported > 0 ? aReported : aDefault;
}

auto
SlotWaitSeconds(const EndpointView& aEndpoint, double aAnswerSeconds) -> double
{
  const auto& load = aEndpoint.mLoad;
  const auto slots = std::max<std::int64_t>(1, load.mBatchSlots);
  const auto streams =
    load.mRunningStreams + load.mWaitingStreams + aEndpoint.mSent.mStreams;
  const auto ahead = std::max<std::int64_t>(0, streams - slots + 1);
  return static_cast<double>(ahead) / static_cast<double>(slots) *
         aAnswerSeconds;
}

} // namespace

auto
FirstTokenTime(const PredictedTimes& aTimes) -> Micros
{
  return aTimes.mQueue + aTimes.mPrefill;
}

auto
TotalTime(const PredictedTimes& aTimes) -> Micros
{
  return aTimes.mQueue + aTimes.mPrefill + aTimes.mDecode;
}

auto
EstimateQueuedTokens(const EndpointView& aEndpoint,
                     const PredictionSettings& aSettings) -> std::int64_t
{
  const auto rate = RateOr(aEndpoint.mLoad.mPrefillTokensPerSecond,
                           aSettings.mDefaultPrefillTokensPerSecond);
  const auto age = std::chrono::duration<double>(aEndpoint.mReportAge).count();
  const auto read = static_cast<std::int64_t>(rate * std::max(0.0, age));
  const auto queued =
    aEndpoint.mLoad.mQueuedPrefillTokens + aEndpoint.mSent.mPrefillTokens;
  return std::max<std::int64_t>(0, queued - read);
}

auto
EstimateFreeKvTokens(const EndpointView& aEndpoint) -> std::int64_t
{
  return std::max<std::int64_t>(
    0, aEndpoint.mLoad.mFreeKvTokens - aEndpoint.mSent.mPrefillTokens);
}

auto
PredictTimes(const EndpointView& aEndpoint,
             const WorkSize& aWork,
             const PredictionSettings& aSettings) -> PredictedTimes
{
  const auto& load = aEndpoint.mLoad;
  const auto prefillRate = RateOr(load.mPrefillTokensPerSecond,
                                  aSettings.mDefaultPrefillTokensPerSecond);
  const auto decodeRate = RateOr(load.mDecodeTokensPerSecond,
                                 aSettings.mDefaultDecodeTokensPerSecond);
  const auto slowness = std::clamp(aEndpoint.mHealth.mSlowness,
                                   aSettings.mLeastSlowness,
                                   aSettings.mGreatestSlowness);
  const auto share = aSettings.mQueueShares.at(
    static_cast<std::size_t>(std::clamp(aWork.mEnginePriority, 0, 2)));
  const auto queuedSeconds =
    static_cast<double>(EstimateQueuedTokens(aEndpoint, aSettings)) /
    prefillRate;
  const auto answerSeconds =
    static_cast<double>(aSettings.mTypicalAnswerTokens) / decodeRate;
  const auto unread =
    std::max<std::int64_t>(0, aWork.mPromptTokens - aWork.mCachedTokens);
  const auto waitSeconds =
    share * queuedSeconds + SlotWaitSeconds(aEndpoint, answerSeconds);
  return { ToMicros(slowness * waitSeconds),
           ToMicros(slowness * static_cast<double>(unread) / prefillRate),
           ToMicros(slowness * static_cast<double>(aWork.mMaxTokens) /
                    decodeRate),
           slowness };
}

auto
MeasureSlowness(Micros aMeasured,
                const PredictedTimes& aPredicted,
                const PredictionSettings& aSettings) -> std::optional<double>
{
  const auto predicted = FirstTokenTime(aPredicted);
  if (std::max(predicted, aMeasured) < kLeastComparableTime) {
    return std::nullopt;
  }
  const auto base = std::max(predicted, kLeastComparableTime);
  const auto ratio = aPredicted.mSlowness *
                     static_cast<double>(aMeasured.count()) /
                     static_cast<double>(base.count());
  return std::clamp(
    ratio, aSettings.mLeastSlowness, aSettings.mGreatestSlowness);
}

auto
LearnSlowness(CallHealth& aHealth,
              Micros aMeasured,
              const PredictedTimes& aPredicted,
              const PredictionSettings& aSettings) -> void
{
  const auto measured = MeasureSlowness(aMeasured, aPredicted, aSettings);
  if (measured) {
    aHealth.mSlowness += kSlownessGain * (*measured - aHealth.mSlowness);
  }
}

} // namespace cuminslip
