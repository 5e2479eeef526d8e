#pragma once

#include "wire/eventloop.h"
#include "wire/tls.h"
#include "wire/types/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

/// HTTP client on an event loop. All functions are for the loop's thread.
namespace cuminslip::wire {

/// Why a call ended.
enum class CallEnd : std::uint8_t
{
  /// The response was received whole.
  Complete,
  /// No connection was made; no byte of the request was sent.
  NotConnected,
  /// The connection broke after the request may have been sent.
  Broken,
  /// The head or the body was larger than allowed.
  TooLarge,
  /// The call's own time ran out.
  TimedOut
};

/// A request to a server.
struct HttpCall
{
  SocketAddress mAddress;
  HttpRequest mRequest;
  Millis mTimeout{ 30000 };
  std::size_t mMaxHeadBytes = std::size_t{ 64 } * 1024;

  auto operator==(const HttpCall&) const -> bool = default;
};

/// What the caller of a call hears. mOnEnd comes exactly once, unless the call
/// is cancelled; after it, and after a cancel, nothing more comes.
struct CallHandlers
{
  std::function<void(int aStatus, const Headers& aHeaders)> mOnHead;
  std::function<void(std::string_view aPiece)> mOnPiece;
  std::function<void(CallEnd aEnd)> mOnEnd;
};

struct HttpClient;
struct HttpClientDeleter
{
  auto operator()(HttpClient* aClient) const -> void;
};
using HttpClientPtr = std::unique_ptr<HttpClient, HttpClientDeleter>;

/// Number of a started call; 0 is never one.
using CallId = std::uint64_t;

/// Creates a client. Destroying it cancels its calls.
auto
CreateHttpClient(EventLoop& aLoop) -> HttpClientPtr;

/// Makes later calls use aTls, or be plain when it is null. A server whose
/// certificate is refused counts as not connected.
auto
SetTls(HttpClient& aClient, TlsContextPtr aTls) -> void;

/// Sends aCall on a connection of its own. No handler runs before it returns.
auto
StartCall(HttpClient& aClient, const HttpCall& aCall, CallHandlers aHandlers)
  -> CallId;

/// Closes the call's connection. One that has ended, or 0, is ignored.
auto
CancelCall(HttpClient& aClient, CallId aCall) -> void;

/// Number of calls open now.
auto
CountCalls(const HttpClient& aClient) -> std::size_t;

/// Sends aCall and collects the response; the body is bounded by aMaxBody.
/// mBody is what had come when the end was other than Complete.
auto
FetchResponse(HttpClient& aClient,
              const HttpCall& aCall,
              std::size_t aMaxBody,
              std::function<void(CallEnd, const HttpResponse&)> aDone)
  -> CallId;

} // namespace cuminslip::wire
