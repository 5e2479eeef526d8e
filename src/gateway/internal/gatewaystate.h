#pragma once

#include "forwarding/forwarder.h"
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
  wire::ConnectionPoolPtr mPool;
  wire::DatagramSocketPtr mDatagrams;
  forwarding::ForwarderPtr mForwarder;
  wire::HttpServerPtr mCallerServer;
  wire::HttpServerPtr mOperatorServer;
  wire::HttpServerPtr mPlatformServer;
  /// Stops first, as its replies go to the loop.
  std::unique_ptr<PeerTask> mPeers;
  /// Set by CloseGateway; the listeners then refuse.
  bool mIsClosed = false;
  bool mIsStopping = false;
  bool mWasReady = false;
  TimePoint mStopBegan{};
};

/// Takes no request from here on, and answers those still being served. What
/// the loop brings afterwards, in the rest of its round or while the listeners
/// close, is refused: sent on, it might run after it was answered as one that
/// has not. A second call has no effect. Owner thread only.
auto
CloseGateway(Gateway& aGateway) -> void;

/// Carries out a call of an endpoint or an operator.
auto
HandleControlCall(Gateway& aGateway,
                  const wire::HttpRequest& aRequest,
                  const wire::ResponderPtr& aResponder) -> void;

/// Reads a document as the control log holds it. Fails with Findings.
auto
ReadStoredRouting(const Adapter& aAdapter, const StoredTemplate& aStored)
  -> leaf::result<routing::RoutingDocument>;

/// Metrics of the gateway as text.
auto
MetricsText(const Gateway& aGateway) -> std::string;

} // namespace cuminslip::gateway
