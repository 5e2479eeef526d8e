#include "base/digest.h"
#include "forwarding/loadnotice.h"
#include "forwarding/tests/fakeworld.h"

#include <random>
#include <set>

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

namespace {

auto
Limited(const std::string& aRate) -> wire::Headers
{
  auto headers = kSealed;
  headers.push_back({ "limit", aRate });
  return headers;
}

/// One plain endpoint, and two instances, each of which holds half of a limit.
struct LimitWorld : FakeWorld
{
  LimitWorld()
  {
    ApplyRouting(*mForwarder, MakeTable(MakeDocument(1)));
    AddEndpoint("p1", "plain", 1);
    Run(kSettled);
  }

  /// Sends a request and returns its exchange.
  auto SendRead() -> FakeSend&
  {
    Ask(MakeRequest("read"));
    return LastSend();
  }

  auto IsRefused() -> bool
  {
    const auto before = mSends.size();
    const auto caller = Ask(MakeRequest("read"));
    return mSends.size() == before && caller->mResponse &&
           caller->mResponse->mBody == "no_capacity";
  }

  auto Report(std::optional<double> aRate,
              std::uint64_t aVersion,
              Incarnation aIncarnation = 1) -> void
  {
    HandleLoadNotice(
      *mForwarder,
      EncodeLoadNotice(
        { "10.0.0.2:7000",
          ++mReports,
          {},
          false,
          { { Checksum("p1"), aIncarnation, { aRate, aVersion } } } }));
  }

  std::uint64_t mReports = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatementTests, LimitWorld)

BOOST_AUTO_TEST_CASE(ARefusalTellsWhenTheShareAllowsARequest)
{
  Answer(SendRead(), 200, Limited("1"), "");
  const auto caller = Ask(MakeRequest("read"));
  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == "no_capacity");
  const auto retry =
    std::stoi(*wire::FindHeader(caller->mResponse->mHeaders, "retry"));
  BOOST_TEST(retry >= 2000);
  BOOST_TEST(retry <= 2600);
  Run(Millis(2000));
  BOOST_TEST(!IsRefused());
  BOOST_TEST(CountersOf(*mForwarder).mLimitRefusals == 1U);
  BOOST_TEST(CountersOf(*mForwarder).mLimitedSends == 1U);
  BOOST_TEST(CountLimitedEndpoints(*mForwarder) == 1U);
}

BOOST_AUTO_TEST_CASE(AnEndpointWithoutALimitTakesOver)
{
  AddEndpoint("p2", "plain", 2);
  Answer(SendRead(), 200, Limited("0"), "");
  const auto limited = LastSend().Header("endpoint");
  for (auto i = 0; i < 5; ++i) {
    auto& send = SendRead();
    BOOST_TEST(send.Header("endpoint") != limited);
    Answer(send, 200, kSealed, "");
  }
}

BOOST_AUTO_TEST_CASE(ARefusedRequestIsRepeatedWithinTheLimits)
{
  Answer(SendRead(), 200, Limited("2"), "");
  Run(Millis(1000));
  const auto caller = Ask(MakeRequest("read"));
  AddEndpoint("p2", "plain", 2);
  Answer(LastSend(), 503, { { "not-run", "1" }, { "limit", "2" } }, "");
  BOOST_TEST(LastSend().Header("endpoint") == "p2");
  Answer(LastSend(), 200, Limited("2"), "");
  BOOST_TEST(caller->mResponse->mStatus == 200);
  BOOST_TEST(IsRefused());
}

BOOST_AUTO_TEST_CASE(ALimitEndsWithAServedAnswerToALaterRequest)
{
  auto& early = SendRead();
  Answer(SendRead(), 200, Limited("2"), "");
  Run(Millis(1));
  Answer(early, 200, kSealed, "");
  BOOST_TEST(IsRefused(), "the answer may be older than the limit");

  Run(Millis(1000));
  Ask(MakeRequest("read"));
  Answer(LastSend(), 500, {}, "");
  BOOST_TEST(IsRefused(), "the answer is not the endpoint's own");

  Run(Millis(12000));
  Answer(SendRead(), 200, kSealed, "");
  BOOST_TEST(!IsRefused());
  BOOST_TEST(CountLimitedEndpoints(*mForwarder) == 0U);
}

