#pragma once

#include "settings/types/settings.h"
#include "wire/httpserver.h"

#include <optional>

namespace cuminslip::gateway {

/// Connections that are open when a stop ends are closed after this time, in
/// which requests that were on their way are refused: longer than a request
/// takes to follow the opening of its connection.
inline constexpr auto kClosingTime = Millis(250);

/// Starts an HTTP server with the limits of aSettings and the given timeout for
/// receiving a request and between requests. Returns null when there is no
/// address. Fails with Findings. Owner thread of the loop only.
auto
StartListener(wire::EventLoop& aLoop,
              const std::optional<wire::SocketAddress>& aAddress,
              const Settings& aSettings,
              Millis aRequestTimeout,
              wire::RequestHandler aHandler)
  -> leaf::result<wire::HttpServerPtr>;

/// Returns a handler that refuses requests with 503 while aIsClosed is set, and
/// passes others to aHandler. Precondition: aIsClosed outlives the handler.
/// Owner thread of the loop only.
auto
RefuseWhenClosed(const bool& aIsClosed, wire::RequestHandler aHandler)
  -> wire::RequestHandler;

} // namespace cuminslip::gateway
