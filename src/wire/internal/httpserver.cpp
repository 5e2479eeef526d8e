#include "wire/httpserver.h"

#include "wire/internal/eventloopstate.h"
#include "wire/internal/socketaddress.h"
#include "wire/internal/tlscontext.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <optional>
#include <set>
#include <vector>

namespace cuminslip::wire {

/// How far a response is. Later phases never lead back to earlier ones.
enum class ResponsePhase : std::uint8_t
{
  NotBegun,
  /// The head was sent.
  Begun,
  /// No more of the body follows; a part may not have been handed to h2o yet.
  Ended,
  /// h2o has the last part.
  HandedOver,
  /// Broken off so that the caller can tell.
  Cut
};

struct Responder
{
  /// Outlives mRequest.
  const HttpServer* mServer = nullptr;
  h2o_req_t* mRequest = nullptr;
  struct Generator* mGenerator = nullptr;
  std::string mPending;
  std::string mInFlight;
  ResponsePhase mPhase = ResponsePhase::NotBegun;
  /// h2o has a part and has not asked for the next one.
  bool mIsSending = false;
  std::function<void()> mOnClose;
};

/// Lives in the request's memory pool; keeps the responder reachable from h2o's
/// callbacks until the pool is cleared.
struct Generator
{
  h2o_generator_t mBase;
  ResponderPtr* mResponder;
};

struct ServerHandler
{
  h2o_handler_t mBase;
  HttpServer* mServer;
};

struct HttpServer
{
  EventLoop* mLoop = nullptr;
  h2o_globalconf_t mConfig{};
  h2o_context_t mContext{};
  h2o_accept_ctx_t mAccept{};
  h2o_socket_t* mListener = nullptr;
  /// Runs while accepting is paused.
  TimerId mAcceptPause = 0;
  SocketAddress mAddress;
  TlsContextPtr mTls;
  ListenerLimits mLimits;
  RequestHandler mHandler;
  /// Each answer closes its connection.
  bool mIsClosing = false;
  std::shared_ptr<std::set<h2o_socket_t*>> mConnections =
    std::make_shared<std::set<h2o_socket_t*>>();
  std::vector<std::weak_ptr<Responder>> mResponders;
  /// Of bodies that the handler was given; they may outlive the server.
  std::shared_ptr<std::atomic<std::size_t>> mBodyBytes =
    std::make_shared<std::atomic<std::size_t>>(0);
};

/// What a connection's close callback needs.
struct ConnectionEntry
{
  std::shared_ptr<std::set<h2o_socket_t*>> mConnections;
  h2o_socket_t* mSocket = nullptr;
};

namespace {

constexpr auto kBacklog = 1024;
constexpr auto kUnavailable = 503;
constexpr auto kCloseRounds = 1000;
constexpr auto kAcceptPause = Millis(50);
/// The first HTTP version, as h2o counts them, whose callers read chunks.
constexpr auto kChunkedVersion = 0x101;

/// True if nothing more can be done for the response.
auto
IsOver(const Responder& aResponder) -> bool
{
  return aResponder.mRequest == nullptr ||
         aResponder.mPhase == ResponsePhase::HandedOver ||
         aResponder.mPhase == ResponsePhase::Cut;
}

auto
ToString(const h2o_iovec_t& aBytes) -> std::string
{
  return { aBytes.base, aBytes.len };
}

/// Returns a body that is counted until its last copy is gone.
auto
CopyBody(const HttpServer& aServer, const h2o_iovec_t& aBytes) -> Body
{
  if (aBytes.len == 0) {
    return {};
  }
  const auto count = aServer.mBodyBytes;
  *count += aBytes.len;
  return Body(
    std::shared_ptr<const std::string>(new std::string(aBytes.base, aBytes.len),
                                       [count](const std::string* aBody) {
                                         *count -= aBody->size();
                                         delete aBody;
                                       }));
}

auto
ToHttpRequest(const HttpServer& aServer, const h2o_req_t& aRequest)
  -> HttpRequest
{
  auto request = HttpRequest{};
  request.mMethod = ToString(aRequest.method);
  const auto path = ToString(aRequest.path);
  const auto question = path.find('?');
  request.mPath = path.substr(0, question);
  if (question != std::string::npos) {
    request.mQuery = path.substr(question + 1);
  }
  for (auto i = std::size_t{ 0 }; i < aRequest.headers.size; ++i) {
    const auto& header = aRequest.headers.entries[i];
    request.mHeaders.push_back(
      { ToString(*header.name), ToString(header.value) });
  }
  request.mBody = CopyBody(aServer, aRequest.entity);
  request.mHost = ToString(aRequest.input.authority);
  return request;
}

/// Detaches the responder from the request and reports a close that came
/// before the response was over.
auto
Detach(Responder& aResponder) -> void
{
  const auto isEarly = !IsOver(aResponder);
  aResponder.mRequest = nullptr;
  aResponder.mGenerator = nullptr;
  aResponder.mPending.clear();
  aResponder.mInFlight.clear();
  const auto onClose = std::exchange(aResponder.mOnClose, {});
  if (isEarly && onClose) {
    onClose();
  }
}

auto
OnPoolCleared(void* aData) -> void
{
  auto* generator = static_cast<Generator*>(aData);
  Detach(**generator->mResponder);
  delete generator->mResponder;
}

auto
Flush(Responder& aResponder) -> void
{
  const auto isEnd = aResponder.mPhase == ResponsePhase::Ended;
  const auto hasPart = !aResponder.mPending.empty() || isEnd;
  if (aResponder.mIsSending || IsOver(aResponder) || !hasPart) {
    return;
  }
  aResponder.mInFlight = std::exchange(aResponder.mPending, {});
  aResponder.mIsSending = true;
  auto* request = aResponder.mRequest;
  auto buf =
    h2o_iovec_init(aResponder.mInFlight.data(), aResponder.mInFlight.size());
  if (isEnd) {
    aResponder.mPhase = ResponsePhase::HandedOver;
  }
  h2o_send(request,
           &buf,
           buf.len > 0 ? 1 : 0,
           isEnd ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

auto
OnProceed(h2o_generator_t* aGenerator, h2o_req_t*) -> void
{
  const auto responder = *reinterpret_cast<Generator*>(aGenerator)->mResponder;
  responder->mIsSending = false;
  responder->mInFlight.clear();
  if (responder->mPhase == ResponsePhase::Cut) {
    // NOTE: h2o does not read while a response is open, so that it would not
    // notice the closed connection by itself.
    h2o_send(responder->mRequest, nullptr, 0, H2O_SEND_STATE_ERROR);
    return;
  }
  Flush(*responder);
}

auto
OnStop(h2o_generator_t* aGenerator, h2o_req_t*) -> void
{
  const auto responder = *reinterpret_cast<Generator*>(aGenerator)->mResponder;
  Detach(*responder);
}

auto
AttachResponder(h2o_req_t* aRequest) -> ResponderPtr
{
  auto* generator = static_cast<Generator*>(
    h2o_mem_alloc_shared(&aRequest->pool, sizeof(Generator), OnPoolCleared));
  generator->mBase.proceed = OnProceed;
  generator->mBase.stop = OnStop;
  generator->mResponder = new ResponderPtr(std::make_shared<Responder>());
  auto responder = *generator->mResponder;
  responder->mRequest = aRequest;
  responder->mGenerator = generator;
  return responder;
}

auto
RememberResponder(HttpServer& aServer, const ResponderPtr& aResponder) -> void
{
  constexpr auto kCompactAbove = std::size_t{ 256 };
  auto& responders = aServer.mResponders;
  if (responders.size() >= kCompactAbove &&
      responders.size() >= 2 * aServer.mConnections->size()) {
    std::erase_if(responders,
                  [](const auto& aWeak) { return aWeak.expired(); });
  }
  responders.push_back(aResponder);
}

auto
OnRequest(h2o_handler_t* aHandler, h2o_req_t* aRequest) -> int
{
  auto* server = reinterpret_cast<ServerHandler*>(aHandler)->mServer;
  const auto responder = AttachResponder(aRequest);
  responder->mServer = server;
  RememberResponder(*server, responder);
  server->mHandler(ToHttpRequest(*server, *aRequest), responder);
  return 0;
}

auto
OnConnectionClosed(void* aData) -> void
{
  const auto entry =
    std::unique_ptr<ConnectionEntry>(static_cast<ConnectionEntry*>(aData));
  entry->mConnections->erase(entry->mSocket);
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
  auto* sock = h2o_evloop_socket_accept(aServer.mListener);
  if (sock == nullptr) {
    return false;
  }
  if (aServer.mConnections->size() >= aServer.mLimits.mMaxConnections) {
    h2o_socket_close(sock);
    return true;
  }
  aServer.mConnections->insert(sock);
  sock->on_close.cb = OnConnectionClosed;
  sock->on_close.data = new ConnectionEntry{ aServer.mConnections, sock };
  h2o_accept(&aServer.mAccept, sock);
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

auto
Configure(HttpServer& aServer) -> void
{
  h2o_config_init(&aServer.mConfig);
  aServer.mConfig.server_name = h2o_iovec_init(H2O_STRLIT("cuminslip"));
  aServer.mConfig.max_request_entity_size = aServer.mLimits.mMaxBodyBytes;
  aServer.mConfig.http1.req_timeout =
    static_cast<std::uint64_t>(aServer.mLimits.mRequestTimeout.count());
  aServer.mConfig.handshake_timeout = aServer.mConfig.http1.req_timeout;
  auto* host = h2o_config_register_host(
    &aServer.mConfig, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  auto* path = h2o_config_register_path(host, "/", 0);
  auto* handler = reinterpret_cast<ServerHandler*>(
    h2o_create_handler(path, sizeof(ServerHandler)));
  handler->mBase.on_req = OnRequest;
  handler->mServer = &aServer;
  h2o_context_init(&aServer.mContext, aServer.mLoop->mLoop, &aServer.mConfig);
  aServer.mAccept.ctx = &aServer.mContext;
  aServer.mAccept.hosts = aServer.mConfig.hosts;
}

auto
SetResponseHead(const Responder& aResponder,
                int aStatus,
                const Headers& aHeaders) -> void
{
  auto& request = *aResponder.mRequest;
  if (aResponder.mServer->mIsClosing) {
    request.http1_is_persistent = 0;
  }
  request.res.status = aStatus;
  request.res.reason = "status";
  for (const auto& header : aHeaders) {
    const auto name =
      h2o_strdup(&request.pool, header.mName.data(), header.mName.size());
    const auto value =
      h2o_strdup(&request.pool, header.mValue.data(), header.mValue.size());
    h2o_add_header_by_str(&request.pool,
                          &request.res.headers,
                          name.base,
                          name.len,
                          1,
                          nullptr,
                          value.base,
                          value.len);
  }
}

/// Returns the descriptor of the connection. Precondition: the response is not
/// over.
auto
SocketOf(const Responder& aResponder) -> int
{
  auto* conn = aResponder.mRequest->conn;
  return h2o_socket_get_fd(conn->callbacks->get_socket(conn));
}

/// Breaks the connection of a response that has begun and is not handed over.
auto
CutResponse(Responder& aResponder) -> void
{
  aResponder.mPhase = ResponsePhase::Cut;
  aResponder.mPending.clear();
  auto* request = aResponder.mRequest;
  request->http1_is_persistent = 0;
  const auto fd = SocketOf(aResponder);
  if (request->version >= kChunkedVersion) {
    // NOTE: h2o ends a chunked body that fails with half a chunk, which no
    // caller can read; on a closed connection it can't write that.
    shutdown(fd, SHUT_RDWR);
  } else {
    // NOTE: without chunks only a reset differs from the end of the body.
    const auto reset = linger{ 1, 0 };
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  // NOTE: while a piece is being written h2o finds the broken connection
  // itself.
  if (!aResponder.mIsSending) {
    h2o_send(request, nullptr, 0, H2O_SEND_STATE_ERROR);
  }
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
  auto& request = *aResponder->mRequest;
  SetResponseHead(*aResponder, aStatus, aHeaders);
  if (aBodyBytes) {
    request.res.content_length = *aBodyBytes;
  }
  aResponder->mPhase = ResponsePhase::Begun;
  h2o_start_response(&request, &aResponder->mGenerator->mBase);
  return true;
}

/// Answers what is still open and closes every connection, which h2o notices
/// within a few rounds of the loop.
auto
CloseConnections(HttpServer& aServer) -> void
{
  // NOTE: requests that have arrived still get their answers.
  h2o_evloop_run(aServer.mLoop->mLoop, 0);
  for (const auto& weak : aServer.mResponders) {
    const auto responder = weak.lock();
    if (!responder || IsOver(*responder)) {
      continue;
    }
    if (responder->mPhase == ResponsePhase::NotBegun) {
      SendResponse(responder, { kUnavailable, {}, "" });
    } else {
      CutResponse(*responder);
    }
  }
  for (auto* sock : *aServer.mConnections) {
    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
  }
  for (auto i = 0; i < kCloseRounds && !aServer.mConnections->empty(); ++i) {
    h2o_evloop_run(aServer.mLoop->mLoop, 1);
  }
}

} // namespace

auto
HttpServerDeleter::operator()(HttpServer* aServer) const -> void
{
  StopAccepting(*aServer);
  CloseConnections(*aServer);
  h2o_context_dispose(&aServer->mContext);
  h2o_config_dispose(&aServer->mConfig);
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
  server->mHandler = std::move(aHandler);
  server->mAddress = { aAddress.mHost, BoundPort(fd) };
  Configure(*server);
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
  aServer.mAccept.ssl_ctx =
    aServer.mTls == nullptr ? nullptr : aServer.mTls->mContext.get();
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
  return aServer.mConnections->size();
}

auto
CountBytes(const HttpServer& aServer) -> ServerBytes
{
  auto bytes = ServerBytes{ 0, *aServer.mBodyBytes, UnsentBytes(aServer) };
  for (const auto* sock : *aServer.mConnections) {
    bytes.mReceived += sock->input->size;
  }
  return bytes;
}

auto
UnsentBytes(const HttpServer& aServer) -> std::size_t
{
  auto bytes = std::size_t{ 0 };
  for (const auto& weak : aServer.mResponders) {
    if (const auto responder = weak.lock()) {
      bytes += UnsentBytes(responder);
    }
  }
  return bytes;
}

auto
CountOpenResponses(const HttpServer& aServer) -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(aServer.mResponders.begin(),
                  aServer.mResponders.end(),
                  [](const auto& aWeak) {
                    const auto responder = aWeak.lock();
                    return responder && responder->mRequest != nullptr;
                  }));
}

auto
SendResponse(const ResponderPtr& aResponder, const HttpResponse& aResponse)
  -> void
{
  if (BeginResponse(aResponder,
                    aResponse.mStatus,
                    aResponse.mHeaders,
                    aResponse.mBody.size())) {
    aResponder->mPending = aResponse.mBody;
    FinishStream(aResponder);
  }
}

auto
StartStream(const ResponderPtr& aResponder,
            int aStatus,
            const Headers& aHeaders) -> void
{
  if (BeginResponse(aResponder, aStatus, aHeaders, std::nullopt)) {
    // NOTE: an empty piece makes h2o write the head at once.
    aResponder->mIsSending = true;
    h2o_send(aResponder->mRequest, nullptr, 0, H2O_SEND_STATE_IN_PROGRESS);
  }
}

auto
SendPiece(const ResponderPtr& aResponder, std::string_view aPiece) -> void
{
  if (aResponder->mRequest != nullptr &&
      aResponder->mPhase == ResponsePhase::Begun) {
    aResponder->mPending += aPiece;
    Flush(*aResponder);
  }
}

auto
FinishStream(const ResponderPtr& aResponder) -> void
{
  if (aResponder->mRequest != nullptr &&
      aResponder->mPhase == ResponsePhase::Begun) {
    aResponder->mPhase = ResponsePhase::Ended;
    Flush(*aResponder);
  }
}

auto
AbortStream(const ResponderPtr& aResponder) -> void
{
  if (IsOver(*aResponder)) {
    return;
  }
  if (aResponder->mPhase == ResponsePhase::NotBegun) {
    // NOTE: h2o has no way to end a request but by a response, which the closed
    // connection does not take.
    aResponder->mRequest->http1_is_persistent = 0;
    shutdown(SocketOf(*aResponder), SHUT_RDWR);
    SendResponse(aResponder, { kUnavailable, {}, "" });
    return;
  }
  if (aResponder->mPhase == ResponsePhase::Begun) {
    CutResponse(*aResponder);
  }
}

auto
UnsentBytes(const ResponderPtr& aResponder) -> std::size_t
{
  return aResponder->mPending.size() + aResponder->mInFlight.size();
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
  port.mRespond = [aResponder](const HttpResponse& aResponse) {
    SendResponse(aResponder, aResponse);
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
