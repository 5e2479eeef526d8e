#include "policy/retrybudget.h"
#include "policy/runverdict.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace cuminslip;

namespace {

struct RepeatCase
{
  const char* mWhat;
  RetryFacts mFacts;
  bool mMay;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RunVerdictTests)

BOOST_AUTO_TEST_CASE(OnlyWhatProvesItCountsAsNotRun)
{
  BOOST_TEST(
    (ClassifyOutcome(SendOutcome::NotConnected) == RunVerdict::NotRun));
  BOOST_TEST(
    (ClassifyOutcome(SendOutcome::RefusedNotRun) == RunVerdict::NotRun));
  BOOST_TEST(
    (ClassifyOutcome(SendOutcome::Unanswered) == RunVerdict::MayHaveRun));
  BOOST_TEST(
    (ClassifyOutcome(SendOutcome::NotAnAnswer) == RunVerdict::MayHaveRun));
  BOOST_TEST((ClassifyOutcome(SendOutcome::Answered) == RunVerdict::Ran));
}

BOOST_AUTO_TEST_CASE(RepeatsFollowTheTable)
{
  const auto once = RetryRule::OnlyIfNotRun;
  const auto any = RetryRule::Always;
  const auto cases = std::vector<RepeatCase>{
    { "reset, at most once",
      { SendOutcome::Unanswered, once, 1, 2, true, true },
      false },
    { "garbage, at most once",
      { SendOutcome::NotAnAnswer, once, 1, 2, true, true },
      false },
    { "error answer, at most once",
      { SendOutcome::Answered, once, 1, 2, true, true },
      false },
    { "refused, at most once",
      { SendOutcome::RefusedNotRun, once, 1, 2, true, true },
      true },
    { "no connection, at most once",
      { SendOutcome::NotConnected, once, 0, 1, true, true },
      true },
    { "reset, idempotent",
      { SendOutcome::Unanswered, any, 1, 2, true, true },
      true },
    { "attempts used up",
      { SendOutcome::Unanswered, any, 2, 2, true, true },
      false },
    { "no time", { SendOutcome::Unanswered, any, 1, 2, false, true }, false },
    { "no budget", { SendOutcome::Unanswered, any, 1, 2, true, false }, false },
  };
  for (const auto& it : cases) {
    BOOST_TEST(MayRetryRequest(it.mFacts) == it.mMay, it.mWhat);
  }
}

BOOST_AUTO_TEST_CASE(AllInstancesTogetherStayWithinTheBudget)
{
  // NOTE: instances get unequal shares of the requests, try to retry all the
  // time and know only the number of the others.
  constexpr auto kInstances = std::size_t{ 9 };
  constexpr auto kRuns = 50U;
  for (auto seed = 1U; seed <= kRuns; ++seed) {
    auto random = std::mt19937(seed);
    auto rules = RetryBudgetRules{};
    rules.mSlack = 104;
    auto budgets = std::vector<SendRetryBudget>(kInstances);
    auto requests = std::vector<TimePoint>{};
    auto repeats = std::vector<TimePoint>{};
    auto now = TimePoint{ Seconds(1000) };
    for (auto i = 0; i < 20000; ++i) {
      now += Micros(std::uniform_int_distribution<int>(0, 3000)(random));
      const auto which = std::min(
        std::uniform_int_distribution<std::size_t>(0, kInstances - 1)(random),
        std::uniform_int_distribution<std::size_t>(0, kInstances - 1)(random));
      if (i % 3 == 0) {
        NoteRequest(budgets[which], rules, now);
        requests.push_back(now);
      } else if (MayRetrySend(budgets[which], rules, kInstances, now)) {
        Draw(budgets[which], now);
        repeats.push_back(now);
      }
    }
    // Compares the retries of all instances in any window with the requests in
    // the same window.
    auto firstRequest = std::size_t{ 0 };
    auto lastRequest = std::size_t{ 0 };
    auto last = std::size_t{ 0 };
    for (auto first = std::size_t{ 0 }; first < repeats.size(); ++first) {
      const auto end = repeats[first] + rules.mWindow;
      while (last < repeats.size() && repeats[last] < end) {
        ++last;
      }
      while (firstRequest < requests.size() &&
             requests[firstRequest] < repeats[first]) {
        ++firstRequest;
      }
      while (lastRequest < requests.size() && requests[lastRequest] < end) {
        ++lastRequest;
      }
      // The check ends at the first window that extends past the last request,
      // since it has no requests beyond those of the window before.
      if (end > requests.back()) {
        break;
      }
      const auto allowed =
        rules.mRatio * static_cast<double>(lastRequest - firstRequest) +
        rules.mSlack;
      BOOST_REQUIRE_LE(static_cast<double>(last - first), allowed);
    }
    BOOST_TEST(!repeats.empty());
  }
}

BOOST_AUTO_TEST_CASE(AnInstanceWithoutRequestsHasItsPartOfTheSlack)
{
  auto rules = RetryBudgetRules{};
  rules.mSlack = 100;
  rules.mUsedShare = 0.5;
  auto budget = SendRetryBudget{};
  const auto now = TimePoint{ Seconds(1000) };
  auto drawn = 0;
  while (MayRetrySend(budget, rules, 10, now)) {
    Draw(budget, now);
    ++drawn;
  }
  BOOST_TEST(drawn == 5);
  BOOST_TEST(MayRetrySend(budget, rules, 10, now + rules.mWindow));
}

BOOST_AUTO_TEST_SUITE_END()
