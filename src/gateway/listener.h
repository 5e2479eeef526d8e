#pragma once

#include "settings/types/settings.h"
#include "wire/httpserver.h"

#include <optional>

namespace cuminslip::gateway {

/// Starts an HTTP server with the limits of aSettings and the given timeout for
/// receiving a request and between requests. Returns null when there is no
/// address. While aIsClosed is set, requests are refused with 503.
/// Precondition: aIsClosed outlives the server. Fails with Findings. Owner
/// thread of the loop only.
auto
StartListener(wire::EventLoop& aLoop,
              const std::optional<wire::SocketAddress>& aAddress,
              const Settings& aSettings,
              Millis aRequestTimeout,
              const bool& aIsClosed,
              wire::RequestHandler aHandler)
  -> leaf::result<wire::HttpServerPtr>;

} // namespace cuminslip::gateway
