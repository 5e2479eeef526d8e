#include "wire/httpserver.h"

#include "wire/internal/eventloopstate.h"
#include "wire/internal/serverconnection.h"
#include "wire/internal/socketaddress.h"
#include "wire/internal/tlscontext.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

namespace cuminslip::wire {

namespace {

constexpr auto kBacklog = 1024;
constexpr auto kUnavailable = 503;
constexpr auto kNoContent = 204;
constexpr auto kNotModified = 304;
constexpr auto kAcceptPause = Millis(50);
constexpr auto kCloseRounds = 1000;

/// True if nothing more can be done for the response.
auto
IsOver(const Responder& aResponder) -> bool
{
  return aResponder.mConnection == nullptr ||
         aResponder.mPhase == ResponsePhase::HandedOver ||
         aResponder.mPhase == ResponsePhase::Cut;
}

auto
OnAccept(h2o_socket_t* aListener, const char* aError) -> void;

/// Stops accepting for a moment. Without a free descriptor the listener stays
/// readable, and the loop would do nothing else.
auto
PauseAccepting(HttpServer& aServer) -> void
{
  h2o_socket_read_stop(aServer.mListener);
  aServer.mAcceptPause = StartTimer(*aServer.mLoop, kAcceptPause, [&aServer] {
    aServer.mAcceptPause = 0;
    h2o_socket_read_start(aServer.mListener, OnAccept);
  });
}

/// Accepts one connection. False if none waits or no descriptor is free.
auto
AcceptConnection(HttpServer& aServer) -> bool
{
  const auto fd = accept4(h2o_socket_get_fd(aServer.mListener),
                          nullptr,
                          nullptr,
                          SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) {
    return false;
  }
  auto& budget = *aServer.mLimits.mBudget;
  if (!MakeRoomForConnection(budget, aServer)) {
    ++budget.mCounters.mRefusedConnections;
    close(fd);
    return true;
  }
  const auto on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ServeConnection(aServer, fd);
  return true;
}

auto
OnAccept(h2o_socket_t* aListener, const char* aError) -> void
{
  auto* server = static_cast<HttpServer*>(aListener->data);
  if (aError == nullptr && !AcceptConnection(*server)) {
    PauseAccepting(*server);
  }
}

auto
AddressFinding(const SocketAddress& aAddress, const std::string& aProblem)
  -> Findings
{
  return {
    { { {}, FormatAddress(aAddress), aProblem, "a free local address" } }
  };
}

auto
OpenListener(const SocketAddress& aAddress) -> leaf::result<int>
{
  const auto address = ToSystemAddress(aAddress);
  if (!address) {
    return leaf::new_error(AddressFinding(aAddress, "not an IPv4 address"));
  }
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd,
           reinterpret_cast<const sockaddr*>(&*address),
           sizeof(*address)) != 0 ||
      listen(fd, kBacklog) != 0) {
    const auto problem = std::string("cannot listen: ") + std::strerror(errno);
    close(fd);
    return leaf::new_error(AddressFinding(aAddress, problem));
  }
  return fd;
}

auto
BoundPort(int aSocket) -> int
{
  auto address = sockaddr_in{};
  auto length = socklen_t{ sizeof(address) };
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &length);
  return ntohs(address.sin_port);
}

/// Returns the descriptor of the connection. Precondition: the response is not
/// over.
auto
SocketOf(const Responder& aResponder) -> int
{
  return h2o_socket_get_fd(aResponder.mConnection->mSocket);
}

