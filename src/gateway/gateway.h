#pragma once

#include "gateway/types/adapter.h"
#include "settings/types/settings.h"

#include <memory>
#include <string>

/// An instance that forwards callers' requests by the routes of the routing
/// document. Connects the front task with its listeners, the peer task and an
/// adapter. Uses the same binary and control log as the other interfaces.
namespace cuminslip::gateway {

struct Gateway;
struct GatewayDeleter
{
  auto operator()(Gateway* aGateway) const -> void;
};
using GatewayPtr = std::unique_ptr<Gateway, GatewayDeleter>;

/// Starts the tasks and listeners. Fails with Findings. The calling thread is
/// the owner: it must also run and destroy the gateway, since h2o keeps
/// thread-local buffer memory.
auto
StartGateway(Settings aSettings, Adapter aAdapter) -> leaf::result<GatewayPtr>;

/// Runs the front task until a stop has completed. Owner thread only.
auto
RunGateway(Gateway& aGateway) -> void;

/// Begins a graceful stop: the readiness probe fails, so that the platform
/// sends no more callers. Requests that still arrive are served, and each
/// answer closes its connection. A second call has no effect. Thread safe.
auto
StopGateway(Gateway& aGateway) -> void;

/// Reloads the settings file and adds its discovery seeds, the only settings
/// that may change at run time. A file that is unreadable or invalid is logged
/// and changes nothing. Thread safe.
auto
ReloadGateway(Gateway& aGateway, const std::string& aPath) -> void;

} // namespace cuminslip::gateway
