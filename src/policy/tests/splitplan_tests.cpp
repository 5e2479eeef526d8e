#include "policy/splitplan.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace cuminslip;

namespace {

auto
Plan(std::vector<EndpointView>& aViews, const RequestFacts& aRequest)
  -> SplitPlan
{
  AssignLanes(aViews, {});
  return PlanSplit(
    aRequest, MakeTemplate(), aViews, { { "d1" }, { "r1" } }, {}, {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(SplitPlanTests)

BOOST_AUTO_TEST_CASE(SpreadsMoreThanTwiceAnEnginesMemory)
{
  auto views = MakeEngines(6);
  const auto plan = Plan(views, MakeRequest(220000));
  BOOST_TEST((plan.mReason == SplitReason::Planned));
  BOOST_TEST(plan.mParts.size() == 3U);
  BOOST_TEST((plan.mPredictedPrefill >= Seconds(22)));
}

BOOST_AUTO_TEST_CASE(GivesTheReasonForNone)
{
  auto views = MakeEngines(4);
  BOOST_TEST(
    (Plan(views, MakeRequest(90000)).mReason == SplitReason::NotNeeded));
  BOOST_TEST(
    (Plan(views, MakeRequest(900000)).mReason == SplitReason::NeverFits));
  for (auto& view : views) {
    view.mLoad.mFreeKvTokens = 30000;
  }
  BOOST_TEST(
    (Plan(views, MakeRequest(220000)).mReason == SplitReason::NotEnoughFree));
}

BOOST_AUTO_TEST_CASE(StaysInOneFailureDomainWhereThatIsEnough)
{
  auto views = std::vector<EndpointView>{};
  for (auto i = 0; i < 12; ++i) {
    views.push_back(MakeEngine(std::to_string(i), "d" + std::to_string(i % 2)));
  }
  const auto plan = Plan(views, MakeRequest(250000));
  BOOST_REQUIRE((plan.mReason == SplitReason::Planned));
  for (const auto& part : plan.mParts) {
    BOOST_TEST(views[part.mIndex].mFailureDomain.mValue == "d1");
  }
}

BOOST_AUTO_TEST_CASE(PartsCoverThePromptWithinFreeMemory)
{
  auto planned = 0;
  for (auto seed = std::uint64_t{ 1 }; seed <= 300; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937_64(seed);
      auto free = std::uniform_int_distribution<std::int64_t>(0, 100000);
      auto tokens = std::uniform_int_distribution<std::int64_t>(100001, 500000);
      auto views = MakeEngines(10);
      for (auto& view : views) {
        view.mLoad.mFreeKvTokens = free(random);
        view.mIsEjected = free(random) < 10000;
      }
      const auto request = MakeRequest(tokens(random));
      const auto plan = Plan(views, request);
      if (plan.mReason != SplitReason::Planned) {
        BOOST_REQUIRE(plan.mParts.empty());
        continue;
      }
      ++planned;
      auto next = std::int64_t{ 0 };
      auto used = std::set<std::size_t>{};
      for (const auto& part : plan.mParts) {
        const auto& view = views[part.mIndex];
        BOOST_REQUIRE(used.insert(part.mIndex).second);
        BOOST_REQUIRE(!view.mIsEjected);
        BOOST_REQUIRE(part.mFirstToken == next);
        BOOST_REQUIRE(part.mTokens > 0);
        const auto kept = view.mLane == Lane::Long ? 0 : 20000;
        BOOST_REQUIRE_LE(part.mReservedTokens + kept, view.mLoad.mFreeKvTokens);
        next += part.mTokens;
      }
      BOOST_REQUIRE_EQUAL(next, request.mPromptTokens);
    }
  }
  BOOST_TEST(planned > 100);
}

BOOST_AUTO_TEST_SUITE_END()