BOOST_AUTO_TEST_CASE(AMalformedStatementChangesNothing)
{
  Answer(SendRead(), 200, Limited("2"), "");
  Run(Millis(1000));
  auto malformed = kSealed;
  malformed.push_back({ "malformed", "1" });
  Answer(SendRead(), 200, malformed, "");
  BOOST_TEST(IsRefused());
  BOOST_TEST(CountersOf(*mForwarder).mMalformedStatements == 1U);
}

BOOST_AUTO_TEST_CASE(AnAnswerOfAnEarlierIncarnationSaysNothing)
{
  auto& send = SendRead();
  AddEndpoint("p1", "plain", 1, 1, directory::NoticeState::Ready, 2);
  Answer(send, 200, Limited("0"), "");
  BOOST_TEST(!IsRefused());

  Answer(SendRead(), 200, Limited("0"), "");
  BOOST_TEST(IsRefused());
  AddEndpoint("p1", "plain", 1, 1, directory::NoticeState::Ready, 3);
  BOOST_TEST(!IsRefused());
}

BOOST_AUTO_TEST_CASE(ARequestWithoutAConnectionIsNotCounted)
{
  Answer(SendRead(), 200, Limited("2"), "");
  Run(Millis(1000));
  const auto caller = Ask(MakeRequest("read"));
  End(LastSend(), ExchangeEnd::NotConnected);
  BOOST_TEST(caller->mResponse.has_value());
  Run(Millis(600));
  BOOST_TEST(!IsRefused());
}

BOOST_AUTO_TEST_CASE(ALimitReportedByAnotherInstanceIsKept)
{
  Report(1.0, 3);
  BOOST_TEST(IsRefused());
  Report(std::nullopt, 2);
  BOOST_TEST(IsRefused(), "an older report");
  Report(std::nullopt, 4);
  BOOST_TEST(!IsRefused());
  Report(1.0, 4);
  BOOST_TEST(IsRefused(), "the stricter of two");
  Report(1.0, 5, 2);
  AddEndpoint("p1", "plain", 1, 1, directory::NoticeState::Ready, 2);
  BOOST_TEST(IsRefused(), "of the new incarnation");
  Report(std::nullopt, 9, 1);
  BOOST_TEST(IsRefused(), "of the former one");
}

BOOST_AUTO_TEST_CASE(OtherInstancesLearnOfALimitAtOnce)
{
  mNotices.clear();
  Answer(SendRead(), 200, Limited("1.3"), "");
  BOOST_REQUIRE(mNotices.size() == 1U);
  const auto notice = CollectOutcome<LoadNotice>(
    [&] { return DecodeLoadNotice(mNotices.back().second); });
  BOOST_TEST(
    (notice.mValue.value().mStatements ==
     std::vector<ReportedStatement>{ { Checksum("p1"), 1, { 1.3, 1 } } }));
}

BOOST_AUTO_TEST_CASE(NoticesNameABoundedNumberOfLimitsInTurn)
{
  auto limits = std::vector<ReportedStatement>{};
  for (auto i = 1; i <= 100; ++i) {
    const auto id = "q" + std::to_string(i);
    AddEndpoint(id, "engines", i);
    limits.push_back({ Checksum(id), 1, { 1.0, 1 } });
  }
  HandleLoadNotice(*mForwarder,
                   EncodeLoadNotice({ "10.0.0.2:7000", 1, {}, false, limits }));
  mNotices.clear();
  Ask(MakeRequest("read"));
  Run(Millis(4500));
  auto named = std::set<std::uint64_t>{};
  for (const auto& [address, bytes] : mNotices) {
    BOOST_TEST(bytes.size() < 1400U);
    const auto notice = CollectOutcome<LoadNotice>(
      [&, text = bytes] { return DecodeLoadNotice(text); });
    for (const auto& it : notice.mValue.value().mStatements) {
      named.insert(it.mEndpoint);
    }
  }
  BOOST_TEST(named.size() == 100U);
}