/// Breaks the connection of a response that is not handed over.
auto
CutResponse(Responder& aResponder) -> void
{
  const auto isFramed =
    aResponder.mPhase == ResponsePhase::NotBegun || aResponder.mIsChunked;
  aResponder.mPhase = ResponsePhase::Cut;
  if (isFramed) {
    shutdown(SocketOf(aResponder), SHUT_RDWR);
  } else {
    // NOTE: without chunks only a reset differs from the end of the body.
    aResponder.mConnection->mEndsWithReset = true;
    const auto reset = linger{ 1, 0 };
    setsockopt(
      SocketOf(aResponder), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  CloseConnection(*aResponder.mConnection);
}

/// Sends the head of a response. False if none can be sent: the caller has
/// gone, or the response has begun before. One that is still open is cut then,
/// since the caller would take a second head for a part of its body.
auto
BeginResponse(const ResponderPtr& aResponder,
              int aStatus,
              const Headers& aHeaders,
              std::optional<std::size_t> aBodyBytes) -> bool
{
  if (IsOver(*aResponder)) {
    return false;
  }
  if (aResponder->mPhase != ResponsePhase::NotBegun) {
    AbortStream(aResponder);
    return false;
  }
  auto& connection = *aResponder->mConnection;
  const auto mayHaveBody = aStatus != kNoContent && aStatus != kNotModified;
  aResponder->mHasBody = aResponder->mHasBody && mayHaveBody;
  aResponder->mIsChunked = aResponder->mIsChunked && !aBodyBytes && mayHaveBody;
  const auto endsWithConnection =
    !aBodyBytes && !aResponder->mIsChunked && mayHaveBody;
  connection.mIsPersistent = connection.mIsPersistent && !endsWithConnection &&
                             !connection.mServer->mIsClosing;
  AppendOutput(connection,
               FormatResponseHead(aStatus,
                                  aHeaders,
                                  connection.mIsPersistent,
                                  mayHaveBody ? aBodyBytes : std::nullopt,
                                  aResponder->mIsChunked));
  aResponder->mPhase = ResponsePhase::Begun;
  return true;
}

/// Adds a piece of the body in the framing of the response.
auto
AppendPiece(const Responder& aResponder, std::string_view aPiece) -> void
{
  auto& connection = *aResponder.mConnection;
  if (!aResponder.mHasBody || aPiece.empty()) {
    return;
  }
  if (!aResponder.mIsChunked) {
    AppendOutput(connection, std::string(aPiece));
    return;
  }
  constexpr auto kHexadecimal = 16;
  constexpr auto kMostDigits = std::size_t{ 16 };
  auto digits = std::array<char, kMostDigits>{};
  const auto end =
    std::to_chars(
      digits.data(), digits.data() + digits.size(), aPiece.size(), kHexadecimal)
      .ptr;
  auto chunk = std::string(digits.data(), end) + "\r\n";
  chunk += aPiece;
  chunk += "\r\n";
  AppendOutput(connection, std::move(chunk));
}

/// Answers what is still open and closes every connection.
auto
CloseConnections(HttpServer& aServer) -> void
{
  // NOTE: requests that have arrived still get their answers.
  h2o_evloop_run(aServer.mLoop->mLoop, 0);
  auto connections = std::vector<std::shared_ptr<ServerConnection>>{};
  for (const auto& it : aServer.mConnections) {
    connections.push_back(it.second);
  }
  for (const auto& it : connections) {
    const auto responder = it->mResponder;
    if (responder && !IsOver(*responder)) {
      if (responder->mPhase == ResponsePhase::NotBegun) {
        // NOTE: the socket takes the few bytes at once.
        SendResponse(responder, { kUnavailable, {}, "" });
      } else {
        CutResponse(*responder);
      }
    }
    CloseConnection(*it);
  }
  // NOTE: writes under way end with their connections within a few rounds.
  for (const auto& it : aServer.mClosing) {
    shutdown(h2o_socket_get_fd(it.first), SHUT_RDWR);
  }
  for (auto n = 0; n < kCloseRounds && !aServer.mClosing.empty(); ++n) {
    h2o_evloop_run(aServer.mLoop->mLoop, 1);
  }
  // NOTE: h2o frees closed sockets in the next round.
  h2o_evloop_run(aServer.mLoop->mLoop, 0);
}

} // namespace

auto
HttpServerDeleter::operator()(HttpServer* aServer) const -> void
{
  StopAccepting(*aServer);
  CloseConnections(*aServer);
  StopTimer(*aServer->mLoop, aServer->mSweep);
  std::erase(aServer->mLimits.mBudget->mServers, aServer);
  delete aServer;
}

auto
StartHttpServer(EventLoop& aLoop,
                const SocketAddress& aAddress,
                const ListenerLimits& aLimits,
                RequestHandler aHandler) -> leaf::result<HttpServerPtr>
{
  BOOST_LEAF_AUTO(fd, OpenListener(aAddress));
  auto server = HttpServerPtr(new HttpServer);
  server->mLoop = &aLoop;
  server->mLimits = aLimits;
  if (server->mLimits.mBudget == nullptr) {
    auto rules = BudgetRules{};
    rules.mMaxConnections = aLimits.mMaxConnections;
    server->mLimits.mBudget = CreateServerBudget(std::move(rules));
  }
  server->mLimits.mBudget->mServers.push_back(server.get());
  server->mHandler = std::move(aHandler);
  server->mAddress = { aAddress.mHost, BoundPort(fd) };
  server->mListener =
    h2o_evloop_socket_create(aLoop.mLoop, fd, H2O_SOCKET_FLAG_DONT_READ);
  server->mListener->data = server.get();
  h2o_socket_read_start(server->mListener, OnAccept);
  return server;
}

auto
ListenAddress(const HttpServer& aServer) -> SocketAddress
{
  return aServer.mAddress;
}

auto
SetTls(HttpServer& aServer, TlsContextPtr aTls) -> void
{
  aServer.mTls = std::move(aTls);
}

auto
StopAccepting(HttpServer& aServer) -> void
{
  if (aServer.mListener == nullptr) {
    return;
  }
  StopTimer(*aServer.mLoop, std::exchange(aServer.mAcceptPause, 0));
  h2o_socket_read_stop(aServer.mListener);
  // NOTE: the system resets connections that were not accepted, whose callers
  // may have sent their requests already.
  while (AcceptConnection(aServer)) {
  }
  h2o_socket_close(aServer.mListener);
  aServer.mListener = nullptr;
}

auto
CloseAfterAnswers(HttpServer& aServer) -> void
{
  aServer.mIsClosing = true;
}

auto
CountConnections(const HttpServer& aServer) -> std::size_t
{
  return aServer.mConnections.size();
}

auto
UnsentBytes(const HttpServer& aServer) -> std::size_t
{
  auto bytes = std::size_t{ 0 };
  for (const auto& it : aServer.mConnections) {
    bytes += it.second->mUnsentBytes;
  }
  return bytes;
}

auto
CountOpenResponses(const HttpServer& aServer) -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aServer.mConnections.begin(),
    aServer.mConnections.end(),
    [](const auto& aItem) { return aItem.second->mResponder != nullptr; }));
}

