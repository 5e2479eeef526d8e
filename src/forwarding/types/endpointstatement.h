#pragma once

#include "base/clock.h"

#include <optional>

namespace cuminslip::forwarding {

/// What an answer states about the endpoint that gave it, apart from the
/// request.
struct EndpointStatement
{
  /// Requests per second that the endpoint accepts from all instances
  /// together; not negative. Empty if it states no limit.
  std::optional<double> mRequestRate;
  /// The endpoint is about to leave and accepts no new requests.
  bool mIsLeaving = false;
  /// The endpoint turned the request away and wants no other one from this
  /// instance for this time.
  std::optional<Millis> mPause;
  /// Time for which the endpoint stays cold, 0 if it is warm.
  std::optional<Millis> mWarmUpTime;
  /// The answer has a statement that can't be read. It says nothing, not even
  /// that there is no limit. The other statements hold.
  bool mIsMalformed = false;

  auto operator==(const EndpointStatement&) const -> bool = default;
};

} // namespace cuminslip::forwarding