BOOST_AUTO_TEST_CASE(AnInstanceThatHoldsNoShareSendsNothing)
{
  auto entries = std::vector<directory::EntryInstance>{};
  for (auto i = 1; i <= 60; ++i) {
    entries.push_back({ "10.0.0." + std::to_string(i) + ":7000", { "b" } });
  }
  for (auto i = 1; i <= 60; ++i) {
    entries.push_back({ "10.0.1." + std::to_string(i) + ":7000", { "a" } });
  }
  SetEntries(*mForwarder, entries);
  Answer(SendRead(), 200, Limited("1"), "");
  Run(Seconds(60));
  BOOST_TEST(IsRefused());
}

BOOST_AUTO_TEST_CASE(ALeavingEndpointIsReportedUntilItHasLeft)
{
  auto leaving = kSealed;
  leaving.push_back({ "leaving", "1" });
  mNotices.clear();
  Answer(SendRead(), 200, leaving, "");
  BOOST_TEST(IsRefused());
  BOOST_TEST(CountLeavingEndpoints(*mForwarder) == 1U);
  const auto bytes = mNotices.back().second;
  const auto notice =
    CollectOutcome<LoadNotice>([&] { return DecodeLoadNotice(bytes); });
  BOOST_TEST(
    (notice.mValue.value().mStatements ==
     std::vector<ReportedStatement>{ { Checksum("p1"), 1, {}, true } }));

  AddEndpoint("p1", "plain", 1, 2, directory::NoticeState::Gone);
  BOOST_TEST(CountLeavingEndpoints(*mForwarder) == 0U);
  auto late = *notice.mValue;
  late.mInstance = "10.0.0.2:7000";
  HandleLoadNotice(*mForwarder, EncodeLoadNotice(late));
  BOOST_TEST(CountLeavingEndpoints(*mForwarder) == 0U);
}

BOOST_AUTO_TEST_CASE(ALeavingEndpointReportedByAnotherInstanceGetsNothing)
{
  HandleLoadNotice(*mForwarder,
                   EncodeLoadNotice({ "10.0.0.2:7000",
                                      ++mReports,
                                      {},
                                      false,
                                      { { Checksum("p1"), 1, {}, true } } }));
  BOOST_TEST(IsRefused());
  AddEndpoint("p1", "plain", 1, 2);
  BOOST_TEST(IsRefused(), "a heartbeat of the same incarnation");
  AddEndpoint("p1", "plain", 1, 1, directory::NoticeState::Ready, 2);
  BOOST_TEST(!IsRefused());
}

BOOST_AUTO_TEST_CASE(AnEndpointIsLeftAloneForTheTimeItAskedForAndNoLonger)
{
  const auto caller = Ask(MakeRequest("read"));
  Answer(LastSend(), 503, { { "not-run", "1" }, { "pause", "1500" } }, "");
  BOOST_TEST(caller->mResponse->mBody == "no_capacity");
  const auto second = Ask(MakeRequest("read"));
  const auto retry =
    std::stoi(*wire::FindHeader(second->mResponse->mHeaders, "retry"));
  BOOST_TEST(retry >= 1500);
  BOOST_TEST(retry <= 2100);
  Run(Millis(1499));
  BOOST_TEST(IsRefused());
  Run(Millis(1));
  BOOST_TEST(!IsRefused());
  BOOST_TEST(CountersOf(*mForwarder).mPausesAsked == 1U);
}