auto
SendResponse(const ResponderPtr& aResponder, HttpResponse aResponse) -> void
{
  if (!BeginResponse(aResponder,
                     aResponse.mStatus,
                     aResponse.mHeaders,
                     aResponse.mBody.size())) {
    return;
  }
  if (aResponder->mHasBody) {
    AppendOutput(*aResponder->mConnection, std::move(aResponse.mBody));
  }
  FinishStream(aResponder);
}

auto
StartStream(const ResponderPtr& aResponder,
            int aStatus,
            const Headers& aHeaders) -> void
{
  if (BeginResponse(aResponder, aStatus, aHeaders, std::nullopt)) {
    FlushOutput(*aResponder->mConnection);
  }
}

auto
SendPiece(const ResponderPtr& aResponder, std::string_view aPiece) -> void
{
  if (aResponder->mConnection != nullptr &&
      aResponder->mPhase == ResponsePhase::Begun) {
    AppendPiece(*aResponder, aPiece);
    FlushOutput(*aResponder->mConnection);
  }
}

auto
FinishStream(const ResponderPtr& aResponder) -> void
{
  if (aResponder->mConnection == nullptr ||
      aResponder->mPhase != ResponsePhase::Begun) {
    return;
  }
  auto& connection = *aResponder->mConnection;
  if (aResponder->mIsChunked && aResponder->mHasBody) {
    AppendOutput(connection, "0\r\n\r\n");
  }
  aResponder->mPhase = ResponsePhase::Ended;
  FinishOutput(connection);
}

auto
AbortStream(const ResponderPtr& aResponder) -> void
{
  if (!IsOver(*aResponder) && aResponder->mPhase != ResponsePhase::Ended) {
    CutResponse(*aResponder);
  }
}

auto
UnsentBytes(const ResponderPtr& aResponder) -> std::size_t
{
  return aResponder->mConnection == nullptr
           ? 0
           : aResponder->mConnection->mUnsentBytes;
}

auto
IsClosed(const ResponderPtr& aResponder) -> bool
{
  if (IsOver(*aResponder)) {
    return true;
  }
  // NOTE: bytes may still be unread when the caller has gone, as a second
  // request or TLS's own closing record, so reading ahead does not tell.
  auto waiting = pollfd{ SocketOf(*aResponder), POLLRDHUP, 0 };
  return poll(&waiting, 1, 0) > 0;
}

auto
SetCloseHandler(const ResponderPtr& aResponder, std::function<void()> aAction)
  -> void
{
  aResponder->mOnClose = std::move(aAction);
}

auto
PortOf(const ResponderPtr& aResponder) -> CallerPort
{
  auto port = CallerPort{};
  port.mRespond = [aResponder](HttpResponse aResponse) {
    SendResponse(aResponder, std::move(aResponse));
  };
  port.mStartStream = [aResponder](int aStatus, const Headers& aHeaders) {
    StartStream(aResponder, aStatus, aHeaders);
  };
  port.mSendPiece = [aResponder](std::string_view aPiece) {
    SendPiece(aResponder, aPiece);
  };
  port.mFinish = [aResponder] { FinishStream(aResponder); };
  port.mAbort = [aResponder] { AbortStream(aResponder); };
  port.mIsClosed = [aResponder] { return IsClosed(aResponder); };
  port.mUnsentBytes = [aResponder] { return UnsentBytes(aResponder); };
  return port;
}

} // namespace cuminslip::wire
