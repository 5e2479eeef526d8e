#include "policy/overload.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// The refused fraction of a class rises from 0 to 1 over this range of levels,
/// which starts at the class's band.
constexpr double kBandWidth = 0.25;
constexpr double kRetryBand = 0.0;
constexpr double kOverShareBand = 0.15;
constexpr double kNormalBand = 0.4;
constexpr double kPatientBand = 0.6;
constexpr double kUrgentBand = 0.9;
constexpr double kSpreadAtRest = 1.0;
constexpr double kSpreadByLevel = 6.0;

auto
BandOf(const ShedClass& aClass) -> double
{
  if (aClass.mIsRetry) {
    return kRetryBand;
  }
  if (aClass.mIsOverShare) {
    return kOverShareBand;
  }
  switch (aClass.mPriority) {
    case Priority::Urgent:
      return kUrgentBand;
    case Priority::Normal:
      return kNormalBand;
    case Priority::Patient:
      return kPatientBand;
  }
  return kNormalBand;
}

} // namespace

auto
RecordWait(OverloadState& aState, Micros aWait) -> void
{
  aState.mLeastWait =
    aState.mHasWait ? std::min(aState.mLeastWait, aWait) : aWait;
  aState.mHasWait = true;
}

auto
UpdateOverload(OverloadState& aState,
               const OverloadSettings& aSettings,
               Micros aOldestWait,
               TimePoint aNow) -> bool
{
  if (!aState.mIsStarted) {
    aState.mIsStarted = true;
    aState.mIntervalStart = aNow;
    return false;
  }
  if (aNow - aState.mIntervalStart < aSettings.mInterval) {
    return false;
  }
  const auto wait =
    aState.mHasWait ? std::min(aState.mLeastWait, aOldestWait) : aOldestWait;
  const auto before = aState.mLevel;
  const auto next = wait > aSettings.mTargetWait
                      ? before + aSettings.mRise
                      : before * aSettings.mFallFactor - aSettings.mFallStep;
  aState.mLevel = std::clamp(next, 0.0, 1.0);
  aState.mHasWait = false;
  aState.mLeastWait = Micros(0);
  aState.mIntervalStart = aNow;
  return aState.mLevel != before;
}

auto
ShedShare(const ShedClass& aClass, double aLevel) -> double
{
  return std::clamp((aLevel - BandOf(aClass)) / kBandWidth, 0.0, 1.0);
}

auto
IsShed(const ShedClass& aClass, double aLevel, std::mt19937_64& aRandom) -> bool
{
  const auto share = ShedShare(aClass, aLevel);
  if (share <= 0) {
    return false;
  }
  return std::uniform_real_distribution<double>(0.0, 1.0)(aRandom) < share;
}

auto
SpreadRetryAfter(Millis aBase,
                 double aLevel,
                 Millis aGreatest,
                 std::mt19937_64& aRandom) -> Millis
{
  const auto spread =
    kSpreadAtRest + kSpreadByLevel * std::clamp(aLevel, 0.0, 1.0);
  const auto factor =
    std::uniform_real_distribution<double>(1.0, 1.0 + spread)(aRandom);
  const auto hint = std::chrono::duration_cast<Millis>(aBase * factor);
  return std::clamp(hint, Millis(1), aGreatest);
}

} // namespace cuminslip
