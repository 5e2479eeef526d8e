#pragma once

#include "settings/types/settings.h"
#include "wire/httpserver.h"

#include <optional>

namespace cuminslip::gateway {

/// Listens with the limits of the settings and the given time for a request;
/// null when there is no address. While aIsClosed is set, requests are refused
/// with 503. Precondition: aIsClosed outlives the server. Owner thread of the
/// loop only.
auto
StartListener(wire::EventLoop& aLoop,
              const std::optional<wire::SocketAddress>& aAddress,
              const Settings& aSettings,
              Millis aRequestTimeout,
              const bool& aIsClosed,
              wire::RequestHandler aHandler)
  -> leaf::result<wire::HttpServerPtr>;

} // namespace cuminslip::gateway
