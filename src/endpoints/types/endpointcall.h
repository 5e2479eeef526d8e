#pragma once

#include "base/clock.h"

#include <functional>
#include <optional>
#include <string>

/// HTTP calls to endpoints, as requested by the controllers.
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

/// A complete response.
struct EndpointAnswer
{
  int mStatus = 0;
  std::string mBody;

  auto operator==(const EndpointAnswer&) const -> bool = default;
};

/// Called on the task that sent the call, with the response, or with no value
/// if none arrived. Called exactly once, except that a call may be dropped when
/// the program ends.
using EndpointReply = std::function<void(const std::optional<EndpointAnswer>&)>;

/// Sends a call. The reply may be called before the function returns.
using EndpointCaller = std::function<void(EndpointCall, EndpointReply)>;

} // namespace cuminslip::endpoints
