#pragma once

#include "wire/httpserver.h"
#include "wire/internal/eventloopstate.h"
#include "wire/internal/requestparser.h"
#include "wire/internal/serverbudgetstate.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>

/// One connection of an HTTP server: receives requests one after the other and
/// sends their responses. Functions are for the loop's thread.
namespace cuminslip::wire {

/// How far a response is. Later phases never lead back to earlier ones.
enum class ResponsePhase : std::uint8_t
{
  NotBegun,
  /// The head was sent.
  Begun,
  /// No more of the body follows; a part may not have been given to the socket.
  Ended,
  /// The socket has the last part.
  HandedOver,
  /// Broken off so that the caller can tell.
  Cut
};

struct ServerConnection;

struct Responder
{
  /// Null once the response is sent or the connection is gone.
  ServerConnection* mConnection = nullptr;
  ResponsePhase mPhase = ResponsePhase::NotBegun;
  /// Responses to HEAD and some statuses have none.
  bool mHasBody = true;
  bool mIsChunked = false;
  std::function<void()> mOnClose;
};

struct ServerConnection
{
  HttpServer* mServer = nullptr;
  /// Null once closed.
  h2o_socket_t* mSocket = nullptr;
  bool mIsTls = false;
  bool mIsReading = false;
  ConnectionPhase mPhase = ConnectionPhase::Idle;
  bool mHasServed = false;
  /// Begin of the phase, or last progress of the response.
  TimePoint mSince{};
  /// Bytes moved in this and in the last interval of the sweep.
  std::array<std::size_t, 2> mMoved{};
  RequestParser mParser;
  std::string mHeadBytes;
  std::optional<RequestHead> mHead;
  std::string mBody;
  /// Bytes that the budget has set aside.
  std::size_t mHeldBytes = 0;
  /// Of later requests, and how many of them are used up.
  std::string mNext;
  std::size_t mNextUsed = 0;
  ResponderPtr mResponder;
  bool mIsPersistent = true;
  std::deque<std::string> mOutput;
  /// Bytes of the front of mOutput that are sent.
  std::size_t mOutputUsed = 0;
  /// Bytes that are being sent.
  std::size_t mWriting = 0;
  bool mIsWriting = false;
  /// The end of the last response is a reset.
  bool mEndsWithReset = false;
  std::size_t mUnsentBytes = 0;
  /// Memory of mOutput, sent parts included.
  std::size_t mOutputBytes = 0;
};

struct HttpServer
{
  EventLoop* mLoop = nullptr;
  h2o_socket_t* mListener = nullptr;
  /// Runs while accepting is paused.
  TimerId mAcceptPause = 0;
  TimerId mSweep = 0;
  SocketAddress mAddress;
  TlsContextPtr mTls;
  ListenerLimits mLimits;
  RequestHandler mHandler;
  /// Each answer closes its connection.
  bool mIsClosing = false;
  std::map<ServerConnection*, std::shared_ptr<ServerConnection>> mConnections;
  /// Closed connections whose sockets have a write under way.
  std::map<h2o_socket_t*, std::shared_ptr<ServerConnection>> mClosing;
};

/// Begins to serve a connection. Takes over aSocket, a nonblocking one.
auto
ServeConnection(HttpServer& aServer, int aSocket) -> void;

/// Closes a connection at once. A response that is not over is given up.
auto
CloseConnection(ServerConnection& aConnection) -> void;

/// Closes a connection that another one needs the room of. A request that is
/// not whole is refused with 408.
auto
EvictConnection(ServerConnection& aConnection) -> void;

/// Adds bytes of the response. Precondition: the connection is open.
auto
AppendOutput(ServerConnection& aConnection, std::string aBytes) -> void;

/// Sends what was added.
auto
FlushOutput(ServerConnection& aConnection) -> void;

/// Sends what was added, the last part of a response.
auto
FinishOutput(ServerConnection& aConnection) -> void;

/// The head of a response, with its empty line.
auto
FormatResponseHead(int aStatus,
                   const Headers& aHeaders,
                   bool aIsPersistent,
                   std::optional<std::size_t> aBodyBytes,
                   bool aIsChunked) -> std::string;

/// What the connection holds now.
auto
UseOf(const ServerConnection& aConnection) -> ConnectionUse;

} // namespace cuminslip::wire
