#pragma once

#include "fakes/engine/announcer.h"
#include "fakes/engine/enginedocument.h"
#include "fakes/engine/engineserver.h"

#include <deque>
#include <map>
#include <random>
#include <utility>

namespace cuminslip::fakes {

/// The connection on which a stream's pieces go out.
struct StreamCaller
{
  wire::ResponderPtr mResponder;
  /// Start of each piece event, up to the piece number.
  std::string mEventHead;
  /// A piece that is held back to come after its successor.
  std::string mHeldBack;
};

struct EngineServer
{
  EngineSurroundings mSurroundings;
  EngineSettings mSettings;
  Engine mEngine;
  EngineFaults mFaults;
  wire::SocketAddress mAddress;
  wire::HttpServerPtr mServer;
  AnnouncerPtr mAnnouncer;
  CacheEventLog mCacheEvents;
  std::map<std::string, StreamCaller> mStreams;
  std::map<std::string, wire::ResponderPtr> mParts;
  /// Requests that came while the engine was frozen.
  std::deque<std::pair<wire::HttpRequest, wire::ResponderPtr>> mFrozen;
  std::deque<std::pair<TimePoint, boost::json::object>> mLoadReports;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mDeaths = 0;
  std::mt19937_64 mRandom;
  wire::TimerId mStepTimer = 0;
  wire::TimerId mReportTimer = 0;
  wire::TimerId mRestartTimer = 0;
  /// Posted actions check this, since they may run after the server is gone.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
  bool mIsLeaving = false;
  bool mIsDead = false;
};

/// Runs the engine up to now, gives its outputs to their callers and sets the
/// timer for its next step.
auto
RunEngine(EngineServer& aServer) -> void;

/// Answers one request.
auto
HandleRequest(EngineServer& aServer,
              const wire::HttpRequest& aRequest,
              const wire::ResponderPtr& aResponder) -> void;

/// Starts the event stream of a stream that the engine has taken.
auto
AttachCaller(EngineServer& aServer,
             const std::string& aAttempt,
             const wire::ResponderPtr& aResponder) -> void;

/// Ends the engine abruptly; it comes back as the faults say.
auto
KillEngine(EngineServer& aServer) -> void;

/// The announcement, or the answer to GET /v1/state.
auto
AnnouncementDocument(EngineServer& aServer, std::uint64_t aSequence)
  -> boost::json::object;

/// Starts listening, announcing and reporting load for a new incarnation.
auto
StartIncarnation(EngineServer& aServer) -> leaf::result<void>;

} // namespace cuminslip::fakes
