#pragma once

#include "base/findings.h"
#include "fakes/service/servicecore.h"
#include "wire/httpclient.h"
#include "wire/httpserver.h"

#include <boost/json.hpp>

#include <memory>

/// A stand-in plain service behind HTTP. All functions are for the loop's
/// thread.
namespace cuminslip::fakes {

/// What the services of one process share.
struct ServiceSurroundings
{
  wire::EventLoop* mLoop = nullptr;
  wire::HttpClient* mClient = nullptr;
  double mTimeScale = 1;
};

struct ServiceServer;
struct ServiceServerDeleter
{
  auto operator()(ServiceServer* aServer) const -> void;
};
using ServiceServerPtr = std::unique_ptr<ServiceServer, ServiceServerDeleter>;

/// Listens, and begins to announce. Fails with a finding when the address
/// can't be had. aSurroundings outlive the server.
auto
StartServiceServer(const ServiceSurroundings& aSurroundings,
                   const ServiceSettings& aSettings)
  -> leaf::result<ServiceServerPtr>;

/// The address that is listened on.
auto
ServiceAddress(const ServiceServer& aServer) -> wire::SocketAddress;

auto
ServiceName(const ServiceServer& aServer) -> const std::string&;

/// Announces that the service is leaving; running calls go on.
auto
LeaveService(ServiceServer& aServer) -> void;

/// True when no call runs.
auto
IsServiceIdle(const ServiceServer& aServer) -> bool;

/// Changes the faults by the members of aFault; see docs/design/standins.md.
auto
CommandServiceFault(ServiceServer& aServer, const boost::json::object& aFault)
  -> void;

/// Counters of the service.
auto
ServiceCountersDocument(const ServiceServer& aServer, bool aIsDetailed)
  -> boost::json::object;

} // namespace cuminslip::fakes
