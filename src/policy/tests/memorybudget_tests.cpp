#include "policy/memorybudget.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

constexpr auto kMiB = std::size_t{ 1024 } * 1024;
constexpr auto kRules = MemoryRules{ 80 * kMiB };
constexpr auto kLarge = 4 * kMiB;
constexpr auto kSmall = std::size_t{ 800 };

} // namespace

BOOST_AUTO_TEST_SUITE(MemoryBudgetTests)

// Incident LOST: large requests took more memory than the process may use.
BOOST_AUTO_TEST_CASE(LargeBodiesNeverTakeMoreThanTheBound)
{
  auto use = MemoryUse{};
  auto taken = 0;
  for (auto n = 0; n < 64; ++n) {
    auto next = use;
    next.mReceived += kLarge;
    next.mBodies += kLarge;
    if (MayTakeBody(next, kLarge, kRules)) {
      use = next;
      ++taken;
    }
  }
  BOOST_TEST(taken == 8);
  BOOST_TEST(TotalOf(use) <= kRules.mMaxBytes);
}

BOOST_AUTO_TEST_CASE(AnswersThatCallersLeaveUnreadCount)
{
  BOOST_TEST(MayTakeBody({ kLarge, kLarge, 0, 30 * kMiB }, kLarge, kRules));
  BOOST_TEST(!MayTakeBody({ kLarge, kLarge, 0, 70 * kMiB }, kLarge, kRules));
  BOOST_TEST(!MayTakeBody({ kLarge, kLarge, 70 * kMiB, 0 }, kLarge, kRules));
}

BOOST_AUTO_TEST_CASE(LargeBodiesDoNotShutOutSmallOnes)
{
  const auto full = MemoryUse{ 40 * kMiB, 35 * kMiB, 0, 0 };
  BOOST_TEST(!MayTakeBody(full, kLarge, kRules));
  BOOST_TEST(MayTakeBody(full, kSmall, kRules));
  BOOST_TEST(!MayTakeBody({ 41 * kMiB, 40 * kMiB, 0, 0 }, kSmall, kRules));
}

BOOST_AUTO_TEST_CASE(RequestsWithoutABodyAreNotRefused)
{
  BOOST_TEST(MayTakeBody({ 100 * kMiB, 0, 0, 0 }, 0, kRules));
}

BOOST_AUTO_TEST_CASE(WithoutABoundNothingIsRefused)
{
  BOOST_TEST(MayTakeBody({ 1000 * kMiB, 0, 0, 0 }, kLarge, {}));
}

BOOST_AUTO_TEST_CASE(ABoundIsNotLeftWhileLittleIsFree)
{
  BOOST_TEST(!IsBoundLeft({ 61 * kMiB, 0, 0, 0 }, kRules));
  BOOST_TEST(IsBoundLeft({ 60 * kMiB, 0, 0, 0 }, kRules));
}

BOOST_AUTO_TEST_SUITE_END()
