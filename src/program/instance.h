#pragma once

#include "gateway/clientmemory.h"
#include "peers/peertask.h"
#include "requests/front.h"
#include "settings/types/settings.h"
#include "wire/eventloop.h"
#include "wire/httpclient.h"
#include "wire/httpserver.h"

#include <memory>

/// One running instance: the front task, which owns the listeners and the
/// calls to endpoints, and the peer task.
namespace cuminslip::program {

struct Instance
{
  Instance() = default;
  ~Instance();
  Instance(const Instance&) = delete;
  auto operator=(const Instance&) -> Instance& = delete;

  Settings mSettings;
  Incarnation mIncarnation = 0;
  wire::EventLoopPtr mLoop;
  gateway::ClientMemory mMemory;
  wire::HttpClientPtr mClient;
  requests::FrontPtr mFront;
  wire::HttpServerPtr mCallerServer;
  wire::HttpServerPtr mOperatorServer;
  wire::HttpServerPtr mEndpointServer;
  wire::HttpServerPtr mPlatformServer;
  /// Stops first, as its replies go to the loop.
  std::unique_ptr<PeerTask> mPeers;
  /// Set once a stop ends; the listeners' handlers then refuse.
  bool mIsClosed = false;
  bool mIsStopping = false;
  bool mWasReady = false;
};

/// Builds an instance and starts its tasks and listeners. Fails with Findings.
auto
StartInstance(Settings aSettings) -> leaf::result<std::unique_ptr<Instance>>;

/// Runs the front task until a stop has ended. Owner thread only.
auto
RunInstance(Instance& aInstance) -> void;

/// Begins a graceful stop: no new work; what runs ends, or is given up after
/// the settings' stop time. A second call has no effect. Front task only.
auto
BeginGracefulStop(Instance& aInstance) -> void;

/// True while the platform may send callers here.
auto
IsReady(const Instance& aInstance) -> bool;

} // namespace cuminslip::program
