#include "base/clock.h"

namespace cuminslip {

auto
MonotonicNow() -> TimePoint
{
  return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

auto
Advance(ManualClock& aClock, Micros aStep) -> void
{
  aClock.mNow += aStep;
}

auto
NowOf(const ManualClock& aClock) -> NowFunction
{
  return [&aClock] { return aClock.mNow; };
}

auto
MillisBetween(TimePoint aFrom, TimePoint aTo) -> Millis
{
  return std::chrono::duration_cast<Millis>(aTo - aFrom);
}

} // namespace cuminslip
