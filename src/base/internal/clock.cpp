#include "base/clock.h"

#include <ctime>

namespace cuminslip {

auto
MonotonicNow() -> TimePoint
{
  // NOTE: the steady clock stands still while the machine is suspended; a lease
  // that ran out meanwhile must not look valid afterwards.
  auto now = timespec{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(
    Seconds(now.tv_sec) +
    std::chrono::duration_cast<Micros>(std::chrono::nanoseconds(now.tv_nsec)));
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
