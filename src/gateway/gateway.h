#pragma once

#include "gateway/types/adapter.h"
#include "settings/types/settings.h"

#include <memory>
#include <string>

/// An instance that passes callers' requests on by routes: the front task with
/// its listeners and the peer task, wired to an adapter. One binary and one
/// control log with the other interfaces.
namespace cuminslip::gateway {

struct Gateway;
struct GatewayDeleter
{
  auto operator()(Gateway* aGateway) const -> void;
};
using GatewayPtr = std::unique_ptr<Gateway, GatewayDeleter>;

/// Starts the tasks and listeners. Fails with Findings.
auto
StartGateway(Settings aSettings, Adapter aAdapter) -> leaf::result<GatewayPtr>;

/// Runs the front task until a stop has ended. Owner thread only.
auto
RunGateway(Gateway& aGateway) -> void;

/// Begins a graceful stop: the platform is told to send no more callers, and
/// what comes all the same is still served, each answer closing its connection.
/// A second call has no effect. Thread safe.
auto
StopGateway(Gateway& aGateway) -> void;

/// Reads the settings file again and takes over what may change while the
/// instance runs. Thread safe.
auto
ReloadGateway(Gateway& aGateway, const std::string& aPath) -> void;

} // namespace cuminslip::gateway
