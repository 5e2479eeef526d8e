#pragma once

#include "base/clock.h"

#include <functional>
#include <optional>
#include <string>

/// Calls to endpoints, as controllers ask for them.
namespace cuminslip::endpoints {

struct EndpointCall
{
  /// "IP:PORT".
  std::string mAddress;
  std::string mMethod = "POST";
  std::string mPath;
  std::string mBody;
  Millis mTimeout{ 2000 };

  auto operator==(const EndpointCall&) const -> bool = default;
};

/// A whole response.
struct EndpointAnswer
{
  int mStatus = 0;
  std::string mBody;

  auto operator==(const EndpointAnswer&) const -> bool = default;
};

/// Called exactly once with the answer, or without one when none came, or not
/// at all when the program ends; always on the caller's task.
using EndpointReply = std::function<void(const std::optional<EndpointAnswer>&)>;

/// Sends a call. The reply may come before the function returns.
using EndpointCaller = std::function<void(EndpointCall, EndpointReply)>;

} // namespace cuminslip::endpoints
