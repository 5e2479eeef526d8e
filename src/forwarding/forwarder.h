#pragma once

#include "directory/types/endpointnotice.h"
#include "directory/types/entryinstance.h"
#include "evacuation/types/evacuations.h"
#include "forwarding/types/forwardports.h"
#include "forwarding/types/forwardsettings.h"
#include "forwarding/types/forwardtimes.h"
#include "routing/routing.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Forwards callers' requests to endpoints of the service selected by the
/// routing document, and returns the answers unchanged. All functions must be
/// called on the front task.
namespace cuminslip::forwarding {

struct Forwarder;
struct ForwarderDeleter
{
  auto operator()(Forwarder* aForwarder) const -> void;
};
using ForwarderPtr = std::unique_ptr<Forwarder, ForwarderDeleter>;

/// Counters for metrics, since the start of the instance.
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
  /// Answers whose endpoint stated a request limit.
  std::uint64_t mLimitedAnswers = 0;
  /// Requests sent to endpoints that had stated one.
  std::uint64_t mLimitedSends = 0;
  std::uint64_t mMalformedStatements = 0;
  /// Requests refused because of what endpoints had stated.
  std::uint64_t mLimitRefusals = 0;
  /// Requests sent to cold endpoints.
  std::uint64_t mColdSends = 0;
  /// Requests refused for lack of capacity while cold endpoints of their
  /// service accepted none from this instance.
  std::uint64_t mWarmUpRefusals = 0;
  /// Answers by which endpoints asked this instance for time.
  std::uint64_t mPausesAsked = 0;
  /// Requests sent through other instances.
  std::uint64_t mRelayed = 0;
  /// Requests that other instances sent through this one, and those refused.
  std::uint64_t mRelaysAccepted = 0;
  std::uint64_t mRelaysRefused = 0;
  /// Short prompts that waited since no engine with a free slot could answer
  /// them in time, and those of them that were refused.
  std::uint64_t mDeferred = 0;
  std::uint64_t mDeferredRefused = 0;
  /// Prompts sent to an engine after their answer target had passed.
  std::uint64_t mSentLate = 0;
  /// Long prompts refused by the forecast of when engines are free, on arrival
  /// and after they had waited.
  std::uint64_t mRefusedAtOnce = 0;
  std::uint64_t mRefusedWaiting = 0;
  /// Claims of a free slot that another instance was granted.
  std::uint64_t mSlotClaimsLost = 0;

  auto operator==(const ForwardCounters&) const -> bool = default;
};

/// Creates a forwarder. Destroying it abandons its requests.
auto
CreateForwarder(ForwardSettings aSettings,
                ForwardPorts aPorts,
                std::uint64_t aSeed) -> ForwarderPtr;

/// Activates a routing document for requests admitted from now on. A document
/// whose version is not higher than that of the active one is ignored.
auto
ApplyRouting(Forwarder& aForwarder,
             std::shared_ptr<const routing::RoutingTable> aTable) -> void;

/// Returns the version of the active routing document, or 0 for none.
auto
RoutingVersion(const Forwarder& aForwarder) -> routing::Version;

/// Applies an update of endpoints from a control instance.
auto
ApplyEndpoints(Forwarder& aForwarder, const directory::EndpointsUpdate& aUpdate)
  -> void;

/// Handles the loss of the connection to a control instance.
auto
RemoveSource(Forwarder& aForwarder, const std::string& aSource) -> void;

/// Sets the failure domains whose endpoints get no requests. Requests that were
/// sent there end there; those not sent yet are placed elsewhere.
auto
SetEvacuations(Forwarder& aForwarder, evacuation::Evacuations aEvacuations)
  -> void;

/// Returns the number of endpoints that get no requests for that reason.
auto
CountEvacuatedEndpoints(const Forwarder& aForwarder) -> std::size_t;

/// Sets all entry instances, this one included. They share the retry budget,
/// and those of a load group exchange load notices.
auto
SetEntries(Forwarder& aForwarder,
           std::vector<directory::EntryInstance> aEntries) -> void;

/// Applies the load notice of another entry instance.
auto
HandleLoadNotice(Forwarder& aForwarder, std::string_view aBytes) -> void;

/// Handles a complete request. Its caller gets exactly one final answer.
auto
HandleRequest(Forwarder& aForwarder,
              ForwardRequest aRequest,
              wire::CallerPort aCaller) -> void;

/// Handles a request that another instance sends through this one, with the
/// headers of that hop. Its caller, the other instance, gets exactly one final
/// answer. Refused at once if the key is wrong, this instance reaches no
/// endpoint itself or serves enough such requests, or if not aIsAccepting.
auto
HandleRelayedRequest(Forwarder& aForwarder,
                     ForwardRequest aRequest,
                     bool aIsAccepting,
                     wire::CallerPort aCaller) -> void;

/// Returns the answer by which another instance learns that its request was not
/// taken here and may go elsewhere.
auto
RefuseRelay(const Forwarder& aForwarder, const ForwardRequest& aRequest)
  -> wire::HttpResponse;

/// Announces that this instance abandons its requests at aClosesAt. Requests
/// that have not run and whose answers would be cut then are refused, those
/// that wait included.
auto
BeginStop(Forwarder& aForwarder, TimePoint aClosesAt) -> void;

/// Returns true when no request is in flight.
auto
IsIdle(const Forwarder& aForwarder) -> bool;

/// Bytes of failures on streaming routes, which are kept until they are whole.
/// The connection pool counts other kept answers.
auto
CountBufferedBytes(const Forwarder& aForwarder) -> std::size_t;

/// Ends all requests in flight: streams are aborted, other requests answered as
/// failed.
auto
AbandonRequests(Forwarder& aForwarder) -> void;

auto
CountersOf(const Forwarder& aForwarder) -> const ForwardCounters&;

auto
TimesOf(const Forwarder& aForwarder) -> const ForwardTimes&;

/// Returns true if this instance reaches no endpoint, as far as it knows.
auto
IsCutOff(const Forwarder& aForwarder) -> bool;

/// Returns the number of endpoints that stated that they leave.
auto
CountLeavingEndpoints(const Forwarder& aForwarder) -> std::size_t;

/// Returns the number of endpoints with a request limit in force.
auto
CountLimitedEndpoints(const Forwarder& aForwarder) -> std::size_t;

/// Returns the number of endpoints that are cold as far as this instance knows
/// and whose service has a bound for that.
auto
CountColdEndpoints(const Forwarder& aForwarder) -> std::size_t;

/// Returns the number of requests and parts of prompts with a crash of an
/// endpoint against them.
auto
CountSuspects(const Forwarder& aForwarder) -> std::size_t;

/// Returns the number of those that were last judged to end endpoints.
auto
CountHarmful(const Forwarder& aForwarder) -> std::size_t;

} // namespace cuminslip::forwarding
