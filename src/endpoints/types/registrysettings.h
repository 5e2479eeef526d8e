#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

/// Limits of the endpoint registry.
namespace cuminslip::endpoints {

struct RegistrySettings
{
  /// An endpoint that is silent for this long gets no work, or for
  /// mSilentIntervals of its own interval and mShareDelay, if that is longer.
  Millis mSilenceLimit{ 3000 };
  std::int64_t mSilentIntervals = 3;
  /// Time that news of an endpoint may take through other instances; set by
  /// the membership from the number of instances.
  Millis mShareDelay{ 0 };
  /// Signs of trouble that together make an endpoint suspect.
  std::int64_t mSuspicionLimit = 3;
  /// Age of a load report that counts as one sign of trouble.
  Millis mLaggingReport{ 3000 };
  /// Time after the last failed call until one more is tried; doubles with
  /// each failed trial up to mMaxRetryDelay.
  Millis mRetryDelay{ 2000 };
  Millis mMaxRetryDelay{ 30000 };
  /// Silence after which an endpoint is forgotten.
  Millis mForgetAfter{ 600000 };
  /// A pause of this process that is longer than this is not held against
  /// the endpoints.
  Millis mOwnPauseLimit{ 1000 };
  std::size_t mMaxEndpoints = 1024;
  std::size_t mMaxCachedPrefixes = 2048;

  auto operator==(const RegistrySettings&) const -> bool = default;
};

} // namespace cuminslip::endpoints
