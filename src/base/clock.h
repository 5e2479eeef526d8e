#pragma once

#include <chrono>
#include <functional>

/// Monotonic time. Nothing in the product reads a wall clock for a decision.
namespace cuminslip {

using Micros = std::chrono::microseconds;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A point on this process's monotonic clock, in microseconds. Points of two
/// processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Micros>;

/// Source of the current time; injected so that tests drive it.
using NowFunction = std::function<TimePoint()>;

/// Reads the monotonic clock of the machine, which also counts the time for
/// which it is suspended. Thread safe.
auto
MonotonicNow() -> TimePoint;

/// A clock that moves only when told to. Not thread safe.
struct ManualClock
{
  TimePoint mNow{ Seconds(1000) };
};

/// Moves aClock forward. Precondition: aStep is not negative.
auto
Advance(ManualClock& aClock, Micros aStep) -> void;

/// Returns a source that reads aClock. Precondition: aClock outlives it.
auto
NowOf(const ManualClock& aClock) -> NowFunction;

/// Whole milliseconds from aFrom until aTo; negative when aTo is earlier.
auto
MillisBetween(TimePoint aFrom, TimePoint aTo) -> Millis;

} // namespace cuminslip
