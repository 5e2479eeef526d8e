#include "forwarding/loadnotice.h"
#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

namespace {

constexpr auto kRelayPort = 7001;
constexpr auto kKey = "relay key";

/// An instance with three others, two of them in its failure domain, and four
/// plain endpoints.
struct RelayWorld : ReadyWorld
{
  RelayWorld()
  {
    auto settings = ForwardSettings{};
    settings.mFailureDomain = { "a" };
    settings.mPeerAddress = "10.0.0.1:7000";
    settings.mIncarnation = 1;
    settings.mRetryBudget.mSlack = 100;
    settings.mRelayPort = kRelayPort;
    settings.mRelayKey = kKey;
    mForwarder = CreateForwarder(std::move(settings), MakePorts(), 1);
    SetEntries(*mForwarder,
               { { "10.0.0.1:7000", { "a" } },
                 { "10.0.0.2:7000", { "a" } },
                 { "10.0.0.3:7000", { "b" } },
                 { "10.0.0.4:7000", { "b" } } });
    ApplyRouting(*mForwarder, MakeTable(MakeDocument(1)));
    for (auto i = 1; i <= 4; ++i) {
      AddEndpoint("p" + std::to_string(i), "plain", i);
    }
    Run(kSettled);
  }

  static auto IsRelay(const FakeSend& aSend) -> bool
  {
    return aSend.mExchange.mAddress.mPort == kRelayPort;
  }

  /// Lets all new connections to endpoints fail until the instance is cut off.
  /// Returns the caller of the last request, which is sent through another one.
  auto LoseEndpoints() -> std::shared_ptr<FakeCaller>
  {
    auto caller = std::shared_ptr<FakeCaller>{};
    for (auto i = 0; i < 4 && !IsCutOff(*mForwarder); ++i) {
      caller = Ask(MakeRequest("read"));
      while (!IsRelay(LastSend()) && !caller->mResponse) {
        Run(Millis(60));
        End(LastSend(), ExchangeEnd::NotConnected);
      }
      if (!IsCutOff(*mForwarder)) {
        Answer(LastSend(), 200, kSealed, "x");
      }
    }
    return caller;
  }

  /// Answers as another instance that failed a request.
  static auto FailAtRelay(FakeSend& aSend,
                          const std::string& aFailure,
                          const wire::Headers& aMore = {}) -> void
  {
    auto headers = wire::Headers{ { "cuminslip-relay-failure", aFailure } };
    headers.insert(headers.end(), aMore.begin(), aMore.end());
    const auto handlers = aSend.mHandlers;
    handlers.mOnHead(503, headers);
  }

  /// Asks as another instance.
  auto AskAsInstance(const std::string& aRoute,
                     const wire::Headers& aHeaders = {},
                     const std::string& aKey = kKey,
                     bool aIsAccepting = true) -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest(aRoute);
    request.mHttp.mHeaders = { { "cuminslip-relay-key", aKey },
                               { "cuminslip-relay-from", "10.0.0.2:7000" } };
    request.mHttp.mHeaders.insert(
      request.mHttp.mHeaders.end(), aHeaders.begin(), aHeaders.end());
    mIsAccepting = aIsAccepting;
    mAsksAsInstance = true;
    auto caller = Ask(std::move(request));
    mAsksAsInstance = false;
    return caller;
  }

  static auto FailureOf(const FakeCaller& aCaller) -> std::string
  {
    BOOST_REQUIRE(aCaller.mResponse.has_value());
    return wire::FindHeader(aCaller.mResponse->mHeaders,
                            "cuminslip-relay-failure")
      .value_or("");
  }
};

const auto kFirst = wire::Headers{ { "cuminslip-relay-sends", "0" },
                                   { "cuminslip-relay-ran", "no" } };

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayingTests, RelayWorld)

BOOST_AUTO_TEST_CASE(ALateCopyAtARelayDoesNotPromiseThatARequestHasNotRun)
{
  LoseEndpoints();
  const auto caller = Ask(MakeRequest("book"));
  BOOST_REQUIRE(IsRelay(LastSend()));
  const auto sends = mSends.size();
  End(LastSend(), ExchangeEnd::Unattributed);

  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == ToText(FailureKind::EndpointFailed));
  BOOST_TEST(mSends.size() == sends);
}

