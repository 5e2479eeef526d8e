#include "wire/httpclient.h"

#include "wire/connectionpool.h"

#include <map>

namespace cuminslip::wire {

struct HttpClient
{
  EventLoop* mLoop = nullptr;
  ConnectionPoolPtr mPool;
  CallId mNextCall = 1;

  struct OpenCall
  {
    ExchangeId mExchange = 0;
    TimerId mTimeout = 0;
    bool mHasSent = false;
    CallHandlers mHandlers;
  };
  std::map<CallId, std::shared_ptr<OpenCall>> mCalls;
};

namespace {

auto
ToCallEnd(ExchangeEnd aEnd) -> CallEnd
{
  switch (aEnd) {
    case ExchangeEnd::Complete:
      return CallEnd::Complete;
    case ExchangeEnd::NotConnected:
      return CallEnd::NotConnected;
    case ExchangeEnd::TooLarge:
      return CallEnd::TooLarge;
    case ExchangeEnd::Broken:
    case ExchangeEnd::Malformed:
    case ExchangeEnd::Unattributed:
      break;
  }
  return CallEnd::Broken;
}

/// Forgets a call and returns it; null when it has ended.
auto
RemoveCall(HttpClient& aClient, CallId aCall)
  -> std::shared_ptr<HttpClient::OpenCall>
{
  auto call = aClient.mCalls.extract(aCall);
  if (call.empty()) {
    return nullptr;
  }
  StopTimer(*aClient.mLoop, call.mapped()->mTimeout);
  return std::move(call.mapped());
}

auto
EndCall(HttpClient& aClient, CallId aCall, CallEnd aEnd) -> void
{
  const auto call = RemoveCall(aClient, aCall);
  if (call && call->mHandlers.mOnEnd) {
    call->mHandlers.mOnEnd(aEnd);
  }
}

auto
ToExchange(const HttpCall& aCall) -> Exchange
{
  auto exchange = Exchange{};
  exchange.mAddress = aCall.mAddress;
  exchange.mRequest = aCall.mRequest;
  auto& headers = exchange.mRequest.mHeaders;
  headers.insert(
    headers.begin(),
    { { "host", FormatAddress(aCall.mAddress) }, { "connection", "close" } });
  exchange.mNeedsNewConnection = true;
  exchange.mConnectTimeout = aCall.mTimeout;
  exchange.mMaxHeadBytes = aCall.mMaxHeadBytes;
  return exchange;
}

auto
MakeHandlers(HttpClient& aClient, CallId aId) -> ExchangeHandlers
{
  const auto call = aClient.mCalls.at(aId);
  auto handlers = ExchangeHandlers{};
  handlers.mOnSent = [call] { call->mHasSent = true; };
  handlers.mOnHead = [call](int aStatus, const Headers& aHeaders) {
    if (call->mHandlers.mOnHead) {
      call->mHandlers.mOnHead(aStatus, aHeaders);
    }
  };
  handlers.mOnPiece = [call](std::string_view aPiece) {
    if (call->mHandlers.mOnPiece) {
      call->mHandlers.mOnPiece(aPiece);
    }
  };
  handlers.mOnEnd = [&aClient, aId](const ExchangeResult& aResult) {
    EndCall(aClient, aId, ToCallEnd(aResult.mEnd));
  };
  return handlers;
}

auto
OnTimeout(HttpClient& aClient, CallId aCall) -> void
{
  const auto call = aClient.mCalls.at(aCall);
  call->mTimeout = 0;
  CancelExchange(*aClient.mPool, call->mExchange);
  EndCall(
    aClient, aCall, call->mHasSent ? CallEnd::TimedOut : CallEnd::NotConnected);
}

} // namespace

auto
HttpClientDeleter::operator()(HttpClient* aClient) const -> void
{
  while (!aClient->mCalls.empty()) {
    CancelCall(*aClient, aClient->mCalls.begin()->first);
  }
  delete aClient;
}

auto
CreateHttpClient(EventLoop& aLoop) -> HttpClientPtr
{
  auto client = HttpClientPtr(new HttpClient);
  client->mLoop = &aLoop;
  client->mPool = CreateConnectionPool(aLoop, {});
  return client;
}

auto
SetTls(HttpClient& aClient, TlsContextPtr aTls) -> void
{
  SetTls(*aClient.mPool, std::move(aTls));
}

auto
StartCall(HttpClient& aClient, const HttpCall& aCall, CallHandlers aHandlers)
  -> CallId
{
  const auto id = aClient.mNextCall++;
  auto call = std::make_shared<HttpClient::OpenCall>();
  call->mHandlers = std::move(aHandlers);
  call->mTimeout = StartTimer(
    *aClient.mLoop, aCall.mTimeout, [&aClient, id] { OnTimeout(aClient, id); });
  aClient.mCalls.emplace(id, call);
  call->mExchange =
    StartExchange(*aClient.mPool, ToExchange(aCall), MakeHandlers(aClient, id));
  return id;
}

auto
CancelCall(HttpClient& aClient, CallId aCall) -> void
{
  if (const auto call = RemoveCall(aClient, aCall)) {
    CancelExchange(*aClient.mPool, call->mExchange);
  }
}

auto
CountCalls(const HttpClient& aClient) -> std::size_t
{
  return aClient.mCalls.size();
}

auto
FetchResponse(HttpClient& aClient,
              const HttpCall& aCall,
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
  fetch->mCall = StartCall(aClient, aCall, std::move(handlers));
  return fetch->mCall;
}

} // namespace cuminslip::wire
