#pragma once

#include "base/clock.h"
#include "templates/types/template.h"

#include <random>

/// Sheds work when waiting times stay high, and spreads the callers' return.
namespace cuminslip {

struct OverloadSettings
{
  /// The level rises while the oldest wait and even the shortest wait of the
  /// interval are above this.
  Millis mTargetWait{ 500 };
  Millis mInterval{ 1000 };
  double mRise = 0.1;
  /// Share of the level kept after an interval below the target.
  double mFallFactor = 0.8;
  double mFallStep = 0.02;

  auto operator==(const OverloadSettings&) const -> bool = default;
};

/// mLevel is 0 (normal) to 1 (only urgent work within its share is taken).
struct OverloadState
{
  double mLevel = 0;
  bool mHasWait = false;
  Micros mLeastWait{ 0 };
  TimePoint mIntervalStart;
  bool mIsStarted = false;

  auto operator==(const OverloadState&) const -> bool = default;
};

/// Notes the wait of a request that starts now (0 when it did not wait). Not
/// thread safe.
auto
RecordWait(OverloadState& aState, Micros aWait) -> void;

/// Call once an interval or oftener; aOldestWait as from OldestWait. The level
/// rises when requests wait too long now and none of the interval started
/// sooner. True when the level changed. Not thread safe.
auto
UpdateOverload(OverloadState& aState,
               const OverloadSettings& aSettings,
               Micros aOldestWait,
               TimePoint aNow) -> bool;

struct ShedClass
{
  Priority mPriority = Priority::Normal;
  bool mIsOverShare = false;
  bool mIsRetry = false;

  auto operator==(const ShedClass&) const -> bool = default;
};

/// Share of such work that is refused at a level: retries first, then work of
/// accounts above their share, then normal, then patient, last urgent. Patient
/// work can wait and is worth most, so it is refused late. Thread safe.
auto
ShedShare(const ShedClass& aClass, double aLevel) -> double;

/// Draws whether to refuse. Not thread safe in aRandom.
auto
IsShed(const ShedClass& aClass, double aLevel, std::mt19937_64& aRandom)
  -> bool;

/// A time between aBase and twice to eight times aBase, longer with the level,
/// so that refused callers don't return together. Not thread safe in aRandom.
auto
SpreadRetryAfter(Millis aBase,
                 double aLevel,
                 Millis aGreatest,
                 std::mt19937_64& aRandom) -> Millis;

} // namespace cuminslip
