#pragma once

#include "forwarding/forwarder.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>

/// Fakes of endpoints, callers, timers and other instances.
namespace cuminslip::forwarding::testing {

/// One request as received by an endpoint.
struct FakeSend
{
  wire::ExchangeId mId = 0;
  wire::Exchange mExchange;
  wire::ExchangeHandlers mHandlers;
  bool mIsCancelled = false;

  auto Header(std::string_view aName) const -> std::string
  {
    return wire::FindHeader(mExchange.mRequest.mHeaders, aName).value_or("");
  }
};

/// What a caller received.
struct FakeCaller
{
  std::optional<wire::HttpResponse> mResponse;
  int mStreamStatus = 0;
  std::string mStreamed;
  bool mIsFinished = false;
  bool mIsAborted = false;
  bool mIsDisconnected = false;
  bool mIsReading = true;
};

struct FakeWorld
{
  ManualClock mClock;
  std::map<wire::TimerId, std::pair<TimePoint, std::function<void()>>> mTimers;
  wire::TimerId mNextTimer = 1;
  std::vector<std::shared_ptr<FakeSend>> mSends;
  std::vector<std::pair<std::string, std::string>> mNotices;
  ForwarderPtr mForwarder;
  /// Requests come from another instance, which this one accepts or not.
  bool mAsksAsInstance = false;
  bool mIsAccepting = true;

  explicit FakeWorld(std::string aPeerAddress = "10.0.0.1:7000",
                     ForwardSettings aSettings = {})
  {
    auto settings = std::move(aSettings);
    settings.mFailureDomain = { "a" };
    settings.mPeerAddress = std::move(aPeerAddress);
    settings.mIncarnation = 1;
    settings.mRetryBudget.mSlack = 100;
    settings.mView.mSilentAfter = Millis(2000);
    mForwarder = CreateForwarder(std::move(settings), MakePorts(), 1);
    SetEntries(*mForwarder,
               { { "10.0.0.1:7000", { "a" } }, { "10.0.0.2:7000", { "a" } } });
  }

  static auto MakeCodec() -> EndpointCodec
  {
    auto codec = EndpointCodec{};
    codec.mWriteHeaders = [](const ForwardRequest& aRequest,
                             const AttemptParameters& aFacts) {
      auto headers =
        wire::Headers{ { "id", aRequest.mId.mValue },
                       { "endpoint", aFacts.mEndpoint.mValue },
                       { "account", aFacts.mAccount.mValue },
                       { "allowance",
                         std::to_string(aFacts.mAllowance.count()) } };
      if (aFacts.mLastEvent) {
        headers.push_back({ "after", std::to_string(*aFacts.mLastEvent) });
      }
      if (aFacts.mUrgency) {
        headers.push_back({ "urgency", std::to_string(*aFacts.mUrgency) });
      }
      for (const auto& it : aFacts.mHelpers) {
        headers.push_back({ "helper", it.mAddress + "/" + it.mHolding.mValue });
      }
      return headers;
    };
    codec.mEchoOf = [](const ForwardRequest& aRequest) {
      return wire::Header{ "id", aRequest.mId.mValue };
    };
    codec.mReadAnswer = [](int, const wire::Headers& aHeaders) {
      auto facts = AnswerFacts{};
      facts.mHasNotRun = wire::FindHeader(aHeaders, "not-run").has_value();
      facts.mIsGenuine = wire::FindHeader(aHeaders, "seal").has_value();
      if (const auto limit = wire::FindHeader(aHeaders, "limit")) {
        facts.mStatement.mRequestRate = std::stod(*limit);
      }
      if (const auto pause = wire::FindHeader(aHeaders, "pause")) {
        facts.mStatement.mPause = Millis(std::stoi(*pause));
      }
      if (const auto cold = wire::FindHeader(aHeaders, "cold")) {
        facts.mStatement.mWarmUpTime = Millis(std::stoi(*cold));
      }
      facts.mStatement.mIsLeaving =
        wire::FindHeader(aHeaders, "leaving").has_value();
      facts.mStatement.mIsMalformed =
        wire::FindHeader(aHeaders, "malformed").has_value();
      facts.mHeaders = aHeaders;
      return facts;
    };
    codec.mWriteFailure = [](const ForwardRequest&, const Failure& aFailure) {
      auto headers = wire::Headers{};
      if (aFailure.mRetryAfter) {
        headers.push_back(
          { "retry", std::to_string(aFailure.mRetryAfter->count()) });
      }
      return wire::HttpResponse{ 0,
                                 headers,
                                 std::string(ToText(aFailure.mKind)) };
    };
    codec.mWriteReservation = [](const ReservationOrder& aOrder,
                                 const std::string&) {
      auto request = wire::HttpRequest{};
      request.mPath = aOrder.mLease > Millis(0) ? "/hold" : "/release";
      request.mBody = aOrder.mId.mValue;
      return request;
    };
    codec.mIsReserved = [](int aStatus) { return aStatus == 200; };
    return codec;
  }

