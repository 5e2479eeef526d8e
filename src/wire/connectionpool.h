#pragma once

#include "wire/eventloop.h"
#include "wire/tls.h"
#include "wire/types/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

/// HTTP/1.1 client that keeps connections between exchanges. It frames answers
/// itself, on h2o's sockets, so that a cut answer is told from a whole one and
/// an answer to another request is never taken for the one awaited. All
/// functions are for the loop's thread.
namespace cuminslip::wire {

/// How an exchange ended.
enum class ExchangeEnd : std::uint8_t
{
  /// The answer was received whole: its framing says so, or the request was
  /// written whole and the connection ended without an error.
  Complete,
  /// No connection was made; no byte of the request was sent.
  NotConnected,
  /// The connection ended before the answer was whole.
  Broken,
  /// The bytes received are no HTTP answer.
  Malformed,
  /// The answer's head or body is larger than allowed.
  TooLarge,
  /// The answer lacks the header to repeat, and its connection has carried
  /// another answer, whose late copy it may be. No handler got its head.
  Unattributed
};

/// One request and how to send it. The request's headers are sent as they are,
/// with a content-length for its body.
struct Exchange
{
  SocketAddress mAddress;
  HttpRequest mRequest;
  /// A header that the answer repeats. An answer with another value belongs to
  /// an earlier request and is dropped; one without the header is accepted on a
  /// new connection only. An empty value stands for an answer without the
  /// header. Not checked when the name is empty.
  Header mEcho;
  /// Never uses a kept connection, whose server may be closing it.
  bool mNeedsNewConnection = false;
  Millis mConnectTimeout{ 1000 };
  /// Longest head of the answer; 0 takes the pool's limit.
  std::size_t mMaxHeadBytes = 0;
  /// Longest body of the answer; 0 for any.
  std::size_t mMaxBodyBytes = 0;
  /// The answer's body is kept until it is whole, so that more of it is read
  /// only while there is room.
  bool mIsKept = false;

  auto operator==(const Exchange&) const -> bool = default;
};

struct ExchangeResult
{
  ExchangeEnd mEnd = ExchangeEnd::Complete;
  /// The request went over a connection that had served another before.
  bool mWasKept = false;
  /// The answer had neither a length nor chunks and ended with its connection,
  /// so that a cut at this place looks the same.
  bool mIsUnframed = false;
  /// The peer acknowledged nothing any more, so that it may be running.
  bool mIsSilent = false;

  auto operator==(const ExchangeResult&) const -> bool = default;
};

/// mOnEnd comes exactly once unless the exchange is cancelled; after it, and
/// after a cancel, nothing more comes. None runs before StartExchange returns.
struct ExchangeHandlers
{
  /// A connection was there and the request was given to it.
  std::function<void()> mOnSent;
  std::function<void(int aStatus, const Headers& aHeaders)> mOnHead;
  std::function<void(std::string_view aPiece)> mOnPiece;
  std::function<void(const ExchangeResult& aResult)> mOnEnd;
};

struct PoolSettings
{
  /// Idle connections kept for each address.
  std::size_t mMaxIdlePerAddress = 8;
  /// Idle connections are not used after this long, or after the time that the
  /// server stated, less a margin.
  Millis mMaxIdleTime{ 4000 };
  /// A peer that acknowledges nothing for this long is taken as lost.
  Millis mSilenceTimeout{ 2000 };
  std::size_t mMaxHeadBytes = std::size_t{ 32 } * 1024;
  /// Bytes received on end that are no part of the awaited answer's body, such
  /// as interim and foreign answers, after which the server is given up.
  std::size_t mMaxUselessBytes = std::size_t{ 1024 } * 1024;
  /// Bytes of a kept answer that are read without asking.
  std::size_t mSmallAnswer = std::size_t{ 64 } * 1024;
  /// True if aMore bytes of kept answers may be held. Answers that have to wait
  /// go on in the order in which they came. Without the function any may.
  std::function<bool(std::size_t aMore)> mMayHold = nullptr;
};

struct PoolCounters
{
  std::uint64_t mConnectionsOpened = 0;
  std::uint64_t mForeignAnswers = 0;
  std::uint64_t mUnattributedAnswers = 0;
  std::uint64_t mStrayBytes = 0;

  auto operator==(const PoolCounters&) const -> bool = default;
};

struct ConnectionPool;
struct ConnectionPoolDeleter
{
  auto operator()(ConnectionPool* aPool) const -> void;
};
using ConnectionPoolPtr =
  std::unique_ptr<ConnectionPool, ConnectionPoolDeleter>;

/// Number of a started exchange; 0 is never one.
using ExchangeId = std::uint64_t;

/// Creates a pool. Destroying it cancels its exchanges. Precondition: aLoop
/// outlives it.
auto
CreateConnectionPool(EventLoop& aLoop, PoolSettings aSettings)
  -> ConnectionPoolPtr;

/// Sends a request, over a kept connection if there is one.
auto
StartExchange(ConnectionPool& aPool,
              Exchange aExchange,
              ExchangeHandlers aHandlers) -> ExchangeId;

/// Closes the exchange's connection. One that has ended, or 0, is ignored.
auto
CancelExchange(ConnectionPool& aPool, ExchangeId aExchange) -> void;

/// Makes later connections use aTls, or be plain when it is null. A server
/// whose certificate is refused counts as not connected.
auto
SetTls(ConnectionPool& aPool, TlsContextPtr aTls) -> void;

/// Bytes set aside for kept answers that are not whole, or held of them.
auto
HeldBytes(const ConnectionPool& aPool) -> std::size_t;

auto
CountersOf(const ConnectionPool& aPool) -> const PoolCounters&;

} // namespace cuminslip::wire
