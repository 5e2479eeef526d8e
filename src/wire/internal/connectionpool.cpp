#include "wire/connectionpool.h"

#include "wire/internal/answerparser.h"
#include "wire/internal/eventloopstate.h"
#include "wire/internal/socketaddress.h"
#include "wire/internal/tlscontext.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <map>
#include <vector>

namespace cuminslip::wire {

namespace {

using ConnectionId = std::uint64_t;

/// A kept connection is not used when its server may close it this soon.
constexpr auto kKeepAliveMargin = Millis(1000);
/// Probes of a connection that waits for an answer: seconds until the first,
/// and between them.
constexpr auto kProbeSeconds = 1;
/// How often answers that wait for room are looked at.
constexpr auto kRoomCheckInterval = Millis(10);
/// What the system holds of an answer that is not read, at most.
constexpr auto kReceiveBuffer = 64 * 1024;
constexpr auto kProbeCount = 2;

struct Connection
{
  ConnectionPool* mPool = nullptr;
  ConnectionId mId = 0;
  SocketAddress mAddress;
  h2o_socket_t* mSocket = nullptr;
  bool mIsWriting = false;
  /// A write failed, which takes the connection's error from the next read.
  bool mHasFailed = false;
  /// The server keeps the connection, and nothing odd was seen on it.
  bool mIsReusable = true;
  bool mWasKept = false;
  /// 0 while idle.
  ExchangeId mExchange = 0;
  Exchange mRequest;
  /// Shared with the call under way, which may cancel the exchange.
  std::shared_ptr<ExchangeHandlers> mHandlers;
  /// Head and body of the request being written.
  std::string mOutput;
  Body mOutputBody;
  AnswerParser mParser;
  /// The answer being received belongs to an earlier request.
  bool mIsForeign = false;
  /// An answer to another request was received on the connection.
  bool mHasOtherAnswers = false;
  std::size_t mBodyBytes = 0;
  /// Of a kept answer.
  std::size_t mHeldBytes = 0;
  /// Bytes since the last ones of the body.
  std::size_t mUselessBytes = 0;
  TimerId mConnectTimer = 0;
  TimePoint mIdleSince{};
  Millis mIdleTime{ 0 };
};

} // namespace

struct ConnectionPool
{
  EventLoop* mLoop = nullptr;
  PoolSettings mSettings;
  PoolCounters mCounters;
  TlsContextPtr mTls;
  std::uint64_t mNextId = 1;
  std::map<ConnectionId, std::unique_ptr<Connection>> mConnections;
  std::map<ExchangeId, ConnectionId> mExchanges;
  /// Most recently used last.
  std::map<SocketAddress, std::vector<ConnectionId>> mIdle;
  std::size_t mHeldBytes = 0;
  /// Connections whose answers wait for room, in the order of their arrival.
  std::deque<ConnectionId> mWaiting;
  TimerId mRoomCheck = 0;
};

namespace {

auto
FormatHead(const HttpRequest& aRequest) -> std::string
{
  auto text = aRequest.mMethod + " " + aRequest.mPath;
  if (!aRequest.mQuery.empty()) {
    text += "?" + aRequest.mQuery;
  }
  text += " HTTP/1.1\r\n";
  for (const auto& it : aRequest.mHeaders) {
    text += it.mName + ": " + it.mValue + "\r\n";
  }
  const auto hasBody = !aRequest.mBody.empty() || (aRequest.mMethod != "GET" &&
                                                   aRequest.mMethod != "HEAD");
  if (hasBody) {
    text += "content-length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  text += "\r\n";
  return text;
}

auto
FindConnection(ConnectionPool& aPool, ConnectionId aId) -> Connection*
{
  const auto it = aPool.mConnections.find(aId);
  return it == aPool.mConnections.end() ? nullptr : it->second.get();
}

auto
RemoveIdle(ConnectionPool& aPool, const Connection& aConnection) -> void
{
  const auto it = aPool.mIdle.find(aConnection.mAddress);
  if (it == aPool.mIdle.end()) {
    return;
  }
  std::erase(it->second, aConnection.mId);
  if (it->second.empty()) {
    aPool.mIdle.erase(it);
  }
}

auto
SetHeld(Connection& aConnection, std::size_t aBytes) -> void
{
  aConnection.mPool->mHeldBytes += aBytes - aConnection.mHeldBytes;
  aConnection.mHeldBytes = aBytes;
}

/// Closes and forgets a connection; its handlers are not called.
auto
CloseConnection(ConnectionPool& aPool, Connection& aConnection) -> void
{
  SetHeld(aConnection, 0);
  std::erase(aPool.mWaiting, aConnection.mId);
  StopTimer(*aPool.mLoop, aConnection.mConnectTimer);
  aPool.mExchanges.erase(aConnection.mExchange);
  RemoveIdle(aPool, aConnection);
  if (aConnection.mSocket != nullptr) {
    aConnection.mSocket->data = nullptr;
    h2o_socket_close(aConnection.mSocket);
  }
  aPool.mConnections.erase(aConnection.mId);
}

/// Ends the exchange of a connection that can't be used again.
auto
FailConnection(Connection& aConnection,
               ExchangeEnd aEnd,
               bool aIsSilent = false) -> void
{
  auto& pool = *aConnection.mPool;
  const auto isActive = aConnection.mExchange != 0;
  const auto handlers = aConnection.mHandlers;
  const auto isUnframed = aConnection.mParser.mPhase == AnswerPhase::OpenBody;
  const auto result =
    ExchangeResult{ aEnd, aConnection.mWasKept, isUnframed, aIsSilent };
  CloseConnection(pool, aConnection);
  if (isActive && handlers->mOnEnd) {
    handlers->mOnEnd(result);
  }
}

/// Makes a connection available to other exchanges, or closes it when there
/// are enough.
auto
KeepConnection(Connection& aConnection) -> void
{
  auto& pool = *aConnection.mPool;
  auto& idle = pool.mIdle[aConnection.mAddress];
  if (idle.size() >= pool.mSettings.mMaxIdlePerAddress) {
    CloseConnection(pool, aConnection);
    return;
  }
  aConnection.mOutput = {};
  aConnection.mOutputBody = {};
  aConnection.mIdleSince = MonotonicNow();
  idle.push_back(aConnection.mId);
}

/// Ends an exchange whose answer was received whole; its connection is kept
/// where it can be used again.
auto
CompleteExchange(Connection& aConnection, std::size_t aBytesLeft) -> void
{
  auto& pool = *aConnection.mPool;
  pool.mCounters.mStrayBytes += aBytesLeft;
  if (!aConnection.mIsReusable || aBytesLeft != 0) {
    FailConnection(aConnection, ExchangeEnd::Complete);
    return;
  }
  const auto handlers = std::move(aConnection.mHandlers);
  const auto result =
    ExchangeResult{ ExchangeEnd::Complete, aConnection.mWasKept };
  pool.mExchanges.erase(std::exchange(aConnection.mExchange, 0));
  SetHeld(aConnection, 0);
  aConnection.mRequest = {};
  // NOTE: an answer may come before its request is sent whole.
  if (!aConnection.mIsWriting) {
    KeepConnection(aConnection);
  }
  if (handlers->mOnEnd) {
    handlers->mOnEnd(result);
  }
}

auto
MakeParser(const Connection& aConnection) -> AnswerParser
{
  const auto& exchange = aConnection.mRequest;
  auto parser = AnswerParser{};
  parser.mMaxHeadBytes = exchange.mMaxHeadBytes > 0
                           ? exchange.mMaxHeadBytes
                           : aConnection.mPool->mSettings.mMaxHeadBytes;
  parser.mIsToHead = exchange.mRequest.mMethod == "HEAD";
  return parser;
}

/// Returns true if nothing tells the answer from a late copy of another one.
auto
IsUnattributed(const Connection& aConnection, const AnswerHead& aHead) -> bool
{
  const auto& echo = aConnection.mRequest.mEcho;
  return aConnection.mHasOtherAnswers && !echo.mName.empty() &&
         !echo.mValue.empty() && !FindHeader(aHead.mHeaders, echo.mName);
}

/// Notes what a head says of the connection, and passes it on.
auto
TakeHead(Connection& aConnection, const AnswerHead& aHead) -> void
{
  if (IsUnattributed(aConnection, aHead)) {
    ++aConnection.mPool->mCounters.mUnattributedAnswers;
    FailConnection(aConnection, ExchangeEnd::Unattributed);
    return;
  }
  const auto& pool = *aConnection.mPool;
  aConnection.mIsReusable = aConnection.mIsReusable && aHead.mIsPersistent;
  aConnection.mIdleTime = pool.mSettings.mMaxIdleTime;
  if (aHead.mKeepAliveSeconds) {
    const auto stated = Millis(Seconds(*aHead.mKeepAliveSeconds));
    aConnection.mIdleTime =
      std::min(aConnection.mIdleTime, stated - kKeepAliveMargin);
  }
  const auto& echo = aConnection.mRequest.mEcho;
  const auto answered = FindHeader(aHead.mHeaders, echo.mName);
  aConnection.mIsForeign =
    !echo.mName.empty() && answered && *answered != echo.mValue;
  if (aConnection.mIsForeign) {
    ++aConnection.mPool->mCounters.mForeignAnswers;
    aConnection.mHasOtherAnswers = true;
    aConnection.mIsReusable = false;
    return;
  }
  const auto handlers = aConnection.mHandlers;
  if (handlers->mOnHead) {
    handlers->mOnHead(aHead.mStatus, aHead.mHeaders);
  }
}

/// Counts the bytes of a part. Returns how the exchange ends if there are too
/// many.
auto
CountBytes(Connection& aConnection, const ParsedPart& aPart)
  -> std::optional<ExchangeEnd>
{
  if (aPart.mPiece.empty() || aConnection.mIsForeign) {
    aConnection.mUselessBytes += aPart.mConsumed;
    const auto limit = aConnection.mPool->mSettings.mMaxUselessBytes;
    return aConnection.mUselessBytes > limit
             ? std::optional(ExchangeEnd::Malformed)
             : std::nullopt;
  }
  aConnection.mUselessBytes = 0;
  aConnection.mBodyBytes += aPart.mPiece.size();
  const auto limit = aConnection.mRequest.mMaxBodyBytes;
  return limit > 0 && aConnection.mBodyBytes > limit
           ? std::optional(ExchangeEnd::TooLarge)
           : std::nullopt;
}

/// Takes one part of the input. False when the connection needs more bytes or
/// is gone.
auto
TakePart(ConnectionPool& aPool, ConnectionId aId) -> bool
{
  auto* connection = FindConnection(aPool, aId);
  if (connection == nullptr) {
    return false;
  }
  auto& input = connection->mSocket->input;
  if (input->size == 0) {
    return false;
  }
  if (connection->mExchange == 0) {
    aPool.mCounters.mStrayBytes += input->size;
    CloseConnection(aPool, *connection);
    return false;
  }
  const auto part = ParseAnswer(connection->mParser, input->bytes, input->size);
  if (connection->mParser.mPhase == AnswerPhase::Failed ||
      connection->mParser.mPhase == AnswerPhase::TooLarge) {
    const auto isTooLarge = connection->mParser.mPhase == AnswerPhase::TooLarge;
    FailConnection(*connection,
                   isTooLarge ? ExchangeEnd::TooLarge : ExchangeEnd::Malformed);
    return false;
  }
  const auto isDone = connection->mParser.mPhase == AnswerPhase::Done;
  if (part.mConsumed == 0 && !part.mHead && !isDone) {
    return false;
  }
  if (const auto end = CountBytes(*connection, part)) {
    FailConnection(*connection, *end);
    return false;
  }
  if (part.mHead) {
    TakeHead(*connection, *part.mHead);
  } else if (!part.mPiece.empty() && !connection->mIsForeign) {
    const auto handlers = connection->mHandlers;
    if (handlers->mOnPiece) {
      handlers->mOnPiece(part.mPiece);
    }
  }
  // NOTE: a handler may have cancelled the exchange.
  connection = FindConnection(aPool, aId);
  if (connection == nullptr) {
    return false;
  }
  auto& rest = connection->mSocket->input;
  h2o_buffer_consume(&rest, part.mConsumed);
  rest->size = part.mLeft;
  if (connection->mParser.mPhase != AnswerPhase::Done) {
    return true;
  }
  if (connection->mIsForeign) {
    connection->mParser = MakeParser(*connection);
    connection->mIsForeign = false;
    return true;
  }
  CompleteExchange(*connection, part.mLeft);
  return false;
}

/// Sets room aside for the rest of a kept answer. False if there is none.
auto
HoldAnswer(Connection& aConnection) -> bool
{
  const auto& settings = aConnection.mPool->mSettings;
  const auto read = aConnection.mBodyBytes;
  const auto isBody = aConnection.mParser.mPhase == AnswerPhase::LengthBody ||
                      aConnection.mParser.mPhase == AnswerPhase::ChunkedBody ||
                      aConnection.mParser.mPhase == AnswerPhase::OpenBody;
  if (!aConnection.mRequest.mIsKept || aConnection.mIsForeign || !isBody) {
    return true;
  }
  const auto isKnown = aConnection.mParser.mPhase == AnswerPhase::LengthBody;
  const auto limit = aConnection.mRequest.mMaxBodyBytes;
  const auto whole = read + aConnection.mParser.mBodyLeft;
  if (read < aConnection.mHeldBytes ||
      (isKnown && limit > 0 && whole > limit)) {
    return true;
  }
  // NOTE: a body of unknown length doubles its memory as it grows.
  const auto needed =
    isKnown ? whole : std::max(2 * read, settings.mSmallAnswer);
  if (needed > settings.mSmallAnswer && settings.mMayHold &&
      !settings.mMayHold(needed - aConnection.mHeldBytes)) {
    return false;
  }
  SetHeld(aConnection, needed);
  return true;
}

auto
OnRead(h2o_socket_t* aSocket, const char* aError) -> void;

/// Takes the input part by part until more bytes are needed, the connection is
/// gone or its answer has to wait for room.
auto
TakeInput(ConnectionPool& aPool, ConnectionId aId) -> void
{
  do {
    auto* connection = FindConnection(aPool, aId);
    if (connection != nullptr && !HoldAnswer(*connection)) {
      h2o_socket_read_stop(connection->mSocket);
      aPool.mWaiting.push_back(aId);
      return;
    }
  } while (TakePart(aPool, aId));
}

/// Lets answers go on in their order while there is room.
auto
CheckRoom(ConnectionPool& aPool) -> void
{
  aPool.mRoomCheck = 0;
  while (!aPool.mWaiting.empty()) {
    auto* connection = FindConnection(aPool, aPool.mWaiting.front());
    if (!HoldAnswer(*connection)) {
      break;
    }
    const auto id = connection->mId;
    aPool.mWaiting.pop_front();
    h2o_socket_read_start(connection->mSocket, OnRead);
    TakeInput(aPool, id);
  }
}

auto
ScheduleRoomCheck(ConnectionPool& aPool) -> void
{
  if (aPool.mRoomCheck != 0 || aPool.mWaiting.empty()) {
    return;
  }
  aPool.mRoomCheck = StartTimer(*aPool.mLoop, kRoomCheckInterval, [&aPool] {
    CheckRoom(aPool);
    ScheduleRoomCheck(aPool);
  });
}

auto
OnRead(h2o_socket_t* aSocket, const char* aError) -> void
{
  // NOTE: h2o reports all failed reads alike.
  const auto isSilent = aError != nullptr &&
                        aError != h2o_socket_error_closed && errno == ETIMEDOUT;
  auto* connection = static_cast<Connection*>(aSocket->data);
  if (connection == nullptr) {
    return;
  }
  auto& pool = *connection->mPool;
  const auto id = connection->mId;
  TakeInput(pool, id);
  ScheduleRoomCheck(pool);
  connection = FindConnection(pool, id);
  if (connection == nullptr || aError == nullptr) {
    return;
  }
  const auto isWhole = aError == h2o_socket_error_closed &&
                       connection->mParser.mPhase == AnswerPhase::OpenBody &&
                       !connection->mIsForeign && connection->mExchange != 0 &&
                       !connection->mIsWriting && !connection->mHasFailed;
  FailConnection(*connection,
                 isWhole ? ExchangeEnd::Complete : ExchangeEnd::Broken,
                 isSilent);
}

auto
OnWritten(h2o_socket_t* aSocket, const char* aError) -> void
{
  auto* connection = static_cast<Connection*>(aSocket->data);
  if (connection == nullptr) {
    return;
  }
  connection->mIsWriting = false;
  // NOTE: after a failed write the answer may still be there to be read.
  if (aError != nullptr) {
    connection->mHasFailed = true;
    connection->mIsReusable = false;
  } else if (connection->mExchange == 0) {
    KeepConnection(*connection);
  }
}

auto
SendRequest(Connection& aConnection) -> void
{
  aConnection.mParser = MakeParser(aConnection);
  aConnection.mIsForeign = false;
  aConnection.mBodyBytes = 0;
  aConnection.mUselessBytes = 0;
  aConnection.mOutput = FormatHead(aConnection.mRequest.mRequest);
  aConnection.mOutputBody = aConnection.mRequest.mRequest.mBody;
  aConnection.mIsWriting = true;
  const auto& body = aConnection.mOutputBody.Bytes();
  auto parts = std::array{ h2o_iovec_init(aConnection.mOutput.data(),
                                          aConnection.mOutput.size()),
                           h2o_iovec_init(body.data(), body.size()) };
  h2o_socket_write(
    aConnection.mSocket, parts.data(), body.empty() ? 1 : 2, OnWritten);
  if (aConnection.mHandlers->mOnSent) {
    aConnection.mHandlers->mOnSent();
  }
}

auto
SetOptions(const Connection& aConnection) -> void
{
  const auto fd = h2o_socket_get_fd(aConnection.mSocket);
  const auto silence =
    static_cast<unsigned>(aConnection.mPool->mSettings.mSilenceTimeout.count());
  const auto on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence, sizeof(silence));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(
    fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof(kReceiveBuffer));
  setsockopt(
    fd, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeSeconds, sizeof(kProbeSeconds));
  setsockopt(
    fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds, sizeof(kProbeSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount, sizeof(kProbeCount));
}

/// The connection may be used: TLS is agreed on, or there is none.
auto
OnUsable(h2o_socket_t* aSocket, const char* aError) -> void
{
  auto* connection = static_cast<Connection*>(aSocket->data);
  if (connection == nullptr) {
    return;
  }
  StopTimer(*connection->mPool->mLoop,
            std::exchange(connection->mConnectTimer, 0));
  if (aError != nullptr) {
    FailConnection(*connection, ExchangeEnd::NotConnected);
    return;
  }
  SetOptions(*connection);
  h2o_socket_read_start(connection->mSocket, OnRead);
  SendRequest(*connection);
}

auto
OnConnected(h2o_socket_t* aSocket, const char* aError) -> void
{
  const auto* connection = static_cast<Connection*>(aSocket->data);
  if (connection == nullptr) {
    return;
  }
  const auto& tls = connection->mPool->mTls;
  if (aError != nullptr || tls == nullptr) {
    OnUsable(aSocket, aError);
    return;
  }
  h2o_socket_ssl_handshake(
    aSocket, tls->mContext.get(), connection->mAddress.mHost.c_str(), OnUsable);
}

auto
Connect(ConnectionPool& aPool, Connection& aConnection) -> void
{
  ++aPool.mCounters.mConnectionsOpened;
  if (auto address = ToSystemAddress(aConnection.mAddress)) {
    aConnection.mSocket =
      h2o_socket_connect(aPool.mLoop->mLoop,
                         reinterpret_cast<sockaddr*>(&*address),
                         sizeof(*address),
                         OnConnected);
  }
  const auto fail = [&aPool, id = aConnection.mId] {
    if (auto* connection = FindConnection(aPool, id)) {
      connection->mConnectTimer = 0;
      FailConnection(*connection, ExchangeEnd::NotConnected);
    }
  };
  if (aConnection.mSocket == nullptr) {
    aConnection.mConnectTimer = StartTimer(*aPool.mLoop, Micros(0), fail);
    return;
  }
  aConnection.mSocket->data = &aConnection;
  aConnection.mConnectTimer =
    StartTimer(*aPool.mLoop, aConnection.mRequest.mConnectTimeout, fail);
}

/// The idle connection used last, or null. Closes those idle for too long.
auto
TakeIdle(ConnectionPool& aPool, const SocketAddress& aAddress) -> Connection*
{
  const auto now = MonotonicNow();
  while (true) {
    const auto it = aPool.mIdle.find(aAddress);
    if (it == aPool.mIdle.end() || it->second.empty()) {
      return nullptr;
    }
    auto* connection = FindConnection(aPool, it->second.back());
    if (connection->mIdleSince + connection->mIdleTime > now) {
      RemoveIdle(aPool, *connection);
      return connection;
    }
    CloseConnection(aPool, *connection);
  }
}

} // namespace

auto
ConnectionPoolDeleter::operator()(ConnectionPool* aPool) const -> void
{
  StopTimer(*aPool->mLoop, aPool->mRoomCheck);
  while (!aPool->mConnections.empty()) {
    CloseConnection(*aPool, *aPool->mConnections.begin()->second);
  }
  delete aPool;
}

auto
CreateConnectionPool(EventLoop& aLoop, PoolSettings aSettings)
  -> ConnectionPoolPtr
{
  auto pool = ConnectionPoolPtr(new ConnectionPool);
  pool->mLoop = &aLoop;
  pool->mSettings = std::move(aSettings);
  return pool;
}

auto
StartExchange(ConnectionPool& aPool,
              Exchange aExchange,
              ExchangeHandlers aHandlers) -> ExchangeId
{
  const auto id = aPool.mNextId++;
  auto* connection = aExchange.mNeedsNewConnection
                       ? nullptr
                       : TakeIdle(aPool, aExchange.mAddress);
  const auto isKept = connection != nullptr;
  if (!isKept) {
    auto created = std::make_unique<Connection>();
    connection = created.get();
    connection->mPool = &aPool;
    connection->mId = aPool.mNextId++;
    connection->mAddress = aExchange.mAddress;
    aPool.mConnections.emplace(connection->mId, std::move(created));
  }
  connection->mWasKept = isKept;
  connection->mHasOtherAnswers = isKept;
  connection->mExchange = id;
  connection->mRequest = std::move(aExchange);
  connection->mHandlers =
    std::make_shared<ExchangeHandlers>(std::move(aHandlers));
  aPool.mExchanges.emplace(id, connection->mId);
  if (isKept) {
    SendRequest(*connection);
  } else {
    Connect(aPool, *connection);
  }
  return id;
}

auto
CancelExchange(ConnectionPool& aPool, ExchangeId aExchange) -> void
{
  const auto it = aPool.mExchanges.find(aExchange);
  if (it != aPool.mExchanges.end()) {
    CloseConnection(aPool, *FindConnection(aPool, it->second));
  }
}

auto
SetTls(ConnectionPool& aPool, TlsContextPtr aTls) -> void
{
  aPool.mTls = std::move(aTls);
}

auto
HeldBytes(const ConnectionPool& aPool) -> std::size_t
{
  return aPool.mHeldBytes;
}

auto
CountersOf(const ConnectionPool& aPool) -> const PoolCounters&
{
  return aPool.mCounters;
}

} // namespace cuminslip::wire