  auto MakePorts() -> ForwardPorts
  {
    auto ports = ForwardPorts{};
    ports.mNow = NowOf(mClock);
    ports.mCodec = MakeCodec();
    ports.mExchanges.mStart = [this](wire::Exchange aExchange,
                                     wire::ExchangeHandlers aHandlers) {
      mSends.push_back(std::make_shared<FakeSend>(FakeSend{
        mSends.size() + 1, std::move(aExchange), std::move(aHandlers) }));
      return mSends.back()->mId;
    };
    ports.mExchanges.mCancel = [this](wire::ExchangeId aId) {
      if (aId != 0) {
        mSends.at(aId - 1)->mIsCancelled = true;
      }
    };
    ports.mTimers.mStart = [this](Micros aDelay,
                                  std::function<void()> aAction) {
      mTimers[mNextTimer] = { mClock.mNow + aDelay, std::move(aAction) };
      return mNextTimer++;
    };
    ports.mTimers.mStop = [this](wire::TimerId aTimer) {
      mTimers.erase(aTimer);
    };
    ports.mSendNotice = [this](const std::string& aAddress,
                               const std::string& aBytes) {
      mNotices.emplace_back(aAddress, aBytes);
    };
    return ports;
  }

  /// Advances the clock and runs the timers that are due.
  auto Run(Millis aTime) -> void
  {
    const auto end = mClock.mNow + aTime;
    while (true) {
      auto due = mTimers.end();
      for (auto it = mTimers.begin(); it != mTimers.end(); ++it) {
        if (it->second.first <= end &&
            (due == mTimers.end() || it->second.first < due->second.first)) {
          due = it;
        }
      }
      if (due == mTimers.end()) {
        break;
      }
      mClock.mNow = std::max(mClock.mNow, due->second.first);
      const auto action = std::move(due->second.second);
      mTimers.erase(due);
      action();
    }
    mClock.mNow = end;
  }

  auto Ask(ForwardRequest aRequest) -> std::shared_ptr<FakeCaller>
  {
    auto caller = std::make_shared<FakeCaller>();
    auto port = wire::CallerPort{};
    port.mRespond = [caller](const wire::HttpResponse& aResponse) {
      BOOST_TEST(!caller->mResponse.has_value(), "a second final answer");
      BOOST_TEST(caller->mStreamStatus == 0, "an answer inside a stream");
      caller->mResponse = aResponse;
    };
    port.mStartStream = [caller](int aStatus, const wire::Headers&) {
      BOOST_TEST(!caller->mResponse.has_value(), "a stream after an answer");
      BOOST_TEST(caller->mStreamStatus == 0, "a second head");
      caller->mStreamStatus = aStatus;
    };
    port.mSendPiece = [caller](std::string_view aPiece) {
      caller->mStreamed += aPiece;
    };
    port.mFinish = [caller] { caller->mIsFinished = true; };
    port.mAbort = [caller] { caller->mIsAborted = true; };
    port.mIsClosed = [caller] { return caller->mIsDisconnected; };
    port.mUnsentBytes = [caller] {
      return caller->mIsReading ? std::size_t{ 0 } : caller->mStreamed.size();
    };
    if (mAsksAsInstance) {
      HandleRelayedRequest(
        *mForwarder, std::move(aRequest), mIsAccepting, std::move(port));
    } else {
      HandleRequest(*mForwarder, std::move(aRequest), std::move(port));
    }
    return caller;
  }

  auto LastSend() -> FakeSend&
  {
    BOOST_REQUIRE(!mSends.empty());
    return *mSends.back();
  }

  /// Ends an exchange. Keeps the handlers alive during the call, as the pool
  /// does.
  static auto End(FakeSend& aSend,
                  wire::ExchangeEnd aEnd,
                  bool aIsUnframed = false) -> void
  {
    const auto handlers = aSend.mHandlers;
    handlers.mOnEnd({ aEnd, false, aIsUnframed });
  }

  static auto Answer(FakeSend& aSend,
                     int aStatus,
                     const wire::Headers& aHeaders,
                     std::string_view aBody) -> void
  {
    const auto handlers = aSend.mHandlers;
    handlers.mOnHead(aStatus, aHeaders);
    if (!aBody.empty() && handlers.mOnPiece && !aSend.mIsCancelled) {
      handlers.mOnPiece(aBody);
    }
    // NOTE: the pool calls no handler of a cancelled exchange.
    if (!aSend.mIsCancelled) {
      handlers.mOnEnd({ wire::ExchangeEnd::Complete, false });
    }
  }

