#pragma once

#include "base/mailbox.h"
#include "peers/internal/peercontext.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace cuminslip {

/// Work for the peer thread. Destroyed unrun when the thread has stopped.
using PeerWork = std::function<void(PeerContext&)>;

/// The thread of a peer task with its event loop.
class PeerThread
{
public:
  PeerThread(PeerSettings aSettings, PeerCallbacks aCallbacks);
  PeerThread(const PeerThread&) = delete;
  auto operator=(const PeerThread&) -> PeerThread& = delete;
  ~PeerThread() noexcept;

  /// Starts; returns when it listens or has failed. Call once.
  auto Start() -> Findings;

  /// Runs aWork on the peer thread. Thread safe.
  auto Post(PeerWork aWork) -> void;

  /// Thread safe.
  auto Status() const -> PeerStatus;

private:
  /// What Status is worked out from.
  struct Standing
  {
    PeerStatus mStatus;
    TimePoint mQuorumContact{};
    /// Since when there has been none; no value while there is one.
    std::optional<TimePoint> mNoDocumentSince;
    std::optional<TimePoint> mNoLeaderSince;
    std::optional<TimePoint> mNoLogSince;
  };

  auto Run(std::function<void(Findings)> aOnStarted) -> void;
  auto Serve(PeerContext& aContext,
             kj::AsyncIoContext& aIo,
             kj::Own<kj::TaskSet>& aTasks,
             std::function<void(Findings)>& aOnStarted) -> Findings;
  auto OpenControl(PeerContext& aContext) -> Findings;
  auto DrainMailbox(PeerContext& aContext, kj::AsyncInputStream& aWakeUp)
    -> kj::Promise<void>;
  auto TickForever(PeerContext& aContext) -> kj::Promise<void>;
  auto UpdateStanding(PeerContext& aContext) -> void;
  auto Wake() const -> void;

  PeerSettings mSettings;
  PeerCallbacks mCallbacks;
  int mWakeRead = -1;
  int mWakeWrite = -1;
  Mailbox<PeerWork> mMailbox;
  std::atomic<bool> mIsStopping{ false };
  kj::Own<kj::PromiseFulfiller<void>> mStop;
  char mWakeBuffer[64]{};
  mutable std::mutex mStandingMutex;
  Standing mStanding;
  std::thread mThread;
};

} // namespace cuminslip
