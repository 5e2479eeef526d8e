#pragma once

#include "base/types/ids.h"
#include "placement/orderer.h"
#include "requests/types/frontsettings.h"
#include "requests/types/frontstatus.h"
#include "requests/types/ports.h"
#include "templates/types/template.h"
#include "wire/types/httpmessage.h"

#include <memory>
#include <string_view>
#include <vector>

/// State machine of the front task: passes callers' requests through the filter
/// chain, sends them to endpoints and delivers the answers. Not thread safe;
/// call all functions on the front task's thread.
namespace cuminslip::requests {

struct Front;
struct FrontDeleter
{
  auto operator()(Front* aFront) const -> void;
};
using FrontPtr = std::unique_ptr<Front, FrontDeleter>;

/// External dependencies of the front task.
struct FrontPorts
{
  NowFunction mNow;
  EndpointPort mEndpoints;
  ControlPort mControl;
  PeerPort mPeers;
  TimerPort mTimers;
  /// Acquires the lease of this failure domain's orderer.
  placement::AcquireFunction mAcquireOrderer;
  /// Returns the client account of a caller key, or no value if it is unknown.
  std::function<std::optional<AccountId>(std::string_view aKey)> mIdentify;
};

/// Creates a front without templates or endpoints. Random choices are
/// reproducible for a given aSeed.
auto
CreateFront(FrontSettings aSettings, FrontPorts aPorts, std::uint64_t aSeed)
  -> FrontPtr;

/// Accepts a caller's request. aCaller receives exactly one answer, possibly
/// before this function returns.
auto
HandleCallerRequest(Front& aFront,
                    const wire::HttpRequest& aRequest,
                    CallerPort aCaller) -> void;

/// Processes an endpoint's announcement and returns the response.
auto
HandleAnnouncement(Front& aFront, std::string_view aBody) -> wire::HttpResponse;

/// Processes a message that another instance sent through its PeerPort.
auto
HandlePeerMessage(Front& aFront, std::string_view aBytes) -> void;

/// Announces to the other instances that this one is leaving. Call last.
auto
LeaveDomain(Front& aFront) -> void;

/// Activates templates. A template is ignored unless its revision is higher
/// than that of the account's active template.
auto
ApplyTemplates(Front& aFront, const std::vector<TemplateInForce>& aTemplates)
  -> void;

/// Advances the wait queue, endpoint health, leases and timeouts. Call every
/// kFrontTick.
auto
TickFront(Front& aFront) -> void;

/// Starts the shutdown: from now on new requests are refused and this instance
/// sends no placement orders.
auto
BeginStop(Front& aFront) -> void;

/// Fails all unfinished requests and cancels them at the endpoints.
auto
AbandonRequests(Front& aFront) -> void;

/// True if there are no open requests and no unconfirmed cancels.
auto
IsIdle(const Front& aFront) -> bool;

/// Sends no new work to an endpoint until it restarts. Returns false if the
/// endpoint is unknown.
auto
DrainEndpoint(Front& aFront, const EndpointId& aEndpoint) -> bool;

/// Returns the placement controller's planned orders with the reasons that
/// block them. Empty on instances that are not candidates for the orderer's
/// lease.
auto
GetPlannedOrders(const Front& aFront)
  -> const std::vector<placement::PlannedOrder>&;

/// Returns a snapshot of the current state for operators and metrics.
auto
GetFrontStatus(const Front& aFront) -> FrontStatus;

} // namespace cuminslip::requests
