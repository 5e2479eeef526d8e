#include "wire/httpclient.h"

#include "wire/internal/eventloopstate.h"
#include "wire/internal/tlscontext.h"

#include <cstring>
#include <map>
#include <optional>

namespace cuminslip::wire {

namespace {

struct OpenCall
{
  HttpClient* mOwner = nullptr;
  CallId mId = 0;
  HttpCall mCall;
  CallHandlers mHandlers;
  std::string mHead;
  h2o_http1client_t* mClient = nullptr;
  TimerId mTimeout = 0;
  TimerId mHeadCheck = 0;
  h2o_iovec_t mBuffers[2]{};
  bool mIsConnected = false;
  bool mIsInCallback = false;
  bool mIsCancelled = false;
};

} // namespace

struct HttpClient
{
  EventLoop* mLoop = nullptr;
  h2o_timeout_t mIoTimeout{};
  h2o_http1client_ctx_t mContext{};
  TlsContextPtr mTls;
  CallId mNextCall = 1;
  std::map<CallId, std::unique_ptr<OpenCall>> mCalls;
};

namespace {

constexpr auto kIoTimeout = Millis(24 * 3600 * 1000);
constexpr auto kHeadCheckInterval = Millis(20);
constexpr auto kStopReading = -1;

auto
FormatRequestHead(const HttpCall& aCall) -> std::string
{
  const auto& request = aCall.mRequest;
  auto head = request.mMethod + " " + request.mPath;
  if (!request.mQuery.empty()) {
    head += "?" + request.mQuery;
  }
  head += " HTTP/1.1\r\nhost: " + FormatAddress(aCall.mAddress) + "\r\n";
  head += "connection: close\r\n";
  head += "content-length: " + std::to_string(request.mBody.size()) + "\r\n";
  for (const auto& header : request.mHeaders) {
    head += header.mName + ": " + header.mValue + "\r\n";
  }
  head += "\r\n";
  return head;
}

/// Forgets a call and returns its handlers; the h2o client is not touched.
auto
RemoveCall(OpenCall& aCall) -> CallHandlers
{
  auto& owner = *aCall.mOwner;
  StopTimer(*owner.mLoop, aCall.mTimeout);
  StopTimer(*owner.mLoop, aCall.mHeadCheck);
  auto handlers = std::move(aCall.mHandlers);
  owner.mCalls.erase(aCall.mId);
  return handlers;
}

/// Ends a call from within an h2o callback, which closes the connection.
auto
EndInCallback(OpenCall& aCall, CallEnd aEnd) -> void
{
  const auto isCancelled = aCall.mIsCancelled;
  const auto handlers = RemoveCall(aCall);
  if (!isCancelled && handlers.mOnEnd) {
    handlers.mOnEnd(aEnd);
  }
}

/// Ends a call from outside h2o's callbacks.
auto
EndFromOutside(OpenCall& aCall, CallEnd aEnd) -> void
{
  auto* client = aCall.mClient;
  const auto handlers = RemoveCall(aCall);
  h2o_http1client_cancel(client);
  if (handlers.mOnEnd) {
    handlers.mOnEnd(aEnd);
  }
}

auto
DeliverInput(OpenCall& aCall, h2o_http1client_t& aClient) -> void
{
  auto& input = aClient.sock->input;
  if (input->size == 0) {
    return;
  }
  aCall.mIsInCallback = true;
  if (aCall.mHandlers.mOnPiece) {
    aCall.mHandlers.mOnPiece({ input->bytes, input->size });
  }
  aCall.mIsInCallback = false;
  h2o_buffer_consume(&input, input->size);
}

auto
OnBody(h2o_http1client_t* aClient, const char* aError) -> int
{
  auto& call = *static_cast<OpenCall*>(aClient->data);
  if (aError != nullptr && aError != h2o_http1client_error_is_eos) {
    EndInCallback(call, CallEnd::Broken);
    return kStopReading;
  }
  DeliverInput(call, *aClient);
  if (call.mIsCancelled) {
    RemoveCall(call);
    return kStopReading;
  }
  if (aError == h2o_http1client_error_is_eos) {
    EndInCallback(call, CallEnd::Complete);
  }
  return 0;
}

auto
ToHeaders(const h2o_header_t* aHeaders, std::size_t aCount) -> Headers
{
  auto headers = Headers{};
  for (auto i = std::size_t{ 0 }; i < aCount; ++i) {
    const auto& header = aHeaders[i];
    headers.push_back({ { header.name->base, header.name->len },
                        { header.value.base, header.value.len } });
  }
  return headers;
}

auto
CountBytes(const Headers& aHeaders) -> std::size_t
{
  auto count = std::size_t{ 0 };
  for (const auto& header : aHeaders) {
    count += header.mName.size() + header.mValue.size();
  }
  return count;
}

auto
OnHead(h2o_http1client_t* aClient,
       const char* aError,
       int,
       int aStatus,
       h2o_iovec_t,
       h2o_header_t* aHeaders,
       size_t aCount,
       int) -> h2o_http1client_body_cb
{
  auto& call = *static_cast<OpenCall*>(aClient->data);
  if (aError != nullptr && aError != h2o_http1client_error_is_eos) {
    EndInCallback(call, CallEnd::Broken);
    return nullptr;
  }
  StopTimer(*call.mOwner->mLoop, std::exchange(call.mHeadCheck, 0));
  const auto headers = ToHeaders(aHeaders, aCount);
  if (CountBytes(headers) > call.mCall.mMaxHeadBytes) {
    EndInCallback(call, CallEnd::TooLarge);
    return nullptr;
  }
  call.mIsInCallback = true;
  if (call.mHandlers.mOnHead) {
    call.mHandlers.mOnHead(aStatus, headers);
  }
  call.mIsInCallback = false;
  if (call.mIsCancelled) {
    RemoveCall(call);
    return nullptr;
  }
  if (aError == h2o_http1client_error_is_eos) {
    EndInCallback(call, CallEnd::Complete);
    return nullptr;
  }
  return OnBody;
}

auto
OnConnect(h2o_http1client_t* aClient,
          const char* aError,
          h2o_iovec_t** aBuffers,
          size_t* aBufferCount,
          int* aIsHead) -> h2o_http1client_head_cb
{
  auto& call = *static_cast<OpenCall*>(aClient->data);
  if (aError != nullptr) {
    EndInCallback(call, CallEnd::NotConnected);
    return nullptr;
  }
  call.mIsConnected = true;
  call.mHead = FormatRequestHead(call.mCall);
  auto& body = call.mCall.mRequest.mBody;
  call.mBuffers[0] = h2o_iovec_init(call.mHead.data(), call.mHead.size());
  call.mBuffers[1] = h2o_iovec_init(body.data(), body.size());
  *aBuffers = call.mBuffers;
  *aBufferCount = body.empty() ? 1 : 2;
  *aIsHead = call.mCall.mRequest.mMethod == "HEAD" ? 1 : 0;
  return OnHead;
}

auto
FindCall(HttpClient& aClient, CallId aCall) -> OpenCall*
{
  const auto it = aClient.mCalls.find(aCall);
  return it == aClient.mCalls.end() ? nullptr : it->second.get();
}

auto
CheckHeadSize(HttpClient& aClient, CallId aCall) -> void
{
  auto* call = FindCall(aClient, aCall);
  if (call == nullptr) {
    return;
  }
  const auto* sock = call->mClient->sock;
  const auto isTooLarge = call->mIsConnected && sock != nullptr &&
                          sock->input->size > call->mCall.mMaxHeadBytes;
  if (isTooLarge) {
    EndFromOutside(*call, CallEnd::TooLarge);
    return;
  }
  call->mHeadCheck =
    StartTimer(*aClient.mLoop, kHeadCheckInterval, [&aClient, aCall] {
      CheckHeadSize(aClient, aCall);
    });
}

auto
OnTimeout(HttpClient& aClient, CallId aCall) -> void
{
  auto* call = FindCall(aClient, aCall);
  if (call == nullptr) {
    return;
  }
  call->mTimeout = 0;
  EndFromOutside(
    *call, call->mIsConnected ? CallEnd::TimedOut : CallEnd::NotConnected);
}

auto
Connect(HttpClient& aClient, OpenCall& aCall) -> void
{
  const auto& host = aCall.mCall.mAddress.mHost;
  h2o_http1client_connect(
    &aCall.mClient,
    &aCall,
    &aClient.mContext,
    h2o_iovec_init(host.data(), host.size()),
    static_cast<std::uint16_t>(aCall.mCall.mAddress.mPort),
    aClient.mTls != nullptr ? 1 : 0,
    OnConnect);
}

} // namespace

auto
HttpClientDeleter::operator()(HttpClient* aClient) const -> void
{
  while (!aClient->mCalls.empty()) {
    CancelCall(*aClient, aClient->mCalls.begin()->first);
  }
  h2o_timeout_dispose(aClient->mLoop->mLoop, &aClient->mIoTimeout);
  delete aClient;
}

auto
CreateHttpClient(EventLoop& aLoop) -> HttpClientPtr
{
  auto client = HttpClientPtr(new HttpClient);
  client->mLoop = &aLoop;
  h2o_timeout_init(aLoop.mLoop,
                   &client->mIoTimeout,
                   static_cast<std::uint64_t>(kIoTimeout.count()));
  client->mContext.loop = aLoop.mLoop;
  client->mContext.getaddr_receiver = &aLoop.mReceiver;
  client->mContext.io_timeout = &client->mIoTimeout;
  return client;
}

auto
SetTls(HttpClient& aClient, TlsContextPtr aTls) -> void
{
  aClient.mTls = std::move(aTls);
  aClient.mContext.ssl_ctx =
    aClient.mTls == nullptr ? nullptr : aClient.mTls->mContext.get();
}

auto
StartCall(HttpClient& aClient, HttpCall aCall, CallHandlers aHandlers) -> CallId
{
  const auto id = aClient.mNextCall++;
  auto call = std::make_unique<OpenCall>();
  call->mOwner = &aClient;
  call->mId = id;
  call->mCall = std::move(aCall);
  call->mHandlers = std::move(aHandlers);
  auto& entry = *aClient.mCalls.emplace(id, std::move(call)).first->second;
  entry.mTimeout = StartTimer(*aClient.mLoop,
                              entry.mCall.mTimeout,
                              [&aClient, id] { OnTimeout(aClient, id); });
  entry.mHeadCheck = StartTimer(*aClient.mLoop,
                                kHeadCheckInterval,
                                [&aClient, id] { CheckHeadSize(aClient, id); });
  Connect(aClient, entry);
  return id;
}

auto
CancelCall(HttpClient& aClient, CallId aCall) -> void
{
  auto* call = FindCall(aClient, aCall);
  if (call == nullptr) {
    return;
  }
  if (call->mIsInCallback) {
    call->mIsCancelled = true;
    return;
  }
  auto* client = call->mClient;
  RemoveCall(*call);
  h2o_http1client_cancel(client);
}

auto
CountCalls(const HttpClient& aClient) -> std::size_t
{
  return aClient.mCalls.size();
}

auto
FetchResponse(HttpClient& aClient,
              HttpCall aCall,
              std::size_t aMaxBody,
              std::function<void(CallEnd, const HttpResponse&)> aDone) -> CallId
{
  struct Fetch
  {
    HttpResponse mResponse;
    CallId mCall = 0;
    std::function<void(CallEnd, const HttpResponse&)> mDone;
  };
  const auto fetch = std::make_shared<Fetch>();
  fetch->mDone = std::move(aDone);
  auto handlers = CallHandlers{};
  handlers.mOnHead = [fetch](int aStatus, const Headers& aHeaders) {
    fetch->mResponse.mStatus = aStatus;
    fetch->mResponse.mHeaders = aHeaders;
  };
  handlers.mOnPiece = [fetch, aMaxBody, &aClient](std::string_view aPiece) {
    if (fetch->mResponse.mBody.size() + aPiece.size() > aMaxBody) {
      CancelCall(aClient, fetch->mCall);
      fetch->mDone(CallEnd::TooLarge, fetch->mResponse);
      return;
    }
    fetch->mResponse.mBody += aPiece;
  };
  handlers.mOnEnd = [fetch](CallEnd aEnd) {
    fetch->mDone(aEnd, fetch->mResponse);
  };
  fetch->mCall = StartCall(aClient, std::move(aCall), std::move(handlers));
  return fetch->mCall;
}

} // namespace cuminslip::wire
