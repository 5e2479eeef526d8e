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

/// An endpoint, its service and the time of its failure.
struct Failure
{
  std::uint64_t mEndpoint = 0;
  std::uint64_t mService = 0;
  int mAt = 0;
};

auto
FailAt(const std::vector<Failure>& aFailures, std::size_t aKnown = kKnown)
  -> Reach
{
  auto reach = Reach{};
  for (const auto& it : aFailures) {
    reach = AddUnreached(
      std::move(reach), it.mEndpoint, it.mService, aKnown, At(it.mAt), kRules);
  }
  return reach;
}

const auto kCut =
  std::vector<Failure>{ { 1, 1, 0 }, { 2, 1, 100 }, { 3, 2, 200 } };

} // namespace

BOOST_AUTO_TEST_SUITE(ReachTests)

BOOST_AUTO_TEST_CASE(EndpointsOfSeveralServicesWithoutAnAnswerMakeACut)
{
  BOOST_TEST(FailAt(kCut).mIsLost);
  BOOST_TEST(!FailAt({ { 1, 1, 0 }, { 2, 2, 100 } }).mIsLost);
  BOOST_TEST(
    !FailAt({ { 1, 1, 0 }, { 2, 2, 100 }, { 2, 2, 200 }, { 1, 1, 300 } })
       .mIsLost);
  BOOST_TEST(FailAt({ { 1, 1, 0 }, { 2, 1, 100 } }, 2).mIsLost,
             "all there are");
  BOOST_TEST(!FailAt({ { 1, 1, 0 }, { 2, 1, 1 }, { 3, 2, 2 } }).mIsLost,
             "none had the time to answer");

  auto reach = FailAt({ { 1, 1, 0 }, { 2, 1, 100 } });
  reach = AddReached(reach, At(150));
  reach = AddUnreached(std::move(reach), 3, 2, kKnown, At(200), kRules);
  BOOST_TEST(!reach.mIsLost);
}

BOOST_AUTO_TEST_CASE(AServiceThatIsDownIsNoCut)
{
  auto failures = std::vector<Failure>{};
  for (auto i = 0; i < 5; ++i) {
    failures.push_back({ static_cast<std::uint64_t>(i), 1, i * 100 });
  }
  BOOST_TEST(!FailAt(failures).mIsLost);
  failures.push_back({ 5, 1, 500 });
  BOOST_TEST(FailAt(failures).mIsLost);
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnEarlierRequestDoesNotEndACut)
{
  auto reach = AddReached(FailAt(kCut), At(-10));
  BOOST_TEST(reach.mIsLost);
  reach = AddReached(reach, At(300));
  BOOST_TEST(!reach.mIsLost);
}

BOOST_AUTO_TEST_CASE(OnlyALostInstanceTriesAndNotAllTheTime)
{
  const auto reach = FailAt(kCut);
  const auto due = At(200) + kRules.mTrialInterval;
  BOOST_TEST(!IsReachTrialDue(reach, due - Millis(1), kRules));
  BOOST_TEST(IsReachTrialDue(reach, due, kRules));
  BOOST_TEST(!IsReachTrialDue(FailAt({ { 1, 1, 0 } }), due, kRules));
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
