#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

BOOST_FIXTURE_TEST_SUITE(ForwarderTests, ReadyWorld)

BOOST_AUTO_TEST_CASE(ARequestAndItsAnswerPassUnchanged)
{
  const auto caller = Ask(MakeRequest("read"));
  auto& send = LastSend();
  BOOST_TEST(send.mExchange.mRequest.mMethod == "POST");
  BOOST_TEST(send.mExchange.mRequest.mPath == "/read/x");
  BOOST_TEST(send.mExchange.mRequest.mQuery == "q=1");
  BOOST_TEST(send.mExchange.mRequest.mBody == "body");
  BOOST_TEST(send.Header("account") == "claims");
  BOOST_TEST((send.mExchange.mEcho == wire::Header{ "id", "r1" }));
  Answer(send, 207, kSealed, std::string("by\0tes", 6));

  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mStatus == 207);
  BOOST_TEST(caller->mResponse->mBody == std::string("by\0tes", 6));
  BOOST_TEST((caller->mResponse->mHeaders == kSealed));
  BOOST_TEST(IsIdle(*mForwarder));
}

BOOST_AUTO_TEST_CASE(InvalidRequestsAreRefusedImmediately)
{
  auto wrongKey = MakeRequest("read");
  wrongKey.mKey = "bad key";
  BOOST_TEST(Ask(wrongKey)->mResponse->mBody == "unknown_key");
  BOOST_TEST(Ask(MakeRequest("nowhere"))->mResponse->mBody == "no_route");
  auto nameless = MakeRequest("read");
  nameless.mId = {};
  BOOST_TEST(Ask(nameless)->mResponse->mBody == "bad_request");
  auto late = MakeRequest("read");
  late.mAllowance = Millis(0);
  BOOST_TEST(Ask(late)->mResponse->mBody == "too_late");
  BOOST_TEST(mSends.empty());
}

BOOST_AUTO_TEST_CASE(ARequestWaitsForTheFirstDocumentAndEndpoints)
{
  auto world = FakeWorld{};
  const auto caller = world.Ask(MakeRequest("read"));
  world.Run(Millis(800));
  ApplyRouting(*world.mForwarder, MakeTable(MakeDocument(1)));
  BOOST_TEST(world.mSends.empty());
  world.Run(Millis(400));
  world.AddEndpoint("p1", "plain", 1);
  world.Run(Millis(1));
  BOOST_REQUIRE(world.mSends.size() == 1U);
  BOOST_TEST(world.LastSend().Header("allowance") == "3800");
  BOOST_TEST(!caller->mResponse.has_value());
}

BOOST_AUTO_TEST_CASE(AfterDiscoverySettlesRequestsDoNotWaitForEndpoints)
{
  auto world = FakeWorld{};
  ApplyRouting(*world.mForwarder, MakeTable(MakeDocument(1)));
  world.Run(Millis(1800));

  BOOST_TEST(world.Ask(MakeRequest("read"))->mResponse->mBody == "no_capacity");
}

BOOST_AUTO_TEST_CASE(WithoutADocumentCallersAreToldToRetry)
{
  auto world = FakeWorld{};
  auto request = MakeRequest("read");
  request.mAllowance = Millis(1000);
  const auto caller = world.Ask(request);
  world.Run(Millis(499));
  BOOST_TEST(!caller->mResponse.has_value());
  world.Run(Millis(1));

  BOOST_TEST(caller->mResponse->mBody == "not_ready");
  BOOST_TEST(
    wire::FindHeader(caller->mResponse->mHeaders, "retry").has_value());
}

BOOST_AUTO_TEST_CASE(ALowerVersionIsIgnored)
{
  ApplyRouting(*mForwarder, MakeTable(MakeDocument(9)));
  ApplyRouting(*mForwarder, MakeTable(MakeDocument(4)));

  BOOST_TEST(RoutingVersion(*mForwarder) == 9U);
}

BOOST_AUTO_TEST_CASE(ANonIdempotentRequestIsNotRepeatedAfterAnUnknownOutcome)
{
  for (const auto end : { ExchangeEnd::Broken, ExchangeEnd::Malformed }) {
    mSends.clear();
    const auto caller = Ask(MakeRequest("book"));
    End(LastSend(), end);
    BOOST_TEST(mSends.size() == 1U);
    BOOST_TEST(caller->mResponse->mBody == "endpoint_failed");
    BOOST_TEST(caller->mResponse->mHeaders.empty(), "no retry-after");
    Run(Seconds(20));
  }
}

BOOST_AUTO_TEST_CASE(ARequestThatHasNotRunIsSentToAnotherEndpoint)
{
  const auto caller = Ask(MakeRequest("book"));
  const auto first = LastSend().Header("endpoint");
  Answer(LastSend(), 503, { { "not-run", "1" } }, "");
  BOOST_TEST(mSends.size() == 2U);
  BOOST_TEST(LastSend().Header("endpoint") != first);
  Answer(LastSend(), 503, { { "not-run", "1" } }, "");

  BOOST_TEST(caller->mResponse->mBody == "no_capacity");
  BOOST_TEST(
    wire::FindHeader(caller->mResponse->mHeaders, "retry").has_value());
}

