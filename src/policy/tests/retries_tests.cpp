#include "policy/retries.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace cuminslip;

namespace {

struct Case
{
  std::string mName;
  RetryInput mInput;
  RetryReason mWanted = RetryReason::Allowed;
};

constexpr auto kNotRun = AttemptOutcome::NotRun;
constexpr auto kUnknown = AttemptOutcome::Unknown;

const auto kCases = std::vector<Case>{
  { "broken, may repeat",
    { kUnknown, true, 1, Seconds(10), Seconds(2), true },
    RetryReason::Allowed },
  { "broken, may not repeat",
    { kUnknown, false, 1, Seconds(10), Seconds(2), true },
    RetryReason::NotIdempotent },
  { "did not run, may not repeat",
    { kNotRun, false, 1, Seconds(10), Seconds(2), true },
    RetryReason::Allowed },
  { "third attempt failed",
    { kNotRun, true, 3, Seconds(10), Seconds(2), true },
    RetryReason::TooManyAttempts },
  { "no time left",
    { kNotRun, true, 1, Micros(0), Seconds(0), true },
    RetryReason::NoAllowance },
  { "too little time left",
    { kNotRun, true, 1, Seconds(1), Seconds(2), true },
    RetryReason::NoAllowance },
  { "only the suspect is left",
    { kNotRun, true, 1, Seconds(10), Seconds(2), false },
    RetryReason::NoOtherEndpoint },
};

} // namespace

BOOST_AUTO_TEST_SUITE(RetriesTests)

BOOST_AUTO_TEST_CASE(RepeatsOnlyWhereSafeAndInTime)
{
  for (const auto& item : kCases) {
    BOOST_TEST_CONTEXT(item.mName)
    {
      auto budget = RetryBudget{};
      auto random = std::mt19937_64(1);
      const auto decision = DecideRetry(item.mInput, {}, budget, random);
      BOOST_TEST(ToText(decision.mReason) == ToText(item.mWanted));
    }
  }
}

BOOST_AUTO_TEST_CASE(RetriesStayAShareOfTraffic)
{
  const auto settings = RetrySettings{};
  const auto input =
    RetryInput{ kNotRun, true, 1, Seconds(10), Seconds(1), true };
  for (auto seed = std::uint64_t{ 1 }; seed <= 5; ++seed) {
    auto budget = RetryBudget{};
    auto random = std::mt19937_64(seed);
    auto retries = 0;
    constexpr auto kRequests = 1000;
    for (auto i = 0; i < kRequests; ++i) {
      RecordFirstAttempt(budget, settings);
      const auto decision = DecideRetry(input, settings, budget, random);
      retries += decision.mReason == RetryReason::Allowed ? 1 : 0;
      BOOST_REQUIRE((decision.mDelay <= settings.mFirstDelay));
    }
    BOOST_TEST(retries <=
               kRequests * settings.mBudgetShare + settings.mGreatestBudget);
  }
}

BOOST_AUTO_TEST_SUITE_END()