  static auto Head(FakeSend& aSend, int aStatus, const wire::Headers& aHeaders)
    -> void
  {
    aSend.mHandlers.mOnHead(aStatus, aHeaders);
  }

  static auto Piece(FakeSend& aSend, std::string_view aPiece) -> void
  {
    const auto handlers = aSend.mHandlers;
    handlers.mOnPiece(aPiece);
  }

  auto AddEndpoint(
    const std::string& aId,
    const std::string& aService,
    int aNumber,
    std::uint64_t aSequence = 1,
    directory::NoticeState aState = directory::NoticeState::Ready,
    Incarnation aIncarnation = 1) -> void
  {
    auto notice = directory::EndpointNotice{};
    notice.mId = { aId };
    notice.mService = aService;
    notice.mAddress = "10.1.0." + std::to_string(aNumber) + ":80";
    notice.mFailureDomain = { "a" };
    notice.mSlots = 16;
    notice.mState = aState;
    notice.mIncarnation = aIncarnation;
    notice.mSequence = aSequence;
    ApplyEndpoints(*mForwarder, { "c1", false, { { notice, false } } });
  }
};

/// Longer than the initial discovery of endpoints.
inline constexpr auto kSettled = Millis(2000);

inline const auto kSealed = wire::Headers{ { "seal", "s" }, { "id", "r1" } };

inline auto
MakeRoute(const std::string& aName, routing::RouteKind aKind) -> routing::Route
{
  auto route = routing::Route{};
  route.mName = aName;
  route.mHost = "h";
  route.mPathPrefix = "/" + aName + "/";
  route.mKind = aKind;
  route.mTimeout = Millis(5000);
  route.mAnswerTarget = Millis(300);
  route.mPauseTarget = Millis(250);
  route.mMaxAttempts = 2;
  route.mServices = { { "plain", 1 } };
  return route;
}

inline auto
MakeDocument(routing::Version aVersion) -> routing::RoutingDocument
{
  using routing::RouteKind;
  auto document = routing::RoutingDocument{};
  document.mVersion = aVersion;
  document.mRoutes = { MakeRoute("read", RouteKind::Idempotent),
                       MakeRoute("book", RouteKind::NonIdempotent),
                       MakeRoute("draft", RouteKind::Streaming),
                       MakeRoute("long", RouteKind::Streaming),
                       MakeRoute("once", RouteKind::Streaming) };
  document.mRoutes[2].mIsResumable = true;
  document.mRoutes[3].mIsResumable = true;
  document.mRoutes[3].mServices = { { "engines", 1 } };
  document.mRoutes[3].mAnswerTarget = Millis(3000);
  document.mRoutes[3].mTimeout = Millis(15000);
  auto engine = routing::EngineTiming{};
  engine.mSlots = 16;
  engine.mKvCacheTokens = 315000;
  engine.mStepsPerPass = 51;
  engine.mStepMillis = 0.85;
  engine.mPrefilledTokensPerSecond = 177000;
  engine.mPrefillMillisPerMillionPairs = 0.184;
  document.mServices = { { "plain", "", 0, {} }, { "engines", "", 0, engine } };
  document.mAccounts =
    std::vector<routing::ClientAccount>{ { { "claims" }, { "good key" }, {} } };
  return document;
}

inline auto
MakeTable(routing::RoutingDocument aDocument)
  -> std::shared_ptr<const routing::RoutingTable>
{
  return std::make_shared<const routing::RoutingTable>(
    routing::BuildRoutingTable(std::move(aDocument)));
}

inline auto
MakeRequest(const std::string& aRoute) -> ForwardRequest
{
  auto request = ForwardRequest{};
  request.mId = { "r1" };
  request.mHttp.mMethod = "POST";
  request.mHttp.mHost = "h";
  request.mHttp.mPath = "/" + aRoute + "/x";
  request.mHttp.mQuery = "q=1";
  request.mHttp.mBody = "body";
  request.mKey = "good key";
  return request;
}

/// An environment with a routing document and two plain endpoints.
struct ReadyWorld : FakeWorld
{
  ReadyWorld()
  {
    ApplyRouting(*mForwarder, MakeTable(MakeDocument(1)));
    AddEndpoint("p1", "plain", 1);
    AddEndpoint("p2", "plain", 2);
    Run(kSettled);
  }
};

} // namespace cuminslip::forwarding::testing