BOOST_AUTO_TEST_CASE(AnInstanceWithoutEndpointsSendsThroughItsDomainFirst)
{
  const auto caller = LoseEndpoints();
  const auto& send = LastSend();
  BOOST_TEST(IsCutOff(*mForwarder));
  BOOST_TEST(send.mExchange.mAddress.mHost == "10.0.0.2");
  BOOST_TEST(send.Header("authorization") == "Bearer good key");
  BOOST_TEST(send.Header("cuminslip-relay-sends") == "0");
  BOOST_TEST(send.Header("cuminslip-relay-ran") == "no");
  BOOST_TEST(std::stoi(send.Header("allowance")) < 5000);
  Answer(LastSend(), 200, kSealed, "whole");
  BOOST_TEST(caller->mResponse->mBody == "whole");

  // The next request is not tried at endpoints first.
  Ask(MakeRequest("book"));
  BOOST_TEST(IsRelay(LastSend()));
}

BOOST_AUTO_TEST_CASE(ARefusalLeadsToOtherDomainsAndHasNotRun)
{
  LoseEndpoints();
  Answer(LastSend(), 200, kSealed, "x");
  auto hosts = std::vector<std::string>{};
  const auto caller = Ask(MakeRequest("book"));
  while (!caller->mResponse && IsRelay(LastSend())) {
    hosts.push_back(LastSend().mExchange.mAddress.mHost);
    FailAtRelay(LastSend(), "refused");
  }
  BOOST_REQUIRE(hosts.size() == 3U);
  BOOST_TEST(hosts[0] == "10.0.0.2");
  BOOST_TEST(hosts[1] != hosts[2]);
  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == "no_capacity", "at once");
}

BOOST_AUTO_TEST_CASE(AFailureAtTheOtherInstanceIsFinalAndTold)
{
  LoseEndpoints();
  Answer(LastSend(), 200, kSealed, "x");
  for (const auto* failure : { "no_capacity", "endpoint_failed" }) {
    const auto caller = Ask(MakeRequest("read"));
    const auto sends = mSends.size();
    FailAtRelay(LastSend(), failure, { { "cuminslip-relay-retry-ms", "700" } });
    BOOST_REQUIRE(caller->mResponse.has_value());
    BOOST_TEST(caller->mResponse->mBody == failure);
    BOOST_TEST(mSends.size() == sends);
    const auto retry = wire::FindHeader(caller->mResponse->mHeaders, "retry");
    BOOST_TEST(retry.value_or("") ==
               (failure == std::string("no_capacity") ? "700" : ""));
  }
}

BOOST_AUTO_TEST_CASE(ARelayThatBreaksMayHaveRunTheRequest)
{
  LoseEndpoints();
  Answer(LastSend(), 200, kSealed, "x");
  const auto once = Ask(MakeRequest("book"));
  End(LastSend(), ExchangeEnd::Broken);
  BOOST_TEST(once->mResponse->mBody == "endpoint_failed");

  const auto again = Ask(MakeRequest("read"));
  const auto first = LastSend().mExchange.mAddress.mHost;
  End(LastSend(), ExchangeEnd::Broken);
  BOOST_REQUIRE(IsRelay(LastSend()));
  BOOST_TEST(LastSend().mExchange.mAddress.mHost != first);
  BOOST_TEST(LastSend().Header("cuminslip-relay-sends") == "1");
  BOOST_TEST(LastSend().Header("cuminslip-relay-ran") == "unknown");
  End(LastSend(), ExchangeEnd::Broken);
  BOOST_TEST(again->mResponse->mBody == "endpoint_failed", "two sends at most");
}

