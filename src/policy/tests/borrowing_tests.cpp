#include "policy/borrowing.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

auto
PromptAfter(Millis aWaited) -> PromptWork
{
  return { 154000, 800, Millis(4000), Millis(250), aWaited, Millis(10000) };
}

auto
Placed(double aFirstEventMillis) -> LaneChoice
{
  return { 0, {}, LaneReason::Together, aFirstEventMillis };
}

const auto kWaits = LaneChoice{ {}, {}, LaneReason::Wait, 0 };

} // namespace

BOOST_AUTO_TEST_SUITE(BorrowingTests)

BOOST_AUTO_TEST_CASE(EnginesOfTheOwnGroupAreUsedWhileTheyAreInTime)
{
  BOOST_TEST(!ShouldBorrow(PromptAfter(Millis(0)), Placed(3900), {}));
  BOOST_TEST(ShouldBorrow(PromptAfter(Millis(0)), Placed(4100), {}));
  BOOST_TEST(ShouldBorrow(PromptAfter(Millis(3000)), Placed(1100), {}));
}

BOOST_AUTO_TEST_CASE(APromptWaitsForItsOwnGroupFirst)
{
  BOOST_TEST(!ShouldBorrow(PromptAfter(Millis(900)), kWaits, {}));
  BOOST_TEST(ShouldBorrow(PromptAfter(Millis(1000)), kWaits, {}));
}

BOOST_AUTO_TEST_CASE(APromptWithoutEnginesOfItsOwnBorrows)
{
  BOOST_TEST(ShouldBorrow(PromptAfter(Millis(0)), LaneChoice{}, {}));
  BOOST_TEST(IsBetterBorrowed(LaneChoice{}, Placed(9000), {}));
  BOOST_TEST(!IsBetterBorrowed(LaneChoice{}, kWaits, {}));
}

BOOST_AUTO_TEST_CASE(OtherEnginesMustAnswerEarlier)
{
  BOOST_TEST(IsBetterBorrowed(Placed(500), Placed(400), {}));
  BOOST_TEST(!IsBetterBorrowed(Placed(500), Placed(490), {}));
}

BOOST_AUTO_TEST_SUITE_END()
