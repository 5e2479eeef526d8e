#include "policy/warmup.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace cuminslip;

namespace {

constexpr auto kRules = LimitRules{};

/// Returns the times at which one holder sends during aTime, as soon as it
/// may, after it saved up all that it may.
auto
SendTimes(double aShare, Millis aTime, bool aIsNew) -> std::vector<TimePoint>
{
  auto clock = ManualClock{};
  auto allowance =
    SendAllowance{ 0, aIsNew ? clock.mNow : clock.mNow - Seconds(3600) };
  auto times = std::vector<TimePoint>{};
  for (auto passed = Millis(0); passed < aTime; passed += Millis(1)) {
    allowance = Replenish(allowance, aShare, clock.mNow, kRules);
    while (TimeUntilSend(allowance, aShare) == Millis(0)) {
      allowance.mRequests -= 1;
      times.push_back(clock.mNow);
    }
    Advance(clock, Millis(1));
  }
  return times;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WarmUpTests)

// The values of a deployment with 14 requests per second.
BOOST_AUTO_TEST_CASE(TheWholeRateIsSharedWhereTheBoundLeavesRoom)
{
  const auto shares = ShareWarmUp({ 14, 1.5, 5 }, kRules);
  BOOST_TEST(shares.mRate == 14);
  BOOST_TEST(shares.mHolders == 6U);
}

BOOST_AUTO_TEST_CASE(ABoundWithoutRoomLeavesNothingToSend)
{
  BOOST_TEST((ShareWarmUp({ 0.4, 1.5, 0 }, kRules) == WarmUpShares{}));
  BOOST_TEST((ShareWarmUp({ 0, 1.5, 5 }, kRules) == WarmUpShares{}));
  const auto shares = ShareWarmUp({ 14, 0, 2 }, kRules);
  BOOST_TEST(shares.mHolders == 1U);
  BOOST_TEST(shares.mRate > 0);
}

// An endpoint that gets more than the bound crashes, so that the sum over the
// holders counts, also while one follows another after a change of the roster.
BOOST_AUTO_TEST_CASE(NoSecondSeesMoreThanTheBound)
{
  BOOST_TEST(rc::check("any bound and any fleet", [] {
    const auto draw = [](int aMax) {
      return static_cast<double>(*rc::gen::inRange(0, aMax * 100)) / 100.0;
    };
    const auto bound = WarmUpBound{ draw(200), draw(4), draw(40) };
    const auto instances = *rc::gen::inRange<std::size_t>(1, 80);
    const auto key = *rc::gen::arbitrary<std::uint64_t>();
    auto fleet = std::vector<directory::EntryInstance>{};
    for (auto i = std::size_t{ 0 }; i < instances; ++i) {
      fleet.push_back({ std::to_string(i), { i % 3 == 0 ? "a" : "b" } });
    }
    const auto shares = ShareWarmUp(bound, kRules);
    RC_ASSERT(shares.mRate <= bound.mRate);
    auto sends = std::size_t{ 0 };
    auto highest = 0.0;
    for (const auto& it : fleet) {
      const auto share = ShareAmongHolders({ key, { "a" }, shares.mRate },
                                           shares.mHolders,
                                           it.mPeerAddress,
                                           fleet);
      highest = std::max(highest, share);
      sends += SendTimes(share, Seconds(1), false).size();
    }
    // One more holder begins while the former one uses up what it saved.
    if (fleet.size() > shares.mHolders) {
      sends += SendTimes(highest, Seconds(1), true).size();
    }
    RC_ASSERT(static_cast<double>(sends) <= AllowedPerSecond(bound));
  }));
}

BOOST_AUTO_TEST_SUITE_END()