BOOST_AUTO_TEST_CASE(ARefusalAfterAnUnknownOutcomeIsNotReportedAsNotRun)
{
  const auto caller = Ask(MakeRequest("read"));
  End(LastSend(), ExchangeEnd::Broken);
  Answer(LastSend(), 503, { { "not-run", "1" } }, "");

  BOOST_TEST(caller->mResponse->mBody == "endpoint_failed");
}

BOOST_AUTO_TEST_CASE(AStatusThatImpliesNotRunIsNotForwardedWithoutConfirmation)
{
  for (const auto status : { 408, 421, 429, 503 }) {
    const auto caller = Ask(MakeRequest("book"));
    Answer(LastSend(), status, kSealed, "");
    BOOST_TEST(caller->mResponse->mBody == "endpoint_failed", status);
    Run(Seconds(20));
  }
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutSealIsAFailure)
{
  const auto caller = Ask(MakeRequest("book"));
  Answer(LastSend(), 200, { { "id", "r1" } }, "forged");

  BOOST_TEST(caller->mResponse->mBody == "endpoint_failed");
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutSealIsGivenUpAtItsHead)
{
  const auto caller = Ask(MakeRequest("read"));
  auto& send = LastSend();
  Head(send, 200, {});
  BOOST_TEST(send.mIsCancelled);
  BOOST_TEST(mSends.size() == 2U);
  Answer(LastSend(), 200, kSealed, "whole");
  BOOST_TEST(caller->mResponse->mBody == "whole");
}

BOOST_AUTO_TEST_CASE(ABodyWithoutEndIsGivenUp)
{
  for (const auto& headers : { kSealed, wire::Headers{ { "not-run", "1" } } }) {
    const auto caller = Ask(MakeRequest("book"));
    const auto send = mSends.back();
    Head(*send, 503, headers);
    const auto piece = std::string(65536, 'x');
    for (auto i = 0; i < 1000 && !send->mIsCancelled; ++i) {
      Piece(*send, piece);
    }
    BOOST_TEST(send->mIsCancelled);
    Run(Seconds(10));
    BOOST_REQUIRE(caller->mResponse.has_value());
  }
}

BOOST_AUTO_TEST_CASE(AnErrorOfAnIdempotentRequestIsTriedElsewhereThenPassedOn)
{
  const auto caller = Ask(MakeRequest("read"));
  Answer(LastSend(), 500, kSealed, "first");
  BOOST_TEST(mSends.size() == 2U);
  Answer(LastSend(), 500, kSealed, "second");

  BOOST_TEST(caller->mResponse->mStatus == 500);
  BOOST_TEST(caller->mResponse->mBody == "second");
}

BOOST_AUTO_TEST_CASE(TheForwardedAllowanceIsTheRemainingTime)
{
  auto request = MakeRequest("read");
  request.mAllowance = Millis(2000);
  Ask(request);
  BOOST_TEST(LastSend().Header("allowance") == "2000");
  Run(Millis(700));
  End(LastSend(), ExchangeEnd::Broken);

  BOOST_TEST(LastSend().Header("allowance") == "1300");
}

BOOST_AUTO_TEST_CASE(ARequestIsAnsweredAtItsRouteTimeout)
{
  const auto caller = Ask(MakeRequest("book"));
  Run(Millis(4999));
  BOOST_TEST(!caller->mResponse.has_value());
  Run(Millis(1));

  BOOST_TEST(caller->mResponse->mBody == "timed_out");
  BOOST_TEST(LastSend().mIsCancelled);
}

BOOST_AUTO_TEST_CASE(ACallerDisconnectCancelsTheExchange)
{
  const auto caller = Ask(MakeRequest("read"));
  caller->mIsDisconnected = true;
  Run(Millis(110));

  BOOST_TEST(LastSend().mIsCancelled);
  BOOST_TEST(!caller->mResponse.has_value());
  BOOST_TEST(IsIdle(*mForwarder));
}

BOOST_AUTO_TEST_CASE(ADrainingEndpointReceivesNoRequests)
{
  AddEndpoint("p1", "plain", 1, 2, directory::NoticeState::Draining);
  for (auto i = 0; i < 5; ++i) {
    Ask(MakeRequest("read"));
    BOOST_TEST(LastSend().Header("endpoint") == "p2");
  }
  AddEndpoint("p2", "plain", 2, 2, directory::NoticeState::Gone);

  BOOST_TEST(Ask(MakeRequest("read"))->mResponse->mBody == "no_capacity");
}

