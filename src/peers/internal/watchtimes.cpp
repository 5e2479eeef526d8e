#include "peers/types/watchtimes.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// A connection that has gone silent is found out after this long: a watch and
/// a second for the way and a busy source.
constexpr auto kWatchLimit = Millis(2500);
/// Doubles three times.
constexpr auto kFailurePause = Millis(250);
constexpr auto kMaxDoublings = 3;
/// The first response is not waited for by the source. Doubles, as a large
/// document takes longer.
constexpr auto kFirstLimit = Millis(400);
constexpr auto kFirstPause = Millis(100);
/// Attempts before a source that was never reached counts as one that failed.
constexpr auto kFirstAttempts = 10;

} // namespace

auto
WatchTimesAfter(int aFailures, bool aWasReached) -> WatchTimes
{
  const auto doublings = std::min(aFailures, kMaxDoublings);
  if (aWasReached || aFailures >= kFirstAttempts) {
    return { kWatchLimit, kFailurePause * (1 << doublings) };
  }
  return { std::min(kFirstLimit * (1 << doublings), kWatchLimit), kFirstPause };
}

} // namespace cuminslip
