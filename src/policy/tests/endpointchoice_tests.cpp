#include "policy/endpointchoice.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace cuminslip;

namespace {

struct Choosing
{
  std::vector<EndpointView> mViews = MakeEngines(6);
  RequestFacts mRequest = MakeRequest(2000);
  Template mTemplate = MakeTemplate();
  OwnPlace mPlace{ { "d1" }, { "r1" } };
  std::vector<EndpointId> mTried;
  PrefixKnowledge mPrefixes;
  ChoiceSettings mSettings;
  ChoiceState mState;
  std::mt19937_64 mRandom{ 1 };

  auto Choose() -> EndpointChoice
  {
    AssignLanes(mViews, mSettings.mLanes);
    return ChooseEndpoint(
      { mRequest, mTemplate, mPlace, mViews, mTried, &mPrefixes, kTestStart },
      mSettings,
      mState,
      mRandom);
  }

  auto ChooseId() -> std::string
  {
    const auto choice = Choose();
    return choice.mIndex ? mViews[*choice.mIndex].mId.mValue
                         : std::string(ToText(choice.mReason));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointChoiceTests)

BOOST_AUTO_TEST_CASE(NeverChoosesWhatIsNotPermitted)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 200; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto choosing = Choosing{};
      choosing.mRandom.seed(seed);
      auto draw = std::uniform_int_distribution<int>(0, 2);
      for (auto& view : choosing.mViews) {
        view.mFailureDomain = { "d" + std::to_string(draw(choosing.mRandom)) };
        view.mState = static_cast<EndpointState>(draw(choosing.mRandom));
        view.mRole = static_cast<EngineRole>(draw(choosing.mRandom));
        view.mIsEjected = draw(choosing.mRandom) == 0;
        view.mLoad.mQueuedPrefillTokens =
          std::int64_t{ 40000 } * draw(choosing.mRandom);
      }
      choosing.mTemplate.mFailureDomains = { { "d1" }, { "d2" } };
      choosing.mTried = { { "engine-0" } };
      for (const auto rule : { ChoiceRule::LeastCost,
                               ChoiceRule::RoundRobin,
                               ChoiceRule::LeastOutstanding,
                               ChoiceRule::LeastReportedLoad }) {
        choosing.mSettings.mRule = rule;
        const auto choice = choosing.Choose();
        if (!choice.mIndex) {
          continue;
        }
        const auto& view = choosing.mViews[*choice.mIndex];
        BOOST_REQUIRE(
          (CheckPermission(view, choosing.mRequest, choosing.mTemplate) ==
           Permission::Permitted));
        BOOST_REQUIRE(!view.mIsEjected);
        BOOST_REQUIRE(view.mId.mValue != "engine-0");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(GivesTheReasonForNone)
{
  auto choosing = Choosing{};
  choosing.mTried = { { "engine-0" } };
  choosing.mViews.resize(1);
  BOOST_TEST(choosing.ChooseId() == "none_available");
  choosing.mTried.clear();
  choosing.mRequest.mPromptTokens = 1000000;
  BOOST_TEST(choosing.ChooseId() == "too_large");
  choosing.mRequest.mModel = { "other" };
  BOOST_TEST(choosing.ChooseId() == "none_permitted");
  choosing.mViews.clear();
  BOOST_TEST(choosing.ChooseId() == "no_endpoint");
}

BOOST_AUTO_TEST_CASE(PrefersTheCachedPrefixUntilItsEngineIsLoaded)
{
  auto choosing = Choosing{};
  choosing.mRequest = MakeRequest(10240);
  for (auto i = 0U; i < 20; ++i) {
    choosing.mRequest.mPrefixes.push_back(1000 + i);
  }
  choosing.mSettings.mPreferredCount = 0;
  RecordSentPrompt(choosing.mPrefixes,
                   { "engine-3" },
                   1,
                   choosing.mRequest.mPrefixes,
                   kTestStart);
  BOOST_TEST(choosing.ChooseId() == "engine-3");
  BOOST_TEST((choosing.Choose().mReason == ChoiceReason::LongestPrefix));
  choosing.mViews[3].mLoad.mQueuedPrefillTokens = 100000;
  BOOST_TEST(choosing.ChooseId() != "engine-3");
}

BOOST_AUTO_TEST_CASE(CountsWhatWasSentSinceTheReport)
{
  auto choosing = Choosing{};
  choosing.mViews.resize(2);
  choosing.mSettings.mExploreShare = 0;
  choosing.mViews[0].mSent = { 2, 50000 };
  for (auto i = 0; i < 20; ++i) {
    BOOST_REQUIRE(choosing.ChooseId() == "engine-1");
  }
}

BOOST_AUTO_TEST_CASE(SpreadsEqualEndpointsEvenly)
{
  auto choosing = Choosing{};
  choosing.mSettings.mLanes.mIsEnabled = false;
  auto counts = std::map<std::string, int>{};
  constexpr auto kRounds = 6000;
  for (auto i = 0; i < kRounds; ++i) {
    ++counts[choosing.ChooseId()];
  }
  for (const auto& view : choosing.mViews) {
    BOOST_TEST(counts[view.mId.mValue] > kRounds / 6 * 8 / 10);
    BOOST_TEST(counts[view.mId.mValue] < kRounds / 6 * 12 / 10);
  }
}

BOOST_AUTO_TEST_CASE(InstancesAgreeOnThePreferredEnginesOfAPrompt)
{
  auto wanted = std::string{};
  for (auto seed = std::uint64_t{ 1 }; seed <= 8; ++seed) {
    auto choosing = Choosing{};
    choosing.mSettings.mPreferredCount = 1;
    choosing.mRandom.seed(seed);
    choosing.mRequest.mPrefixes = { 77, 78, 79 };
    wanted = wanted.empty() ? choosing.ChooseId() : wanted;
    BOOST_TEST(choosing.ChooseId() == wanted);
  }
}

BOOST_AUTO_TEST_CASE(FindsOutThatAnEndpointHasRecovered)
{
  auto choosing = Choosing{};
  choosing.mViews[2].mHealth = { 0, 0.3, 1.0 };
  choosing.mViews[4].mHealth = { 0, 0.0, 8.0 };
  auto counts = std::map<std::string, int>{};
  for (auto i = 0; i < 3000; ++i) {
    ++counts[choosing.ChooseId()];
  }
  for (const auto* id : { "engine-2", "engine-4" }) {
    BOOST_TEST(counts[id] > 0);
    BOOST_TEST(counts[id] < 100);
  }
}

BOOST_AUTO_TEST_CASE(StaysInItsFailureDomainWhenLoadIsEqual)
{
  auto choosing = Choosing{};
  choosing.mViews = { MakeEngine("near", "d1"), MakeEngine("far", "d2") };
  choosing.mViews[1].mRegion = { "r2" };
  choosing.mTemplate.mRegions = { { "r1" }, { "r2" } };
  for (auto i = 0; i < 20; ++i) {
    BOOST_REQUIRE(choosing.ChooseId() == "near");
  }
  choosing.mViews[0].mLoad.mQueuedPrefillTokens = 20000;
  BOOST_TEST(choosing.ChooseId() == "far");
}

BOOST_AUTO_TEST_CASE(BaselinesChooseAsTheirNamesSay)
{
  auto choosing = Choosing{};
  choosing.mViews.resize(3);
  choosing.mSettings.mRule = ChoiceRule::RoundRobin;
  const auto first = choosing.Choose().mIndex.value();
  BOOST_TEST(choosing.Choose().mIndex.value() == (first + 1) % 3);
  choosing.mSettings.mRule = ChoiceRule::LeastOutstanding;
  choosing.mViews[0].mOwnStreams = 2;
  choosing.mViews[1].mOwnStreams = 1;
  choosing.mViews[2].mLoad.mRunningStreams = 5;
  BOOST_TEST(choosing.ChooseId() == "engine-2");
  choosing.mSettings.mRule = ChoiceRule::LeastReportedLoad;
  choosing.mViews[0].mLoad.mRunningStreams = 1;
  BOOST_TEST(choosing.ChooseId() == "engine-1");
}

BOOST_AUTO_TEST_SUITE_END()
