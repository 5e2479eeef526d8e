#pragma once

#include "settings/types/settings.h"
#include "wire/httpserver.h"

#include <optional>

namespace cuminslip::gateway {

/// Connections that are open when a stop ends are closed after this time, in
/// which requests that were on their way are refused: longer than a request
/// takes to follow the opening of its connection.
inline constexpr auto kClosingTime = Millis(250);

/// What listeners of one process do not have in common, and what they share.
struct ListenerOptions
{
  /// For receiving a request, between requests, and for an unread answer.
  Millis mRequestTimeout{ 10000 };
  wire::ServerBudgetPtr mBudget = nullptr;
  wire::RefusalWriter mWriteRefusal = nullptr;
};

/// Starts an HTTP server with the limits of the settings. Returns null when
/// there is no address. Fails with Findings. Owner thread of the loop only.
auto
StartListener(wire::EventLoop& aLoop,
              const std::optional<wire::SocketAddress>& aAddress,
              const InstanceLimits& aLimits,
              ListenerOptions aOptions,
              wire::RequestHandler aHandler)
  -> leaf::result<wire::HttpServerPtr>;

/// Returns a handler that refuses requests with 503 while aIsClosed is set, and
/// passes others to aHandler. Precondition: aIsClosed outlives the handler.
/// Owner thread of the loop only.
auto
RefuseWhenClosed(const bool& aIsClosed, wire::RequestHandler aHandler)
  -> wire::RequestHandler;

} // namespace cuminslip::gateway
