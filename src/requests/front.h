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

/// The front task's state machine: takes callers' requests through the filter
/// chain, sends them to endpoints and delivers the answers. All functions are
/// for the front task's thread.
namespace cuminslip::requests {

struct Front;
struct FrontDeleter
{
  auto operator()(Front* aFront) const -> void;
};
using FrontPtr = std::unique_ptr<Front, FrontDeleter>;

/// Everything that the front task needs from outside.
struct FrontPorts
{
  NowFunction mNow;
  EndpointPort mEndpoints;
  ControlPort mControl;
  PeerPort mPeers;
  TimerPort mTimers;
  /// Acquires the lease of this failure domain's orderer.
  placement::AcquireFunction mAcquireOrderer;
  /// The client account of a caller key; none when the key is unknown.
  std::function<std::optional<AccountId>(std::string_view aKey)> mIdentify;
};

/// Creates a front without templates or endpoints. aSeed makes its random
/// choices repeatable.
auto
CreateFront(FrontSettings aSettings, FrontPorts aPorts, std::uint64_t aSeed)
  -> FrontPtr;

/// Takes a caller's request; exactly one answer goes to aCaller, now or later.
auto
HandleCallerRequest(Front& aFront,
                    const wire::HttpRequest& aRequest,
                    CallerPort aCaller) -> void;

/// Takes an endpoint's announcement and returns the answer to it.
auto
HandleAnnouncement(Front& aFront, std::string_view aBody) -> wire::HttpResponse;

/// Takes a message that another instance sent through its PeerPort.
auto
HandlePeerMessage(Front& aFront, std::string_view aBytes) -> void;

/// Tells the other instances that this one has ended: the last step.
auto
LeaveDomain(Front& aFront) -> void;

/// Puts templates in force. One with a lower revision than is held for its
/// account is ignored.
auto
ApplyTemplates(Front& aFront, const std::vector<TemplateInForce>& aTemplates)
  -> void;

/// Advances waiting, retrying and suspicion; call every kFrontTick.
auto
TickFront(Front& aFront) -> void;

/// Refuses new requests from now on.
auto
BeginStop(Front& aFront) -> void;

/// Fails everything that has not finished and cancels it at the endpoints.
auto
AbandonRequests(Front& aFront) -> void;

/// True when no request and no cancel is open.
auto
IsIdle(const Front& aFront) -> bool;

/// Stops giving new work to an endpoint until it restarts. False when it is
/// not known.
auto
DrainEndpoint(Front& aFront, const EndpointId& aEndpoint) -> bool;

/// Orders that the placement controller would give, with what blocks them.
/// Empty on instances that are no candidates for the orderer's lease.
auto
GetPlannedOrders(const Front& aFront)
  -> const std::vector<placement::PlannedOrder>&;

/// What operators and metrics are told.
auto
GetFrontStatus(const Front& aFront) -> FrontStatus;

} // namespace cuminslip::requests
