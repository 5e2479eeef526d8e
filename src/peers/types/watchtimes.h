#pragma once

#include "base/clock.h"

namespace cuminslip {

/// Times of one attempt to watch a control instance.
struct WatchTimes
{
  /// The attempt has failed after this long without a response.
  Millis mLimit{ 0 };
  /// Pause before the next attempt if this one fails.
  Millis mPause{ 0 };

  auto operator==(const WatchTimes&) const -> bool = default;
};

/// Returns the times after aFailures failed attempts in a row. aWasReached is
/// true if the control instance has answered since the start of this one.
/// Answers the load after a loss of power: instances start within half a second
/// of each other, a machine without power drops what opens a connection, which
/// is sent again only after a second, and callers wait meanwhile. Pure; thread
/// safe.
auto
WatchTimesAfter(int aFailures, bool aWasReached) -> WatchTimes;

} // namespace cuminslip
