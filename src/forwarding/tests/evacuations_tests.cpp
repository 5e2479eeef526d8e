#include "evacuation/evacuation.h"
#include "forwarding/loadnotice.h"
#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

namespace {

/// Longer than a claim of engines with one other instance.
constexpr auto kClaimed = Millis(1);

/// Two plain endpoints and four engines in each of two failure domains.
struct TwoDomains : FakeWorld
{
  evacuation::Evacuations mEvacuations;

  TwoDomains()
  {
    ApplyRouting(*mForwarder, MakeTable(MakeDocument(1)));
    auto number = 0;
    for (const auto* domain : { "a", "b" }) {
      for (const auto* service : { "plain", "engines" }) {
        for (auto i = 1; i <= (service[0] == 'p' ? 2 : 4); ++i) {
          Add(domain, service, i, ++number);
        }
      }
    }
    Run(kSettled);
  }

  auto Add(const std::string& aDomain,
           const std::string& aService,
           int aNumber,
           int aAddress) -> void
  {
    auto notice = directory::EndpointNotice{};
    notice.mId = { aDomain + "-" + aService + std::to_string(aNumber) };
    notice.mService = aService;
    notice.mAddress = "10.1.0." + std::to_string(aAddress) + ":80";
    notice.mFailureDomain = { aDomain };
    notice.mSlots = 16;
    notice.mIncarnation = 1;
    notice.mSequence = 1;
    ApplyEndpoints(*mForwarder, { "c1", false, { { notice, false } } });
  }

  auto Order(const std::string& aDomain, bool aIsEvacuated) -> void
  {
    mEvacuations =
      evacuation::ApplyOrder(mEvacuations, { { aDomain }, aIsEvacuated });
    SetEvacuations(*mForwarder, mEvacuations);
  }

  auto AskLong(std::int64_t aTokens) -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest("long");
    request.mPrompt = PromptFacts{ aTokens, 800 };
    return Ask(request);
  }

  /// Returns the failure domain of the endpoint of a send.
  static auto DomainOf(const FakeSend& aSend) -> std::string
  {
    return aSend.Header("endpoint").substr(0, 1);
  }

  /// Returns true if a send or one of its helpers goes to the domain.
  static auto Uses(const FakeSend& aSend, const std::string& aDomain) -> bool
  {
    const auto last = aDomain == "a" ? 6 : 12;
    for (auto i = last - 5; i <= last; ++i) {
      const auto address = "10.1.0." + std::to_string(i) + ":80";
      for (const auto& it : aSend.mExchange.mRequest.mHeaders) {
        if (it.mName == "helper" && it.mValue.starts_with(address + "/")) {
          return true;
        }
      }
    }
    return DomainOf(aSend) == aDomain;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationsTests, TwoDomains)

BOOST_AUTO_TEST_CASE(NothingIsSentToAnEvacuatedDomain)
{
  Order("a", true);
  BOOST_TEST(CountEvacuatedEndpoints(*mForwarder) == 6U);
  for (auto i = 0; i < 20; ++i) {
    Ask(MakeRequest("read"));
    BOOST_TEST(DomainOf(LastSend()) == "b");
  }
  Order("a", false);
  Ask(MakeRequest("read"));
  BOOST_TEST(DomainOf(LastSend()) == "a", "the near domain is preferred");
}

BOOST_AUTO_TEST_CASE(RunningRequestsEndWhereTheyAre)
{
  const auto caller = Ask(MakeRequest("read"));
  BOOST_REQUIRE(DomainOf(LastSend()) == "a");
  Order("a", true);
  Answer(LastSend(), 200, kSealed, "answer");
  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == "answer");
}

BOOST_AUTO_TEST_CASE(ARepeatAndAResumedStreamGoElsewhere)
{
  Ask(MakeRequest("read"));
  BOOST_REQUIRE(DomainOf(LastSend()) == "a");
  Order("a", true);
  End(LastSend(), ExchangeEnd::NotConnected);
  BOOST_TEST(DomainOf(LastSend()) == "b");

  Order("a", false);
  Ask(MakeRequest("draft"));
  BOOST_REQUIRE(DomainOf(LastSend()) == "a");
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), "id: 1\\ndata: x\\n\\n");
  Order("a", true);
  End(LastSend(), ExchangeEnd::Broken);
  BOOST_TEST(DomainOf(LastSend()) == "b");
}

BOOST_AUTO_TEST_CASE(EnginesThatWereClaimedBeforeAreNotUsed)
{
  AskLong(154000);
  BOOST_TEST(mSends.empty(), "the engines are being claimed");
  Order("a", true);
  Run(Millis(2 * kClaimed));
  BOOST_REQUIRE(!mSends.empty());
  BOOST_TEST(!Uses(LastSend(), "a"));
}

BOOST_AUTO_TEST_CASE(MemoryThatWasReservedBeforeIsReleased)
{
  AskLong(400000);
  Run(kClaimed);
  const auto holds = mSends;
  BOOST_REQUIRE(!holds.empty());
  Order("a", true);
  for (const auto& it : holds) {
    Answer(*it, 200, {}, "");
  }
  Run(kClaimed);
  auto released = 0;
  for (const auto& it : mSends) {
    const auto& path = it->mExchange.mRequest.mPath;
    released += path == "/release" ? 1 : 0;
    if (path == "/long/x") {
      BOOST_TEST(!Uses(*it, "a"));
    }
  }
  BOOST_TEST(released > 0);
}

BOOST_AUTO_TEST_CASE(AllDomainsEvacuatedMeansARefusalAtOnce)
{
  Order("a", true);
  Order("b", true);
  const auto caller = Ask(MakeRequest("read"));
  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == "no_capacity");
  BOOST_TEST(
    wire::FindHeader(caller->mResponse->mHeaders, "retry").has_value());
  BOOST_TEST(mSends.empty());
}

BOOST_AUTO_TEST_SUITE_END()
