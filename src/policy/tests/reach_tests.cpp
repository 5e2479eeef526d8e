#include "policy/reach.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace cuminslip;

namespace {

constexpr auto kRules = ReachRules{};
constexpr auto kKnown = std::size_t{ 20 };

auto
At(int aMillis) -> TimePoint
{
  return TimePoint(Seconds(1000)) + Millis(aMillis);
}

auto
FailAt(std::vector<std::pair<std::uint64_t, int>> aFailures,
       std::size_t aKnown = kKnown) -> Reach
{
  auto reach = Reach{};
  for (const auto& [endpoint, at] : aFailures) {
    reach = AddUnreached(std::move(reach), endpoint, aKnown, At(at), kRules);
  }
  return reach;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReachTests)

BOOST_AUTO_TEST_CASE(ThreeEndpointsWithoutAnAnswerInBetweenMakeACut)
{
  BOOST_TEST(!FailAt({ { 1, 0 }, { 2, 100 } }).mIsLost);
  BOOST_TEST(!FailAt({ { 1, 0 }, { 2, 100 }, { 2, 200 }, { 1, 300 } }).mIsLost);
  BOOST_TEST(FailAt({ { 1, 0 }, { 2, 100 }, { 3, 200 } }).mIsLost);
  BOOST_TEST(FailAt({ { 1, 0 }, { 2, 100 } }, 2).mIsLost, "all there are");

  auto reach = FailAt({ { 1, 0 }, { 2, 100 } });
  reach = AddReached(std::move(reach), At(150));
  reach = AddUnreached(std::move(reach), 3, kKnown, At(200), kRules);
  BOOST_TEST(!reach.mIsLost);
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnEarlierRequestDoesNotEndACut)
{
  auto reach = FailAt({ { 1, 0 }, { 2, 100 }, { 3, 200 } });
  reach = AddReached(std::move(reach), At(-10));
  BOOST_TEST(reach.mIsLost);
  reach = AddReached(std::move(reach), At(300));
  BOOST_TEST(!reach.mIsLost);
}

BOOST_AUTO_TEST_CASE(OnlyALostInstanceTriesAndNotAllTheTime)
{
  const auto reach = FailAt({ { 1, 0 }, { 2, 100 }, { 3, 200 } });
  const auto due = At(200) + kRules.mTrialInterval;
  BOOST_TEST(!IsReachTrialDue(reach, due - Millis(1), kRules));
  BOOST_TEST(IsReachTrialDue(reach, due, kRules));
  BOOST_TEST(!IsReachTrialDue(FailAt({ { 1, 0 } }), due, kRules));
}

BOOST_AUTO_TEST_CASE(APreferredRelayComesFirst)
{
  auto candidates = std::vector<RelayCandidate>{ { false, false, 0, 1 },
                                                 { true, false, 5, 2 },
                                                 { true, false, 4, 3 },
                                                 { true, true, 0, 4 } };
  BOOST_TEST(ChooseRelay(candidates).value() == 2U);
  candidates[1].mIsAvoided = true;
  candidates[2].mIsAvoided = true;
  BOOST_TEST(ChooseRelay(candidates).value() == 0U);
  candidates[0].mIsAvoided = true;
  BOOST_TEST(!ChooseRelay(candidates).has_value());
}

BOOST_AUTO_TEST_CASE(UrgentRequestsAreAcceptedLongest)
{
  const auto isGood = rc::check([] {
    const auto relayed = static_cast<std::size_t>(*rc::gen::inRange(0, 100));
    const auto priority = *rc::gen::inRange(0, 9);
    const auto rules = RelayRules{};
    const auto mayAccept = MayAcceptRelayed(relayed, priority, rules);
    RC_ASSERT(!mayAccept || relayed < rules.mMaxRelayed);
    RC_ASSERT(!mayAccept || MayAcceptRelayed(relayed, 0, rules));
    RC_ASSERT(relayed > 0 || mayAccept);
  });
  BOOST_TEST(isGood);
}

BOOST_AUTO_TEST_SUITE_END()
