#pragma once

#include "base/findings.h"
#include "fakes/engine/enginecore.h"
#include "wire/httpclient.h"
#include "wire/httpserver.h"

#include <boost/json.hpp>

#include <memory>

/// A stand-in engine behind HTTP, as docs/INTERFACES.md states it. All
/// functions are for the loop's thread.
namespace cuminslip::fakes {

/// What the engines of one process share.
struct EngineSurroundings
{
  wire::EventLoop* mLoop = nullptr;
  wire::HttpClient* mClient = nullptr;
  WeightStore* mStore = nullptr;
  double mTimeScale = 1;
};

struct EngineServer;
struct EngineServerDeleter
{
  auto operator()(EngineServer* aServer) const -> void;
};
using EngineServerPtr = std::unique_ptr<EngineServer, EngineServerDeleter>;

/// Listens, and begins to announce. Fails with a finding when the address
/// can't be had. aSurroundings outlive the server.
auto
StartEngineServer(const EngineSurroundings& aSurroundings,
                  const EngineSettings& aSettings)
  -> leaf::result<EngineServerPtr>;

/// The address that is listened on.
auto
EngineAddress(const EngineServer& aServer) -> wire::SocketAddress;

auto
EngineName(const EngineServer& aServer) -> const std::string&;

/// Announces that the engine is leaving; running streams go on.
auto
LeaveEngine(EngineServer& aServer) -> void;

/// True when no stream runs.
auto
IsEngineIdle(const EngineServer& aServer) -> bool;

/// Changes the faults by the members of aFault; see docs/design/standins.md.
auto
CommandFault(EngineServer& aServer, const boost::json::object& aFault) -> void;

/// Counters of the engine.
auto
EngineCountersDocument(const EngineServer& aServer, bool aIsDetailed)
  -> boost::json::object;

} // namespace cuminslip::fakes
