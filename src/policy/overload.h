#pragma once

#include "base/clock.h"
#include "templates/types/template.h"

#include <random>

/// Load shedding: refuses work while queueing times stay high, and spreads the
/// retries of refused callers over time.
namespace cuminslip {

struct OverloadSettings
{
  /// The level rises while both the oldest current wait and the shortest wait
  /// of the interval exceed this.
  Millis mTargetWait{ 500 };
  Millis mInterval{ 1000 };
  double mRise = 0.1;
  /// Factor applied to the level after an interval below the target, before
  /// mFallStep is subtracted.
  double mFallFactor = 0.8;
  double mFallStep = 0.02;

  auto operator==(const OverloadSettings&) const -> bool = default;
};

/// mLevel ranges from 0 (normal) to 1 (only part of the urgent work of accounts
/// within their fair share is accepted).
struct OverloadState
{
  double mLevel = 0;
  bool mHasWait = false;
  Micros mLeastWait{ 0 };
  TimePoint mIntervalStart;
  bool mIsStarted = false;

  auto operator==(const OverloadState&) const -> bool = default;
};

/// Records the wait of a request that starts now (0 if it did not wait). Not
/// thread safe.
auto
RecordWait(OverloadState& aState, Micros aWait) -> void;

/// Updates the level; call at least once per interval. aOldestWait is the
/// result of OldestWait. The level rises if requests wait too long now and no
/// request of the interval started sooner. Returns true if the level changed.
/// Not thread safe.
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

/// Returns the fraction of such work to refuse at a level: retries are refused
/// first, then work of accounts above their fair share, then normal, patient
/// and finally urgent work. Patient work can wait and has the highest value, so
/// it is refused late. Thread safe.
auto
ShedShare(const ShedClass& aClass, double aLevel) -> double;

/// Decides at random, with the probability ShedShare, whether to refuse.
/// aRandom must not be shared between threads.
auto
IsShed(const ShedClass& aClass, double aLevel, std::mt19937_64& aRandom)
  -> bool;

/// Returns a random time of at least aBase, so that refused callers do not
/// return at the same time. The upper bound grows with the level from twice to
/// eight times aBase; the result is at most aGreatest. aRandom must not be
/// shared between threads.
auto
SpreadRetryAfter(Millis aBase,
                 double aLevel,
                 Millis aGreatest,
                 std::mt19937_64& aRandom) -> Millis;

} // namespace cuminslip
