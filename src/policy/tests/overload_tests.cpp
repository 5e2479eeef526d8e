#include "policy/overload.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

/// Updates once per second with the same waits; returns the resulting level.
auto
RunSeconds(OverloadState& aState, int aSeconds, Micros aLeast, Micros aOldest)
  -> double
{
  auto now = aState.mIsStarted ? aState.mIntervalStart : kTestStart;
  UpdateOverload(aState, {}, aOldest, now);
  for (auto i = 0; i < aSeconds; ++i) {
    now += Seconds(1);
    RecordWait(aState, aLeast);
    UpdateOverload(aState, {}, aOldest, now);
  }
  return aState.mLevel;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadTests)

BOOST_AUTO_TEST_CASE(RisesWhileWaitsStayLongAndFallsBackToNothing)
{
  auto state = OverloadState{};

  BOOST_TEST(RunSeconds(state, 12, Seconds(2), Seconds(3)) == 1.0);
  BOOST_TEST(RunSeconds(state, 20, Micros(0), Micros(0)) == 0.0);
}

BOOST_AUTO_TEST_CASE(PatientWaitsAloneAreNoOverload)
{
  auto state = OverloadState{};

  BOOST_TEST(RunSeconds(state, 60, Seconds(7200), Micros(0)) == 0.0);
}

BOOST_AUTO_TEST_CASE(OneShortWaitInAnIntervalIsNoOverload)
{
  auto state = OverloadState{};

  BOOST_TEST(RunSeconds(state, 60, Millis(1), Seconds(30)) == 0.0);
}

BOOST_AUTO_TEST_CASE(ShedsInTheStatedOrder)
{
  const auto order =
    std::vector<ShedClass>{ { Priority::Urgent, false, true },
                            { Priority::Urgent, true, false },
                            { Priority::Normal, false, false },
                            { Priority::Patient, false, false },
                            { Priority::Urgent, false, false } };
  for (auto level = 0.0; level <= 1.0; level += 0.05) {
    for (auto i = std::size_t{ 1 }; i < order.size(); ++i) {
      BOOST_TEST(ShedShare(order[i - 1], level) >= ShedShare(order[i], level));
    }
  }
  BOOST_TEST(ShedShare(order.front(), 0.0) == 0.0);
  BOOST_TEST(ShedShare(order.back(), 0.9) == 0.0);
}

BOOST_AUTO_TEST_CASE(SpreadsHintsWithinTheirBounds)
{
  auto random = std::mt19937_64(1);
  auto least = Millis(1000000);
  auto greatest = Millis(0);
  for (auto i = 0; i < 1000; ++i) {
    const auto hint =
      SpreadRetryAfter(Millis(1000), 1.0, Millis(60000), random);
    least = std::min(least, hint);
    greatest = std::max(greatest, hint);
  }
  BOOST_TEST((least >= Millis(1000) && least < Millis(1200)));
  BOOST_TEST((greatest <= Millis(8000) && greatest > Millis(7500)));
  BOOST_TEST((SpreadRetryAfter(Millis(90000), 0, Millis(60000), random) ==
              Millis(60000)));
}

BOOST_AUTO_TEST_SUITE_END()
