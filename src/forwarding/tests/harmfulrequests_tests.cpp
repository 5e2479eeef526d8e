#include "forwarding/loadnotice.h"
#include "forwarding/requestdigest.h"
#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

namespace {

constexpr auto kHold = Millis(1000);
constexpr auto kRun = Millis(50);

/// A world with six plain endpoints.
struct PlainWorld : ReadyWorld
{
  PlainWorld()
  {
    for (auto i = 3; i <= 6; ++i) {
      AddEndpoint("p" + std::to_string(i), "plain", i);
    }
  }

  auto AskWith(const std::string& aRoute, const std::string& aBody)
    -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest(aRoute);
    request.mHttp.mBody = aBody;
    return Ask(request);
  }

  auto EndEndpoint() -> void
  {
    Run(kRun);
    End(LastSend(), ExchangeEnd::Broken);
  }

  /// Lets a request that may not be repeated end endpoints, one a call.
  auto EndEndpoints(const std::string& aBody, int aEnds) -> void
  {
    for (auto i = 0; i < aEnds; ++i) {
      AskWith("book", aBody);
      EndEndpoint();
    }
  }

  static auto IsRefused(const FakeCaller& aCaller) -> bool
  {
    return aCaller.mResponse && aCaller.mResponse->mBody == "harmful_request";
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HarmfulRequestTests, PlainWorld)

BOOST_AUTO_TEST_CASE(ARequestThatEndedThreeEndpointsIsRefusedAtOnce)
{
  EndEndpoints("bad", 3);
  Run(kHold);
  const auto sends = mSends.size();
  const auto refused = AskWith("book", "bad");
  BOOST_TEST(IsRefused(*refused));
  BOOST_TEST(mSends.size() == sends);
  const auto retry = wire::FindHeader(refused->mResponse->mHeaders, "retry");
  BOOST_TEST(std::stoi(retry.value_or("0")) > 50000, "until the next trial");

  AskWith("book", "sound");
  BOOST_TEST(mSends.size() == sends + 1);
  AskWith("read", "bad");
  BOOST_TEST(mSends.size() == sends + 2, "another path");
}

BOOST_AUTO_TEST_CASE(ARequestThatEndedTwoEndpointsIsNotRepeated)
{
  const auto caller = AskWith("read", "bad");
  EndEndpoint();
  EndEndpoint();
  BOOST_TEST(caller->mResponse->mBody == "endpoint_failed");
  const auto sends = mSends.size();
  const auto again = AskWith("read", "bad");
  EndEndpoint();
  BOOST_TEST(mSends.size() == sends + 1);
  BOOST_TEST(again->mResponse->mBody == "endpoint_failed");
}

BOOST_AUTO_TEST_CASE(AnAnswerAcquitsTheRequest)
{
  for (const auto status : { 200, 404, 500 }) {
    const auto body = std::to_string(status);
    EndEndpoints(body, 2);
    AskWith("book", body);
    Answer(LastSend(), status, kSealed, "x");
    EndEndpoints(body, 1);
    Run(kHold);
    BOOST_TEST(!IsRefused(*AskWith("book", body)), status);
    Answer(LastSend(), 200, kSealed, "x");
  }
}

BOOST_AUTO_TEST_CASE(ARequestThatAllCallersSendOutlivesThreeEndsAtOnce)
{
  for (const auto isKnown : { true, false }) {
    const auto body = std::string(isKnown ? "common" : "rare");
    if (isKnown) {
      AskWith("book", body);
      Answer(LastSend(), 200, kSealed, "x");
    }
    const auto first = mSends.size();
    for (auto i = 0; i < 3; ++i) {
      AskWith("book", body);
    }
    Run(kRun);
    for (auto i = first; i < first + 3; ++i) {
      End(*mSends[i], ExchangeEnd::Broken);
    }
    Run(kHold);
    BOOST_TEST(IsRefused(*AskWith("book", body)) != isKnown, body);
    Run(Seconds(6));
  }
}

BOOST_AUTO_TEST_CASE(AnAnswerThatIsCutBehindItsHeadIsNoEvidence)
{
  for (auto i = 0; i < 6; ++i) {
    AskWith("book", "long answer");
    Head(LastSend(), 200, kSealed);
    EndEndpoint();
    Run(Millis(400));
  }
  Run(kHold);
  BOOST_TEST(!IsRefused(*AskWith("book", "long answer")));
}

BOOST_AUTO_TEST_CASE(RefusedSilentAndUnconnectedSendsAreNoEvidence)
{
  for (auto i = 0; i < 8; ++i) {
    AskWith("book", "sound");
    Run(kRun);
    if (i % 2 == 0) {
      End(LastSend(), ExchangeEnd::NotConnected);
      End(LastSend(), ExchangeEnd::NotConnected);
    }
    const auto handlers = LastSend().mHandlers;
    handlers.mOnEnd({ ExchangeEnd::Broken, false, false, true });
    Run(Millis(400));
  }
  Run(kHold);
  BOOST_TEST(!IsRefused(*AskWith("book", "sound")));
}

BOOST_AUTO_TEST_CASE(IncarnationsOfEndpointsHaveKeysOfTheirOwn)
{
  auto keys = std::set<std::uint64_t>{};
  constexpr auto kIds = 100;
  constexpr auto kIncarnations = 50;
  for (auto id = 0; id < kIds; ++id) {
    for (auto n = 0; n < kIncarnations; ++n) {
      keys.insert(
        KeyOf({ "e" + std::to_string(id) }, static_cast<Incarnation>(n)));
    }
  }
  BOOST_TEST(keys.size() == std::size_t{ kIds } * kIncarnations);
}

BOOST_AUTO_TEST_CASE(ANoticeKnowsWhenTheRequestWasSent)
{
  mNotices.clear();
  EndEndpoints("bad", 1);
  Run(Millis(500));
  BOOST_REQUIRE(!mNotices.empty());
  const auto notice = CollectOutcome<LoadNotice>(
    [&] { return DecodeLoadNotice(mNotices.back().second); });
  BOOST_REQUIRE(notice.mValue->mSuspects.size() == 1U);
  const auto& suspect = notice.mValue->mSuspects.front();
  auto request = MakeRequest("book").mHttp;
  request.mBody = "bad";
  BOOST_TEST(suspect.mKey == DigestRequest(request, { "claims" }));
  BOOST_TEST(suspect.mDepth == kRequestDepth);
  BOOST_TEST(suspect.mCrashes.front().mRanFor.count() == kRun.count());
}

BOOST_AUTO_TEST_SUITE_END()
