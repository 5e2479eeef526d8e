#pragma once

#include <optional>

namespace cuminslip::forwarding {

/// What an answer states about the endpoint that gave it, apart from the
/// request.
struct EndpointStatement
{
  /// Requests per second that the endpoint accepts from all instances
  /// together; not negative. Empty if it states no limit.
  std::optional<double> mRequestRate;
  /// The answer has a statement that can't be read. It says nothing, not even
  /// that there is no limit.
  bool mIsMalformed = false;

  auto operator==(const EndpointStatement&) const -> bool = default;
};

} // namespace cuminslip::forwarding