BOOST_AUTO_TEST_CASE(AStreamGoesOnThroughASecondRelay)
{
  LoseEndpoints();
  Answer(LastSend(), 200, kSealed, "x");
  const auto caller = Ask(MakeRequest("draft"));
  BOOST_REQUIRE(IsRelay(LastSend()));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  End(LastSend(), ExchangeEnd::Broken);
  BOOST_REQUIRE(IsRelay(LastSend()));
  BOOST_TEST(LastSend().Header("after") == "2");
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), "id: 3\ndata: c\n\n");
  End(LastSend(), ExchangeEnd::Complete);
  BOOST_TEST(caller->mIsFinished);
  BOOST_TEST(caller->mStreamed ==
             "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

BOOST_AUTO_TEST_CASE(TheCallerWhoLeavesIsGoneAtTheRelayToo)
{
  LoseEndpoints();
  Answer(LastSend(), 200, kSealed, "x");
  const auto caller = Ask(MakeRequest("draft"));
  caller->mIsDisconnected = true;
  Run(Millis(200));
  BOOST_TEST(LastSend().mIsCancelled);
  BOOST_TEST(IsIdle(*mForwarder));
}

BOOST_AUTO_TEST_CASE(ARelayedRequestIsServedAndNeverSentOn)
{
  const auto caller = AskAsInstance("read", kFirst);
  BOOST_REQUIRE(!mSends.empty());
  BOOST_TEST(!IsRelay(LastSend()));
  BOOST_TEST(LastSend().Header("account") == "claims");
  for (const auto& it : LastSend().mExchange.mRequest.mHeaders) {
    BOOST_TEST(!it.mName.starts_with("cuminslip-relay-"));
  }
  End(LastSend(), ExchangeEnd::NotConnected);
  End(LastSend(), ExchangeEnd::NotConnected);
  BOOST_TEST(FailureOf(*caller) == "refused", "it may be cut off too");
  for (const auto& it : mSends) {
    BOOST_TEST(!IsRelay(*it));
  }
}

BOOST_AUTO_TEST_CASE(ARelayedRequestIsSentAtMostAsOftenAsItsRouteAllows)
{
  const auto caller = AskAsInstance(
    "read",
    { { "cuminslip-relay-sends", "1" }, { "cuminslip-relay-ran", "unknown" } });
  const auto sends = mSends.size();
  End(LastSend(), ExchangeEnd::Broken);
  BOOST_TEST(mSends.size() == sends);
  BOOST_TEST(FailureOf(*caller) == "endpoint_failed");
  BOOST_TEST(CountersOf(*mForwarder).mRepeats == 1U);
  BOOST_TEST(CountersOf(*mForwarder).mRequests == 0U);
}

BOOST_AUTO_TEST_CASE(ARequestIsCountedByOneInstance)
{
  const auto caller = AskAsInstance("read", kFirst);
  Answer(LastSend(), 200, kSealed, "x");
  BOOST_TEST(caller->mResponse->mBody == "x");
  BOOST_TEST(CountersOf(*mForwarder).mDelivered == 0U);
  BOOST_TEST(CountersOf(*mForwarder).mRelaysAccepted == 1U);
}

BOOST_AUTO_TEST_CASE(AServiceThatIsDownIsNotAskedForAtOthersEachTime)
{
  for (auto i = 1; i <= 8; ++i) {
    AddEndpoint("n" + std::to_string(i), "engines", 20 + i);
  }
  auto relays = 0;
  for (auto i = 0; i < 10; ++i) {
    const auto caller = Ask(MakeRequest("read"));
    while (!caller->mResponse) {
      if (IsRelay(LastSend())) {
        ++relays;
        FailAtRelay(LastSend(), "refused");
      } else {
        End(LastSend(), ExchangeEnd::NotConnected);
      }
    }
    BOOST_TEST(caller->mResponse->mBody == "no_capacity");
    Run(Millis(100));
  }
  BOOST_TEST(!IsCutOff(*mForwarder));
  BOOST_TEST(relays == 2);
}

BOOST_AUTO_TEST_CASE(WhatAnOlderRoutingDocumentDoesNotKnowIsLeftToOthers)
{
  auto request = MakeRequest("none");
  request.mHttp.mHeaders = kFirst;
  request.mHttp.mHeaders.push_back({ "cuminslip-relay-key", kKey });
  mAsksAsInstance = true;
  BOOST_TEST(FailureOf(*Ask(request)) == "refused");
  request.mHttp.mPath = "/read/x";
  request.mKey = "new key";
  BOOST_TEST(FailureOf(*Ask(request)) == "refused");
}

BOOST_AUTO_TEST_CASE(RelayedRequestsAreRefusedAtOnceWithoutKeyServiceOrReach)
{
  BOOST_TEST(FailureOf(*AskAsInstance("read", kFirst, "other key")) ==
             "refused");
  BOOST_TEST(FailureOf(*AskAsInstance("read", kFirst, kKey, false)) ==
             "refused");
  LoseEndpoints();
  BOOST_TEST(FailureOf(*AskAsInstance("read", kFirst)) == "refused");
}

BOOST_AUTO_TEST_CASE(AnInstanceIsNotOverrunByWhatOthersRelay)
{
  constexpr auto kMost = std::size_t{ 64 };
  auto callers = std::vector<std::shared_ptr<FakeCaller>>{};
  for (auto i = 0; i < 200; ++i) {
    callers.push_back(AskAsInstance("read", kFirst));
  }
  const auto n =
    std::count_if(callers.begin(), callers.end(), [](const auto& aCaller) {
      return !aCaller->mResponse.has_value();
    });
  BOOST_TEST(static_cast<std::size_t>(n) == kMost);
  const auto own = Ask(MakeRequest("read"));
  BOOST_TEST(!own->mResponse.has_value());
}

BOOST_AUTO_TEST_CASE(AnEndpointCanNotSpeakAsAnInstance)
{
  const auto caller = Ask(MakeRequest("read"));
  auto headers = kSealed;
  headers.push_back({ "cuminslip-relay-failure", "no_capacity" });
  Answer(LastSend(), 200, headers, "x");
  BOOST_TEST(caller->mResponse->mBody == "x");
  BOOST_TEST(
    !wire::FindHeader(caller->mResponse->mHeaders, "cuminslip-relay-failure"));
}

BOOST_AUTO_TEST_CASE(ATrialFindsTheEndOfACutAndNothingStaysEjected)
{
  LoseEndpoints();
  Answer(LastSend(), 200, kSealed, "x");
  Run(Millis(600));
  Ask(MakeRequest("read"));
  BOOST_REQUIRE(!IsRelay(LastSend()));
  BOOST_TEST(LastSend().mExchange.mNeedsNewConnection);
  const auto trial = mSends.back();
  Ask(MakeRequest("read"));
  BOOST_TEST(IsRelay(LastSend()), "one trial at a time");
  Answer(*trial, 200, kSealed, "x");
  BOOST_TEST(!IsCutOff(*mForwarder));
  auto used = std::set<std::string>{};
  for (auto i = 0; i < 4; ++i) {
    Ask(MakeRequest("read"));
    used.insert(LastSend().Header("endpoint"));
  }
  BOOST_TEST(used.size() == 4U);
}

BOOST_AUTO_TEST_CASE(AnEndpointThatIsDownIsNoCut)
{
  for (auto i = 0; i < 20; ++i) {
    Ask(MakeRequest("read"));
    if (LastSend().Header("endpoint") == "p1") {
      End(LastSend(), ExchangeEnd::NotConnected);
    }
    Answer(LastSend(), 200, kSealed, "x");
    Run(Millis(300));
  }
  BOOST_TEST(!IsCutOff(*mForwarder));
  BOOST_TEST(CountersOf(*mForwarder).mRelayed == 0U);
}

BOOST_AUTO_TEST_CASE(WhatACutEndsIsNoEvidenceForOthers)
{
  for (auto round = 0; round < 3; ++round) {
    auto sends = std::vector<std::shared_ptr<FakeSend>>{};
    for (auto i = 0; i < 4; ++i) {
      Ask(MakeRequest("book"));
      sends.push_back(mSends.back());
    }
    Run(Millis(20));
    mNotices.clear();
    for (const auto& it : sends) {
      End(*it, ExchangeEnd::Broken);
    }
    LoseEndpoints();
    Answer(LastSend(), 200, kSealed, "x");
    Run(Seconds(3));
    for (const auto& [address, bytes] : mNotices) {
      const auto notice = CollectOutcome<LoadNotice>(
        [&, b = std::string_view(bytes)] { return DecodeLoadNotice(b); });
      BOOST_TEST(notice.mValue->mEnds.empty());
      for (const auto& it : notice.mValue->mSuspects) {
        BOOST_TEST(it.mCrashes.empty());
      }
    }
    Ask(MakeRequest("read"));
    BOOST_REQUIRE(!IsRelay(LastSend()));
    Answer(LastSend(), 200, kSealed, "x");
  }
  const auto caller = Ask(MakeRequest("book"));
  BOOST_TEST(!caller->mResponse.has_value());
}

BOOST_AUTO_TEST_CASE(AnEndIsReportedOnceOtherEndpointsAnswer)
{
  Ask(MakeRequest("book"));
  const auto ended = mSends.back();
  Ask(MakeRequest("read"));
  const auto other = mSends.back();
  Run(Millis(20));
  mNotices.clear();
  End(*ended, ExchangeEnd::Broken);
  Run(Millis(60));
  BOOST_TEST(mNotices.empty());
  Answer(*other, 200, kSealed, "x");
  Run(Millis(20));
  BOOST_REQUIRE(!mNotices.empty());
  const auto notice = CollectOutcome<LoadNotice>(
    [&] { return DecodeLoadNotice(mNotices.back().second); });
  BOOST_TEST(notice.mValue->mEnds.size() == 1U);
  BOOST_TEST(notice.mValue->mSuspects.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
