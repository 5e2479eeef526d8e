#pragma once

#include "base/findings.h"
#include "wire/eventloop.h"
#include "wire/tls.h"
#include "wire/types/callerport.h"
#include "wire/types/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>

/// HTTP server on an event loop. All functions are for the loop's thread.
namespace cuminslip::wire {

/// What a listener accepts. Request heads are limited by h2o.
struct ListenerLimits
{
  std::size_t mMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  std::size_t mMaxConnections = 4096;
  /// Longest time to send a request whole, and longest pause between two
  /// requests of a connection.
  Millis mRequestTimeout{ 10000 };

  auto operator==(const ListenerLimits&) const -> bool = default;
};

/// The response side of one request. Outlives the request: functions given a
/// responder whose caller has gone away do nothing.
struct Responder;
using ResponderPtr = std::shared_ptr<Responder>;

using RequestHandler = std::function<void(const HttpRequest&, ResponderPtr)>;

struct HttpServer;
struct HttpServerDeleter
{
  auto operator()(HttpServer* aServer) const -> void;
};
using HttpServerPtr = std::unique_ptr<HttpServer, HttpServerDeleter>;

/// Listens on aAddress and passes each whole request to aHandler. Port 0 takes
/// a free one. Fails with a finding when the address can't be had.
auto
StartHttpServer(EventLoop& aLoop,
                const SocketAddress& aAddress,
                const ListenerLimits& aLimits,
                RequestHandler aHandler) -> leaf::result<HttpServerPtr>;

/// The address that is listened on, with the port that was taken.
auto
ListenAddress(const HttpServer& aServer) -> SocketAddress;

/// Makes later connections use aTls, or be plain when it is null. Open ones go
/// on as they are.
auto
SetTls(HttpServer& aServer, TlsContextPtr aTls) -> void;

/// Stops accepting connections. Open ones go on, and those that callers have
/// opened already.
auto
StopAccepting(HttpServer& aServer) -> void;

/// Makes each later answer the last one of its connection.
auto
CloseAfterAnswers(HttpServer& aServer) -> void;

/// Number of connections open now.
auto
CountConnections(const HttpServer& aServer) -> std::size_t;

/// Bytes that a server holds.
struct ServerBytes
{
  /// Of requests as they came: those that are not whole yet, and those whose
  /// responses have not ended. Bodies of HTTP/2 are not counted here.
  std::size_t mReceived = 0;
  /// Bodies that were given to the handler and that something still holds.
  std::size_t mBodies = 0;
  /// As by UnsentBytes.
  std::size_t mUnsent = 0;

  auto operator==(const ServerBytes&) const -> bool = default;
};

/// Looks at each connection.
auto
CountBytes(const HttpServer& aServer) -> ServerBytes;

/// Bytes of answers that were given to the server and that the callers'
/// connections have not yet taken.
auto
UnsentBytes(const HttpServer& aServer) -> std::size_t;

/// Number of requests whose responses the callers' connections have not yet
/// taken whole, those without a response included.
auto
CountOpenResponses(const HttpServer& aServer) -> std::size_t;

/// Answers with a whole response. Where the response has begun before and is
/// still open, it is cut instead, as by AbortStream.
auto
SendResponse(const ResponderPtr& aResponder, const HttpResponse& aResponse)
  -> void;

/// Sends status and headers of a response whose body follows in pieces. Where
/// the response has begun before and is still open, it is cut instead.
auto
StartStream(const ResponderPtr& aResponder,
            int aStatus,
            const Headers& aHeaders) -> void;

/// Sends a piece of the body. Without effect before StartStream, and after the
/// end.
auto
SendPiece(const ResponderPtr& aResponder, std::string_view aPiece) -> void;

/// Ends the body normally. Without effect where SendPiece has none.
auto
FinishStream(const ResponderPtr& aResponder) -> void;

/// Breaks the connection so that the caller sees an incomplete body, or no
/// answer where the response has not begun. Without effect after the end.
auto
AbortStream(const ResponderPtr& aResponder) -> void;

/// Bytes given to SendPiece that the caller's connection has not yet taken.
auto
UnsentBytes(const ResponderPtr& aResponder) -> std::size_t;

/// True once the caller has closed the connection or the response is done.
/// Looks at the socket, so that it also notices a caller who leaves before the
/// response begins.
auto
IsClosed(const ResponderPtr& aResponder) -> bool;

/// Runs aAction once if the connection goes away before the response is done.
auto
SetCloseHandler(const ResponderPtr& aResponder, std::function<void()> aAction)
  -> void;

/// The responder as a port.
auto
PortOf(const ResponderPtr& aResponder) -> CallerPort;

} // namespace cuminslip::wire
