#include "wire/internal/serverconnection.h"

#include "wire/internal/tlscontext.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <ctime>

namespace cuminslip::wire {

namespace {

constexpr auto kRequestTimeout = 408;
constexpr auto kUnavailable = 503;
/// What a connection takes besides requests and responses.
constexpr auto kPlainBytes = std::size_t{ 2 } * 1024;
constexpr auto kTlsBytes = std::size_t{ 48 } * 1024;
/// Bytes read at once: of a head, so that little of the next request comes with
/// it, and of a body.
constexpr auto kHeadRead = std::size_t{ 8 } * 1024;
constexpr auto kBodyRead = std::size_t{ 64 } * 1024;
/// Reads of one connection before others have their turn.
constexpr auto kReadsAtOnce = 4;
constexpr auto kHeadUnit = std::size_t{ 4 } * 1024;
constexpr auto kFirstChunks = std::size_t{ 16 } * 1024;
constexpr auto kWriteAtOnce = std::size_t{ 256 } * 1024;
constexpr auto kWriteParts = std::size_t{ 8 };
/// Smaller pieces of a response are joined.
constexpr auto kJoinedBytes = std::size_t{ 16 } * 1024;
/// A client that has its last answer and sends nothing for this long is done.
constexpr auto kDrainTime = Millis(3000);
constexpr auto kLongestSweep = Millis(500);
constexpr auto kShortestSweep = Millis(20);

auto
BudgetOf(const ServerConnection& aConnection) -> ServerBudget&
{
  return *aConnection.mServer->mLimits.mBudget;
}

auto
EnterPhase(ServerConnection& aConnection, ConnectionPhase aPhase) -> void
{
  aConnection.mPhase = aPhase;
  aConnection.mSince = MonotonicNow();
  aConnection.mMoved = {};
}

/// Sets how many bytes are set aside for requests of the connection.
auto
SetHeld(ServerConnection& aConnection, std::size_t aBytes) -> void
{
  auto& budget = BudgetOf(aConnection);
  budget.mReceived += aBytes - aConnection.mHeldBytes;
  aConnection.mHeldBytes = aBytes;
}

/// Sets bytes aside, which may take them from others. False if there is no
/// room.
auto
Hold(ServerConnection& aConnection, std::size_t aBytes) -> bool
{
  if (aBytes > aConnection.mHeldBytes &&
      !MakeRoomForBytes(BudgetOf(aConnection),
                        aConnection,
                        aBytes - aConnection.mHeldBytes,
                        aBytes)) {
    return false;
  }
  SetHeld(aConnection, aBytes);
  return true;
}

/// Gives the memory of aBytes back, which an assignment would keep.
auto
FreeBytes(std::string& aBytes) -> void
{
  std::string().swap(aBytes);
}

auto
DropRequest(ServerConnection& aConnection) -> void
{
  FreeBytes(aConnection.mHeadBytes);
  aConnection.mHead.reset();
  FreeBytes(aConnection.mBody);
  SetHeld(aConnection, 0);
}

auto
OnReadable(h2o_socket_t* aSocket, const char* aError) -> void;

auto
SetReading(ServerConnection& aConnection, bool aIsReading) -> void
{
  if (aConnection.mSocket == nullptr || aConnection.mIsReading == aIsReading) {
    return;
  }
  aConnection.mIsReading = aIsReading;
  if (aIsReading) {
    h2o_socket_read_start(aConnection.mSocket, OnReadable);
  } else {
    h2o_socket_read_stop(aConnection.mSocket);
  }
}

/// Reads on without keeping anything, so that the last answer is not lost with
/// the connection's reset.
auto
Drain(ServerConnection& aConnection) -> void
{
  EnterPhase(aConnection, ConnectionPhase::Draining);
  FreeBytes(aConnection.mNext);
  aConnection.mNextUsed = 0;
  SetReading(aConnection, true);
}

/// Refuses the request that is being received.
auto
Refuse(ServerConnection& aConnection, int aStatus) -> void
{
  const auto& server = *aConnection.mServer;
  const auto request =
    aConnection.mHead ? std::move(aConnection.mHead->mRequest) : HttpRequest{};
  DropRequest(aConnection);
  auto response = server.mLimits.mWriteRefusal
                    ? server.mLimits.mWriteRefusal(request, aStatus)
                    : HttpResponse{ aStatus, {}, "" };
  if (aStatus == kUnavailable) {
    auto& budget = BudgetOf(aConnection);
    ++budget.mCounters.mRefusedRequests;
    if (budget.mRules.mOnRefused) {
      budget.mRules.mOnRefused();
    }
  }
  aConnection.mIsPersistent = false;
  Drain(aConnection);
  AppendOutput(aConnection,
               FormatResponseHead(response.mStatus,
                                  response.mHeaders,
                                  false,
                                  response.mBody.size(),
                                  false));
  AppendOutput(aConnection, std::move(response.mBody));
  FlushOutput(aConnection);
}

/// Returns a body that is counted until its last copy is gone.
auto
ShareBody(const ServerBudget& aBudget, std::string aBytes) -> Body
{
  if (aBytes.empty()) {
    return {};
  }
  const auto count = aBudget.mBodies;
  *count += aBytes.capacity();
  return Body(std::shared_ptr<const std::string>(
    new std::string(std::move(aBytes)), [count](const std::string* aBody) {
      *count -= aBody->capacity();
      delete aBody;
    }));
}

/// Passes a whole request to the handler.
auto
Dispatch(ServerConnection& aConnection) -> void
{
  EnterPhase(aConnection, ConnectionPhase::Responding);
  SetReading(aConnection, false);
  auto head = std::move(*aConnection.mHead);
  head.mRequest.mBody =
    ShareBody(BudgetOf(aConnection), std::move(aConnection.mBody));
  DropRequest(aConnection);
  aConnection.mIsPersistent = head.mIsPersistent;
  auto responder = std::make_shared<Responder>();
  responder->mConnection = &aConnection;
  responder->mHasBody = head.mRequest.mMethod != "HEAD";
  responder->mIsChunked = head.mReadsChunks;
  aConnection.mResponder = responder;
  aConnection.mServer->mHandler(head.mRequest, std::move(responder));
}

/// Takes bytes of a head and returns those that follow it.
auto
ReceiveHead(ServerConnection& aConnection, char* aBytes, std::size_t aSize)
  -> std::string_view
{
  const auto before = aConnection.mHeadBytes.size();
  const auto units = (before + aSize + kHeadUnit - 1) / kHeadUnit;
  if (!Hold(aConnection, units * kHeadUnit)) {
    Refuse(aConnection, kUnavailable);
    return {};
  }
  if (before > 0) {
    aConnection.mHeadBytes.append(aBytes, aSize);
  }
  auto used = std::size_t{ 0 };
  auto head =
    ParseRequestHead(aConnection.mParser,
                     before > 0 ? std::string_view(aConnection.mHeadBytes)
                                : std::string_view(aBytes, aSize),
                     used);
  if (aConnection.mParser.mPhase == RequestPhase::Failed) {
    aConnection.mHead = std::move(head);
    Refuse(aConnection, aConnection.mParser.mProblem);
    return {};
  }
  if (!head) {
    if (before == 0) {
      aConnection.mHeadBytes.assign(aBytes, aSize);
    }
    return {};
  }
  const auto rest =
    std::string_view(aBytes + (used - before), aSize - (used - before));
  FreeBytes(aConnection.mHeadBytes);
  aConnection.mHead = std::move(head);
  if (aConnection.mParser.mPhase == RequestPhase::Done) {
    Dispatch(aConnection);
    return rest;
  }
  const auto length = aConnection.mHead->mBodyBytes.value_or(0);
  if (!Hold(aConnection, kHeadUnit + length)) {
    Refuse(aConnection, kUnavailable);
    return {};
  }
  aConnection.mBody.reserve(length);
  if (aConnection.mHead->mExpectsContinue && rest.empty()) {
    AppendOutput(aConnection, "HTTP/1.1 100 Continue\r\n\r\n");
    FlushOutput(aConnection);
  }
  return rest;
}

/// Takes bytes of a body and returns those that follow it.
auto
ReceiveBody(ServerConnection& aConnection, char* aBytes, std::size_t aSize)
  -> std::string_view
{
  const auto part = ParseRequestBody(aConnection.mParser, aBytes, aSize);
  if (aConnection.mParser.mPhase == RequestPhase::Failed) {
    Refuse(aConnection, aConnection.mParser.mProblem);
    return {};
  }
  auto& body = aConnection.mBody;
  const auto needed = body.size() + part.mPayload.size();
  if (needed > body.capacity()) {
    const auto room = std::max({ needed, 2 * body.capacity(), kFirstChunks });
    if (!Hold(aConnection, kHeadUnit + room)) {
      Refuse(aConnection, kUnavailable);
      return {};
    }
    body.reserve(room);
  }
  body.append(part.mPayload);
  if (aConnection.mParser.mPhase == RequestPhase::Done) {
    Dispatch(aConnection);
  }
  return part.mRest;
}

/// Takes bytes that came, up to the end of a request. Returns what is left.
auto
Receive(ServerConnection& aConnection, char* aBytes, std::size_t aSize)
  -> std::string_view
{
  auto rest = std::string_view(aBytes, aSize);
  while (!rest.empty() && aConnection.mSocket != nullptr) {
    auto* begin = aBytes + (rest.data() - aBytes);
    switch (aConnection.mPhase) {
      case ConnectionPhase::Idle:
        EnterPhase(aConnection, ConnectionPhase::Receiving);
        aConnection.mParser = {};
        aConnection.mParser.mMaxHeadBytes =
          aConnection.mServer->mLimits.mMaxHeadBytes;
        aConnection.mParser.mMaxBodyBytes =
          aConnection.mServer->mLimits.mMaxBodyBytes;
        break;
      case ConnectionPhase::Receiving:
        rest = aConnection.mHead ? ReceiveBody(aConnection, begin, rest.size())
                                 : ReceiveHead(aConnection, begin, rest.size());
        break;
      case ConnectionPhase::Responding:
        return rest;
      case ConnectionPhase::Draining:
        return {};
    }
  }
  return rest;
}

/// Takes bytes from the socket and keeps those of the next request.
auto
TakeInput(ServerConnection& aConnection, char* aBytes, std::size_t aSize)
  -> void
{
  aConnection.mMoved[0] += aSize;
  const auto rest = Receive(aConnection, aBytes, aSize);
  if (rest.empty() || aConnection.mSocket == nullptr) {
    return;
  }
  if (!Hold(aConnection, rest.size())) {
    // NOTE: the next request has not been read, so that it may be sent again.
    aConnection.mIsPersistent = false;
    return;
  }
  aConnection.mNext = rest;
  aConnection.mNextUsed = 0;
}

/// How many bytes to read at once.
auto
ReadSize(const ServerConnection& aConnection) -> std::size_t
{
  switch (aConnection.mParser.mPhase) {
    case RequestPhase::LengthBody:
      return std::min(kBodyRead, aConnection.mParser.mBodyLeft);
    case RequestPhase::ChunkedBody:
      return kBodyRead;
    case RequestPhase::Head:
    case RequestPhase::Done:
    case RequestPhase::Failed:
      break;
  }
  return aConnection.mPhase == ConnectionPhase::Draining ? kBodyRead
                                                         : kHeadRead;
}

/// Reads a plain connection; false once it has ended.
auto
ReadPlain(ServerConnection& aConnection) -> bool
{
  // NOTE: the bytes are used up before the next connection's turn.
  static thread_local auto sBytes = std::array<char, kBodyRead>{};
  for (auto n = 0; n < kReadsAtOnce && aConnection.mIsReading; ++n) {
    const auto size = ReadSize(aConnection);
    const auto got =
      recv(h2o_socket_get_fd(aConnection.mSocket), sBytes.data(), size, 0);
    if (got < 0 && errno == EINTR) {
      continue;
    }
    if (got <= 0) {
      return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    TakeInput(aConnection, sBytes.data(), static_cast<std::size_t>(got));
    if (aConnection.mSocket == nullptr ||
        static_cast<std::size_t>(got) < size) {
      break;
    }
  }
  return true;
}

/// Takes what h2o has read and decrypted.
auto
ReadTls(ServerConnection& aConnection) -> void
{
  auto* sock = aConnection.mSocket;
  auto bytes = std::string(sock->input->bytes, sock->input->size);
  h2o_buffer_consume(&sock->input, sock->input->size);
  if (!bytes.empty()) {
    TakeInput(aConnection, bytes.data(), bytes.size());
  }
}

auto
FindConnection(h2o_socket_t* aSocket) -> std::shared_ptr<ServerConnection>
{
  auto* connection = static_cast<ServerConnection*>(aSocket->data);
  const auto& connections = connection->mServer->mConnections;
  const auto it = connections.find(connection);
  return it == connections.end() ? nullptr : it->second;
}

auto
OnReadable(h2o_socket_t* aSocket, const char* aError) -> void
{
  const auto connection = FindConnection(aSocket);
  if (connection == nullptr) {
    return;
  }
  auto isOpen = aError == nullptr;
  if (connection->mIsTls) {
    ReadTls(*connection);
  } else if (isOpen) {
    isOpen = ReadPlain(*connection);
  }
  // NOTE: a client that has sent its last request may still read.
  if (!isOpen && connection->mPhase != ConnectionPhase::Responding) {
    CloseConnection(*connection);
  }
}

auto
OnHandshake(h2o_socket_t* aSocket, const char* aError) -> void
{
  const auto connection = FindConnection(aSocket);
  if (connection == nullptr) {
    return;
  }
  if (aError != nullptr) {
    CloseConnection(*connection);
    return;
  }
  SetReading(*connection, true);
  // NOTE: the first request may have come with the end of the handshake.
  ReadTls(*connection);
}

/// Goes on after the last byte of a response.
auto
EndResponse(ServerConnection& aConnection) -> void
{
  aConnection.mResponder->mConnection = nullptr;
  aConnection.mResponder->mOnClose = {};
  aConnection.mResponder.reset();
  aConnection.mHasServed = true;
  if (!aConnection.mIsPersistent) {
    auto unread = 0;
    ioctl(h2o_socket_get_fd(aConnection.mSocket), FIONREAD, &unread);
    if (unread == 0 && aConnection.mNext.empty()) {
      CloseConnection(aConnection);
      return;
    }
    Drain(aConnection);
    FlushOutput(aConnection);
    return;
  }
  EnterPhase(aConnection, ConnectionPhase::Idle);
  if (!aConnection.mNext.empty()) {
    auto& next = aConnection.mNext;
    const auto rest = Receive(aConnection,
                              next.data() + aConnection.mNextUsed,
                              next.size() - aConnection.mNextUsed);
    if (aConnection.mSocket == nullptr) {
      return;
    }
    if (rest.empty()) {
      FreeBytes(next);
    } else {
      // NOTE: decoded chunks move what follows them.
      aConnection.mNextUsed =
        static_cast<std::size_t>(rest.data() - next.data());
      next.resize(aConnection.mNextUsed + rest.size());
      SetHeld(aConnection, next.size());
    }
  }
  SetReading(aConnection, aConnection.mPhase != ConnectionPhase::Responding);
}

/// Counts memory of the output; modulo arithmetic takes it back.
auto
CountOutput(ServerConnection& aConnection, std::size_t aBytes) -> void
{
  aConnection.mOutputBytes += aBytes;
  BudgetOf(aConnection).mUnsent += aBytes;
}

/// Drops the parts of the output that were sent.
auto
DropSent(ServerConnection& aConnection) -> void
{
  auto sent = std::exchange(aConnection.mWriting, 0);
  aConnection.mUnsentBytes -= sent;
  aConnection.mMoved[0] += sent;
  sent += aConnection.mOutputUsed;
  auto& output = aConnection.mOutput;
  while (!output.empty() && sent >= output.front().size()) {
    sent -= output.front().size();
    CountOutput(aConnection, -output.front().capacity());
    output.pop_front();
  }
  aConnection.mOutputUsed = sent;
}

auto
OnWritten(h2o_socket_t* aSocket, const char* aError) -> void
{
  const auto connection = FindConnection(aSocket);
  if (connection == nullptr) {
    auto& server = *static_cast<ServerConnection*>(aSocket->data)->mServer;
    const auto closing = server.mClosing.extract(aSocket);
    h2o_socket_close(aSocket);
    return;
  }
  connection->mIsWriting = false;
  if (aError != nullptr) {
    CloseConnection(*connection);
    return;
  }
  DropSent(*connection);
  if (connection->mPhase == ConnectionPhase::Responding) {
    connection->mSince = MonotonicNow();
  }
  const auto& responder = connection->mResponder;
  if (connection->mOutput.empty() && responder &&
      responder->mPhase == ResponsePhase::HandedOver) {
    EndResponse(*connection);
    return;
  }
  FlushOutput(*connection);
}

auto
Sweep(HttpServer& aServer) -> void;

/// Looks at all connections again and again while there are any.
auto
ScheduleSweep(HttpServer& aServer) -> void
{
  if (aServer.mSweep != 0 || aServer.mConnections.empty()) {
    return;
  }
  constexpr auto kSweepsBeforeTimeout = 8;
  const auto interval =
    std::clamp(aServer.mLimits.mRequestTimeout / kSweepsBeforeTimeout,
               kShortestSweep,
               kLongestSweep);
  aServer.mSweep = StartTimer(*aServer.mLoop, interval, [&aServer] {
    aServer.mSweep = 0;
    Sweep(aServer);
    ScheduleSweep(aServer);
  });
}

/// Ends what the connection has done for too long.
auto
CheckTimeout(ServerConnection& aConnection, TimePoint aNow) -> void
{
  const auto age = aNow - aConnection.mSince;
  const auto limit = aConnection.mServer->mLimits.mRequestTimeout;
  const auto isUnread = aConnection.mUnsentBytes > 0;
  const auto hasMoved = aConnection.mMoved[0] + aConnection.mMoved[1] > 0;
  switch (aConnection.mPhase) {
    case ConnectionPhase::Idle:
      if (age >= limit) {
        CloseConnection(aConnection);
      }
      return;
    case ConnectionPhase::Receiving:
      if (age >= limit) {
        Refuse(aConnection, kRequestTimeout);
      }
      return;
    case ConnectionPhase::Responding:
      if (isUnread && age >= limit) {
        CloseConnection(aConnection);
      }
      return;
    case ConnectionPhase::Draining:
      if (age >= limit || (age >= kDrainTime && !hasMoved)) {
        CloseConnection(aConnection);
      }
      return;
  }
}

auto
Sweep(HttpServer& aServer) -> void
{
  const auto now = MonotonicNow();
  // NOTE: a connection that ends may end others.
  auto connections = std::vector<std::shared_ptr<ServerConnection>>{};
  connections.reserve(aServer.mConnections.size());
  for (const auto& it : aServer.mConnections) {
    connections.push_back(it.second);
  }
  for (const auto& it : connections) {
    if (it->mSocket != nullptr) {
      CheckTimeout(*it, now);
      it->mMoved = { 0, it->mMoved[0] };
    }
  }
}

} // namespace

auto
ServeConnection(HttpServer& aServer, int aSocket) -> void
{
  auto connection = std::make_shared<ServerConnection>();
  auto* sock = h2o_evloop_socket_create(
    aServer.mLoop->mLoop,
    aSocket,
    H2O_SOCKET_FLAG_IS_ACCEPTED_CONNECTION |
      (aServer.mTls == nullptr ? H2O_SOCKET_FLAG_DONT_READ : 0));
  connection->mServer = &aServer;
  connection->mSocket = sock;
  connection->mIsTls = aServer.mTls != nullptr;
  sock->data = connection.get();
  aServer.mConnections.emplace(connection.get(), connection);
  auto& budget = BudgetOf(*connection);
  ++budget.mConnections;
  budget.mReceived += connection->mIsTls ? kTlsBytes : kPlainBytes;
  EnterPhase(*connection, ConnectionPhase::Idle);
  ScheduleSweep(aServer);
  if (connection->mIsTls) {
    // NOTE: h2o reads all that has come at once.
    const auto most = static_cast<int>(kBodyRead);
    setsockopt(aSocket, SOL_SOCKET, SO_RCVBUF, &most, sizeof(most));
    h2o_socket_ssl_handshake(
      sock, aServer.mTls->mContext.get(), nullptr, OnHandshake);
  } else {
    SetReading(*connection, true);
  }
}

auto
CloseConnection(ServerConnection& aConnection) -> void
{
  if (aConnection.mSocket == nullptr) {
    return;
  }
  auto& server = *aConnection.mServer;
  // NOTE: lives on while its callbacks run.
  const auto self = server.mConnections.extract(&aConnection).mapped();
  DropRequest(aConnection);
  auto& budget = BudgetOf(aConnection);
  --budget.mConnections;
  budget.mReceived -= aConnection.mIsTls ? kTlsBytes : kPlainBytes;
  budget.mUnsent -= std::exchange(aConnection.mOutputBytes, 0);
  aConnection.mUnsentBytes = 0;
  auto* sock = std::exchange(aConnection.mSocket, nullptr);
  aConnection.mIsReading = false;
  if (aConnection.mIsWriting) {
    // NOTE: h2o frees closed sockets before it calls back for a write that is
    // done, and a write under way needs its bytes.
    h2o_socket_read_stop(sock);
    if (!aConnection.mEndsWithReset) {
      shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
    }
    server.mClosing.emplace(sock, self);
  } else {
    h2o_socket_close(sock);
    aConnection.mOutput.clear();
  }
  FreeBytes(aConnection.mNext);
  const auto responder = std::move(aConnection.mResponder);
  if (!responder) {
    return;
  }
  responder->mConnection = nullptr;
  const auto isEarly = responder->mPhase != ResponsePhase::HandedOver &&
                       responder->mPhase != ResponsePhase::Cut;
  const auto onClose = std::exchange(responder->mOnClose, {});
  if (isEarly && onClose) {
    onClose();
  }
}

auto
EvictConnection(ServerConnection& aConnection) -> void
{
  if (aConnection.mPhase == ConnectionPhase::Receiving) {
    Refuse(aConnection, kRequestTimeout);
  } else {
    CloseConnection(aConnection);
  }
}

auto
AppendOutput(ServerConnection& aConnection, std::string aBytes) -> void
{
  if (aBytes.empty()) {
    return;
  }
  aConnection.mUnsentBytes += aBytes.size();
  auto& output = aConnection.mOutput;
  // NOTE: what is being sent must stay where it is.
  const auto mayJoin = !aConnection.mIsWriting && !output.empty() &&
                       output.back().size() + aBytes.size() <= kJoinedBytes;
  if (mayJoin) {
    CountOutput(aConnection, -output.back().capacity());
    output.back() += aBytes;
  } else {
    output.push_back(std::move(aBytes));
  }
  CountOutput(aConnection, output.back().capacity());
}

auto
FlushOutput(ServerConnection& aConnection) -> void
{
  if (aConnection.mSocket == nullptr || aConnection.mIsWriting) {
    return;
  }
  auto parts = std::array<h2o_iovec_t, kWriteParts>{};
  auto count = std::size_t{ 0 };
  auto skipped = aConnection.mOutputUsed;
  for (auto& it : aConnection.mOutput) {
    const auto room = kWriteAtOnce - aConnection.mWriting;
    if (count == parts.size() || room == 0) {
      break;
    }
    const auto size = std::min(it.size() - skipped, room);
    parts.at(count++) = h2o_iovec_init(it.data() + skipped, size);
    aConnection.mWriting += size;
    skipped = 0;
  }
  const auto isLast = aConnection.mWriting == aConnection.mUnsentBytes;
  const auto& responder = aConnection.mResponder;
  if (isLast && responder && responder->mPhase == ResponsePhase::Ended) {
    responder->mPhase = ResponsePhase::HandedOver;
  }
  if (count > 0) {
    aConnection.mIsWriting = true;
    h2o_socket_write(aConnection.mSocket, parts.data(), count, OnWritten);
  } else if (aConnection.mPhase == ConnectionPhase::Draining &&
             !aConnection.mIsTls) {
    shutdown(h2o_socket_get_fd(aConnection.mSocket), SHUT_WR);
  }
}

auto
FinishOutput(ServerConnection& aConnection) -> void
{
  if (aConnection.mUnsentBytes > 0) {
    FlushOutput(aConnection);
    return;
  }
  // NOTE: the response ends in a later round of the loop, as others do, since
  // the next request may be served then.
  aConnection.mResponder->mPhase = ResponsePhase::HandedOver;
  aConnection.mIsWriting = true;
  auto nothing = h2o_iovec_init(nullptr, 0);
  h2o_socket_write(aConnection.mSocket, &nothing, 1, OnWritten);
}

auto
FormatResponseHead(int aStatus,
                   const Headers& aHeaders,
                   bool aIsPersistent,
                   std::optional<std::size_t> aBodyBytes,
                   bool aIsChunked) -> std::string
{
  constexpr auto kNameOfDate = std::size_t{ 64 };
  const auto now = std::time(nullptr);
  auto parts = std::tm{};
  auto date = std::array<char, kNameOfDate>{};
  gmtime_r(&now, &parts);
  const auto size = std::strftime(
    date.data(), date.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  auto text = "HTTP/1.1 " + std::to_string(aStatus) +
              " status\r\nDate: " + std::string(date.data(), size) +
              "\r\nConnection: " + (aIsPersistent ? "keep-alive" : "close") +
              "\r\nServer: cuminslip\r\n";
  if (aBodyBytes) {
    text += "content-length: " + std::to_string(*aBodyBytes) + "\r\n";
  }
  if (aIsChunked) {
    text += "transfer-encoding: chunked\r\n";
  }
  for (const auto& it : aHeaders) {
    text += it.mName + ": " + it.mValue + "\r\n";
  }
  return text + "\r\n";
}

auto
UseOf(const ServerConnection& aConnection) -> ConnectionUse
{
  const auto isAnswered = aConnection.mPhase == ConnectionPhase::Responding ||
                          aConnection.mPhase == ConnectionPhase::Draining;
  return { aConnection.mPhase,
           aConnection.mHasServed,
           isAnswered ? aConnection.mOutputBytes : aConnection.mHeldBytes,
           aConnection.mMoved[0] + aConnection.mMoved[1],
           MillisBetween(aConnection.mSince, MonotonicNow()) };
}

} // namespace cuminslip::wire