// Random series of answers and requests. What the endpoint stated last must
// hold at each request, and nothing may hold longer.
BOOST_AUTO_TEST_CASE(NoRequestIsSentAgainstAStatement)
{
  auto random = std::mt19937_64{ 7 };
  const auto draw = [&](int aMost) {
    return static_cast<int>(random() % static_cast<unsigned>(aMost + 1));
  };
  for (auto series = 0; series < 50; ++series) {
    auto world = LimitWorld{};
    auto pausedUntil = TimePoint{};
    auto isLeaving = false;
    auto incarnation = Incarnation{ 1 };
    for (auto step = 0; step < 60; ++step) {
      world.Run(Millis(draw(900)));
      const auto before = world.mSends.size();
      world.Ask(MakeRequest("read"));
      const auto isSent = world.mSends.size() > before;
      const auto isAllowed = !isLeaving && world.mClock.mNow >= pausedUntil;
      BOOST_TEST(isSent == isAllowed);
      if (isSent && draw(3) == 0) {
        const auto pause = Millis(draw(2000));
        world.Answer(
          world.LastSend(),
          503,
          { { "not-run", "1" }, { "pause", std::to_string(pause.count()) } },
          "");
        pausedUntil = std::max(pausedUntil, world.mClock.mNow + pause);
      } else if (isSent) {
        auto headers = kSealed;
        if (draw(15) == 0) {
          headers.push_back({ "leaving", "1" });
          isLeaving = true;
        }
        world.Answer(world.LastSend(), 200, headers, "");
      }
      if (draw(20) == 0) {
        world.AddEndpoint(
          "p1", "plain", 1, 1, directory::NoticeState::Ready, ++incarnation);
        isLeaving = false;
        pausedUntil = {};
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ALongPromptGetsNoLimitedEngines)
{
  AddEndpoint("e1", "engines", 11);
  AddEndpoint("e2", "engines", 12);
  AddEndpoint("e3", "engines", 13);
  const auto askLong = [&](std::int64_t aTokens) {
    auto request = MakeRequest("long");
    request.mPrompt = PromptFacts{ aTokens, 800 };
    Ask(request);
  };
  askLong(4000);
  const auto limited = LastSend().Header("endpoint");
  Head(LastSend(), 200, Limited("100"));
  Piece(LastSend(), "id: 1\n\n");
  End(LastSend(), ExchangeEnd::Complete);
  Run(Millis(3000));
  askLong(154000);
  Run(Millis(10));
  BOOST_TEST(LastSend().Header("endpoint") != limited);
  auto helpers = 0;
  const auto& engine = LastSend().mExchange.mRequest.mHeaders;
  for (const auto& it : engine) {
    helpers += it.mName == "helper" ? 1 : 0;
    BOOST_TEST(!(it.mName == "helper" &&
                 it.mValue.starts_with("10.1.0.1" + limited.substr(1))));
  }
  BOOST_TEST(helpers == 1);
  askLong(4000);
  BOOST_TEST(LastSend().Header("endpoint") == limited,
             "a short prompt tries whether the limit has ended");
}

BOOST_AUTO_TEST_CASE(AnEngineThatStatesALimitDuringAClaimIsNotUsed)
{
  AddEndpoint("e1", "engines", 11);
  AddEndpoint("e2", "engines", 12);
  auto request = MakeRequest("long");
  request.mPrompt = PromptFacts{ 154000, 800 };
  Ask(request);
  BOOST_TEST(mSends.empty());
  for (const auto* engine : { "e1", "e2" }) {
    HandleLoadNotice(
      *mForwarder,
      EncodeLoadNotice({ "10.0.0.2:7000",
                         ++mReports,
                         {},
                         false,
                         { { Checksum(engine), 1, { 0.5, 1 } } } }));
  }
  Run(Millis(2));
  BOOST_TEST(mSends.empty());
  BOOST_TEST(IsIdle(*mForwarder), "refused at once");
}

BOOST_AUTO_TEST_SUITE_END()
