#pragma once

#include "directory/types/endpointnotice.h"
#include "forwarding/types/forwardports.h"
#include "forwarding/types/forwardsettings.h"
#include "forwarding/types/forwardtimes.h"
#include "routing/routing.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Passes callers' requests on to the endpoints of the service that the routing
/// document names, and their answers back as they are. All functions are for
/// the front task.
namespace cuminslip::forwarding {

struct Forwarder;
struct ForwarderDeleter
{
  auto operator()(Forwarder* aForwarder) const -> void;
};
using ForwarderPtr = std::unique_ptr<Forwarder, ForwarderDeleter>;

/// Figures for metrics, since the start.
struct ForwardCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mDelivered = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mFailed = 0;
  std::uint64_t mCallersGone = 0;
  std::uint64_t mSends = 0;
  std::uint64_t mRepeats = 0;
  std::uint64_t mResumed = 0;

  auto operator==(const ForwardCounters&) const -> bool = default;
};

/// Destroying a forwarder abandons its requests.
auto
CreateForwarder(ForwardSettings aSettings,
                ForwardPorts aPorts,
                std::uint64_t aSeed) -> ForwarderPtr;

/// Puts a routing document in force for requests that come later. One with a
/// lower version than the present one is ignored.
auto
ApplyRouting(Forwarder& aForwarder,
             std::shared_ptr<const routing::RoutingTable> aTable) -> void;

/// Version of the routing document in force; 0 for none.
auto
RoutingVersion(const Forwarder& aForwarder) -> routing::Version;

auto
ApplyEndpoints(Forwarder& aForwarder, const directory::EndpointsUpdate& aUpdate)
  -> void;

/// A control instance is no longer reached.
auto
RemoveSource(Forwarder& aForwarder, const std::string& aSource) -> void;

/// Peer addresses of all entry instances; they share the retry budget and tell
/// each other their load.
auto
SetEntries(Forwarder& aForwarder, const std::vector<std::string>& aEntries)
  -> void;

/// Takes what another entry instance told of its load.
auto
HandleLoadNotice(Forwarder& aForwarder, std::string_view aBytes) -> void;

/// Takes a whole request; its caller gets exactly one final answer.
auto
HandleRequest(Forwarder& aForwarder,
              ForwardRequest aRequest,
              wire::CallerPort aCaller) -> void;

/// True when no request is under way.
auto
IsIdle(const Forwarder& aForwarder) -> bool;

/// Ends what is under way: streams are cut, other requests answered as failed.
auto
AbandonRequests(Forwarder& aForwarder) -> void;

auto
CountersOf(const Forwarder& aForwarder) -> const ForwardCounters&;

auto
TimesOf(const Forwarder& aForwarder) -> const ForwardTimes&;

} // namespace cuminslip::forwarding
