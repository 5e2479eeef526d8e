#pragma once

#include "forwarding/forwarder.h"
#include "gateway/clientmemory.h"
#include "gateway/gateway.h"
#include "peers/peertask.h"
#include "wire/connectionpool.h"
#include "wire/datagrams.h"
#include "wire/eventloop.h"
#include "wire/httpserver.h"

#include <vector>

namespace cuminslip::gateway {

struct Gateway
{
  Settings mSettings;
  Adapter mAdapter;
  Incarnation mIncarnation = 0;
  wire::EventLoopPtr mLoop;
  ClientMemory mMemory;
  wire::ConnectionPoolPtr mPool;
  wire::DatagramSocketPtr mDatagrams;
  forwarding::ForwarderPtr mForwarder;
  wire::HttpServerPtr mCallerServer;
  wire::HttpServerPtr mOperatorServer;
  wire::HttpServerPtr mPlatformServer;
  wire::HttpServerPtr mRelayServer;
  /// Destroyed before the loop and its users, since its callbacks post to the
  /// loop.
  std::unique_ptr<PeerTask> mPeers;
  /// Set by CloseGateway; all requests are then refused.
  bool mIsClosed = false;
  /// Callers' requests that were refused for that.
  std::uint64_t mRefusedClosed = 0;
  bool mIsStopping = false;
  bool mWasReady = false;
  TimePoint mStopBegan{};
};

/// Accepts no more connections and requests, and answers the requests still
/// being served. Requests that arrive later on open connections are refused: a
/// forwarded one might run after it was answered as not run. A second call has
/// no effect. Owner thread only.
auto
CloseGateway(Gateway& aGateway) -> void;

/// Returns the answer to a caller whose request is refused before it is whole;
/// 503 for want of memory. Owner thread only.
auto
WriteCallerRefusal(const Gateway& aGateway,
                   const wire::HttpRequest& aRequest,
                   int aStatus) -> wire::HttpResponse;

/// Passes a caller's request on, or refuses it. Owner thread only.
auto
HandleCaller(Gateway& aGateway,
             const wire::HttpRequest& aRequest,
             const wire::ResponderPtr& aResponder) -> void;

/// Executes a control call of an endpoint or an operator. Owner thread only.
auto
HandleControlCall(Gateway& aGateway,
                  const wire::HttpRequest& aRequest,
                  const wire::ResponderPtr& aResponder) -> void;

/// Carries out an operator's order to evacuate a failure domain or to withdraw
/// that, and answers once it is accepted by the control log. Owner thread only.
auto
HandleEvacuation(Gateway& aGateway,
                 const evacuation::EvacuationOrder& aOrder,
                 const wire::ResponderPtr& aResponder) -> void;

/// Decodes a routing document as stored in the control log. Fails with
/// Findings.
auto
ReadStoredRouting(const Adapter& aAdapter, const StoredTemplate& aStored)
  -> leaf::result<routing::RoutingDocument>;

/// Returns the metrics of the gateway in the Prometheus text format. Owner
/// thread only.
auto
MetricsText(const Gateway& aGateway) -> std::string;

} // namespace cuminslip::gateway
