#pragma once

#include "base/findings.h"
#include "wire/eventloop.h"
#include "wire/serverbudget.h"
#include "wire/tls.h"
#include "wire/types/callerport.h"
#include "wire/types/httpmessage.h"

#include <cstddef>
#include <functional>
#include <memory>

/// HTTP/1.1 server on an event loop. It frames requests itself, on h2o's
/// sockets, so that nothing is held before there is room for it. All functions
/// are for the loop's thread.
namespace cuminslip::wire {

/// Writes the answer that refuses a request which is not whole: 400, 408, 413,
/// 417, 431 or 503. The request has no body, and no head where that is not
/// whole.
using RefusalWriter =
  std::function<HttpResponse(const HttpRequest& aRequest, int aStatus)>;

/// What a listener accepts.
struct ListenerLimits
{
  std::size_t mMaxBodyBytes = std::size_t{ 8 } * 1024 * 1024;
  /// Of the listener; not used where there is a budget.
  std::size_t mMaxConnections = 4096;
  /// Longest time to send a request whole, longest pause between two requests
  /// of a connection, and longest time in which no byte of an answer is taken.
  Millis mRequestTimeout{ 10000 };
  std::size_t mMaxHeadBytes = std::size_t{ 64 } * 1024;
  /// Shared with other listeners; without it the listener has its own.
  ServerBudgetPtr mBudget = nullptr;
  /// Without it refusals have a status only.
  RefusalWriter mWriteRefusal = nullptr;
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
SendResponse(const ResponderPtr& aResponder, HttpResponse aResponse) -> void;

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
