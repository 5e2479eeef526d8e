#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

/// Limits of the endpoint registry.
namespace cuminslip::endpoints {

struct RegistrySettings
{
  /// An endpoint that is silent for this long gets no work. The limit is
  /// mShareDelay plus mSilentIntervals announcement intervals, if longer.
  Millis mSilenceLimit{ 3000 };
  std::int64_t mSilentIntervals = 3;
  /// Time that an update may take to arrive through other instances; set by the
  /// membership from the number of instances.
  Millis mShareDelay{ 0 };
  /// Suspicion points that make an endpoint suspect.
  std::int64_t mSuspicionLimit = 3;
  /// Age, beyond mShareDelay, from which a load report adds one suspicion
  /// point.
  Millis mLaggingReport{ 3000 };
  /// Delay after the last failed call before a trial call; doubles with each
  /// failed trial up to mMaxRetryDelay.
  Millis mRetryDelay{ 2000 };
  Millis mMaxRetryDelay{ 30000 };
  /// Silence after which an endpoint is removed.
  Millis mForgetAfter{ 600000 };
  /// Pauses of this process longer than this are not counted as silence of the
  /// endpoints.
  Millis mOwnPauseLimit{ 1000 };
  std::size_t mMaxEndpoints = 1024;
  std::size_t mMaxCachedPrefixes = 2048;

  auto operator==(const RegistrySettings&) const -> bool = default;
};

} // namespace cuminslip::endpoints