BOOST_AUTO_TEST_CASE(AFailedEndpointIsEjectedTemporarily)
{
  Ask(MakeRequest("read"));
  const auto failed = LastSend().Header("endpoint");
  End(LastSend(), ExchangeEnd::Broken);
  for (auto i = 0; i < 5; ++i) {
    Ask(MakeRequest("read"));
    BOOST_TEST(LastSend().Header("endpoint") != failed);
  }
}

BOOST_AUTO_TEST_CASE(AnUnreachableEndpointLeavesTimeForAnother)
{
  Ask(MakeRequest("read"));
  const auto target = Millis(300);
  BOOST_TEST(LastSend().mExchange.mConnectTimeout.count() * 3 <=
             target.count());
}

BOOST_AUTO_TEST_CASE(EjectedEndpointsAreUsedWhenNoOtherIsAvailable)
{
  Ask(MakeRequest("book"));
  End(LastSend(), ExchangeEnd::Broken);
  Ask(MakeRequest("book"));
  End(LastSend(), ExchangeEnd::Broken);
  const auto before = mSends.size();
  Ask(MakeRequest("book"));

  BOOST_TEST(mSends.size() == before + 1);
}

BOOST_AUTO_TEST_CASE(RepeatsStopWhenTheBudgetIsUsedUp)
{
  constexpr auto kRequests = 400;
  for (auto i = 0; i < kRequests; ++i) {
    auto request = MakeRequest("read");
    request.mHttp.mBody = std::to_string(i);
    Ask(request);
    while (!mSends.back()->mIsCancelled && !IsIdle(*mForwarder)) {
      End(LastSend(), ExchangeEnd::Broken);
    }
  }
  const auto repeats = mSends.size() - kRequests;
  BOOST_TEST(repeats > 50U);
  BOOST_TEST(repeats <= static_cast<std::size_t>(0.2 * kRequests + 50));
  BOOST_TEST(CountersOf(*mForwarder).mRepeats == repeats);
}

BOOST_AUTO_TEST_CASE(ARequestThatReachedNoEndpointNeedsNoBudget)
{
  // Uses up the budget.
  for (auto i = 0; i < 400; ++i) {
    auto request = MakeRequest("read");
    request.mHttp.mBody = std::to_string(i);
    Ask(request);
    while (!IsIdle(*mForwarder)) {
      End(LastSend(), ExchangeEnd::Broken);
    }
  }
  const auto caller = Ask(MakeRequest("book"));
  const auto sends = mSends.size();
  End(LastSend(), ExchangeEnd::NotConnected);
  BOOST_REQUIRE(mSends.size() == sends + 1);
  Answer(LastSend(), 200, kSealed, "x");
  BOOST_TEST(caller->mResponse->mStatus == 200);
}

BOOST_AUTO_TEST_CASE(AnUnreadableNoticeIsDropped)
{
  HandleLoadNotice(*mForwarder, "no notice at all");
  BOOST_TEST(Ask(MakeRequest("read"))->mResponse.has_value() == false);
}

BOOST_AUTO_TEST_CASE(AbandonedRequestsGetAFinalAnswer)
{
  const auto caller = Ask(MakeRequest("read"));
  AbandonRequests(*mForwarder);

  BOOST_TEST(caller->mResponse->mBody == "endpoint_failed");
  BOOST_TEST(LastSend().mIsCancelled);
}

// An empty list of accounts was taken for none, which opened the routes.
BOOST_AUTO_TEST_CASE(WithoutAnyAccountLeftNoKeyIsAccepted)
{
  using Accounts = std::vector<routing::ClientAccount>;
  struct Case
  {
    std::optional<Accounts> mAccounts;
    bool mIsPublic;
    bool mIsServed;
  };
  const auto other = Accounts{ { { "other" }, { "other key" }, {} } };
  const auto keyless = Accounts{ { { "keyless" }, {}, {} } };
  const auto cases = std::vector<Case>{
    { std::nullopt, false, true }, { Accounts{}, false, false },
    { keyless, false, false },     { other, false, false },
    { Accounts{}, true, true },    { other, true, true },
  };
  auto version = routing::Version{ 1 };
  for (const auto& it : cases) {
    auto document = MakeDocument(++version);
    document.mAccounts = it.mAccounts;
    document.mRoutes[0].mIsPublic = it.mIsPublic;
    ApplyRouting(*mForwarder, MakeTable(std::move(document)));
    for (const auto* key : { "", "good key" }) {
      auto request = MakeRequest("read");
      request.mKey = key;
      const auto sends = mSends.size();
      const auto caller = Ask(request);
      BOOST_TEST((mSends.size() > sends) == it.mIsServed, version);
      const auto isDenied =
        caller->mResponse && caller->mResponse->mBody == "unknown_key";
      BOOST_TEST(isDenied == !it.mIsServed, version);
      if (it.mIsServed) {
        Answer(LastSend(), 200, kSealed, "x");
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
