#include "policy/admission.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace cuminslip;

namespace {

struct Case
{
  std::string mName;
  std::function<void(AdmissionInput&, RequestFacts&, EndpointChoice&)> mChange;
  AdmissionReason mWanted = AdmissionReason::Admitted;
  bool mHasHint = true;
};

const auto kCases = std::vector<Case>{
  { "plain", [](auto&, auto&, auto&) {}, AdmissionReason::Admitted, false },
  { "stopping",
    [](auto& aInput, auto&, auto&) { aInput.mIsStopping = true; },
    AdmissionReason::Stopping },
  { "late already",
    [](auto& aInput, auto& aRequest, auto&) {
      aRequest.mDeadline = aInput.mNow;
    },
    AdmissionReason::AllowanceUsedUp,
    false },
  { "no place",
    [](auto&, auto&, auto& aChoice) {
      aChoice.mReason = ChoiceReason::NonePermitted;
    },
    AdmissionReason::NonePermitted,
    false },
  { "place may come",
    [](auto&, auto&, auto& aChoice) {
      aChoice.mReason = ChoiceReason::LaneFull;
      aChoice.mConsidered.clear();
    },
    AdmissionReason::Admitted,
    false },
  { "account's count",
    [](auto& aInput, auto&, auto&) { aInput.mWait.mAccountRequests = 200; },
    AdmissionReason::AccountQueueFull },
  { "all bytes",
    [](auto& aInput, auto&, auto&) {
      aInput.mWait.mBytes = aInput.mMaxBytes - 1;
    },
    AdmissionReason::QueueFull },
  { "queue too long for the deadline",
    [](auto& aInput, auto&, auto&) {
      aInput.mWait.mPredictedWait = Seconds(900);
    },
    AdmissionReason::PredictedTooLate },
  { "prefill too long for the deadline",
    [](auto&, auto&, auto& aChoice) {
      aChoice.mConsidered.front().mTimes.mPrefill = Seconds(900);
    },
    AdmissionReason::PredictedTooLate },
  { "late by less than predictions err",
    [](auto&, auto&, auto& aChoice) {
      aChoice.mConsidered.front().mTimes.mPrefill = Seconds(700);
    },
    AdmissionReason::Admitted,
    false },
  { "overload",
    [](auto& aInput, auto&, auto&) { aInput.mOverloadLevel = 1.0; },
    AdmissionReason::Overloaded },
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTests)

BOOST_AUTO_TEST_CASE(RefusesAtOnceWithReasonAndHint)
{
  for (const auto& item : kCases) {
    BOOST_TEST_CONTEXT(item.mName)
    {
      auto request = MakeRequest(2000);
      auto choice = EndpointChoice{};
      choice.mIndex = 0;
      choice.mReason = ChoiceReason::LeastCost;
      choice.mConsidered = { ConsideredEndpoint{} };
      const auto limits = AccountLimits{};
      auto input = AdmissionInput{ request, limits, choice };
      input.mNow = kTestStart;
      item.mChange(input, request, choice);
      auto bucket = TokenBucket{};
      auto random = std::mt19937_64(1);

      const auto decision = DecideAdmission(input, {}, bucket, random);

      BOOST_TEST(ToText(decision.mReason) == ToText(item.mWanted));
      BOOST_TEST(decision.mRetryAfter.has_value() == item.mHasHint);
      const auto isCharged =
        bucket.mIsStarted && bucket.mLevel < limits.mBurstTokens;
      BOOST_TEST(isCharged == IsAdmitted(decision));
    }
  }
}

BOOST_AUTO_TEST_CASE(BucketLimitsByTokensAndPaysDebtBack)
{
  const auto limits = AccountLimits{ 1000, 5000 };
  auto bucket = TokenBucket{};
  BOOST_TEST(TakeTokens(bucket, limits, 9000, kTestStart));
  BOOST_TEST(!TakeTokens(bucket, limits, 1, kTestStart));
  BOOST_TEST((TimeUntilTokens(bucket, limits) == Millis(4001)));
  const auto paid = kTestStart + TimeUntilTokens(bucket, limits);
  BOOST_TEST(!TakeTokens(bucket, limits, 1, paid - Millis(2)));
  BOOST_TEST(TakeTokens(bucket, limits, 1, paid));
  ChargeTokens(bucket, limits, -100000, paid);
  BOOST_TEST(bucket.mLevel == 5000);
}

BOOST_AUTO_TEST_CASE(BucketNeverGivesMoreThanRateAndBurst)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937_64(seed);
      auto draw = std::uniform_int_distribution<std::int64_t>(1, 3000);
      const auto limits = AccountLimits{ 1000, 5000 };
      auto bucket = TokenBucket{};
      auto now = kTestStart;
      auto taken = 0.0;
      for (auto i = 0; i < 2000; ++i) {
        now += Millis(draw(random) / 3);
        const auto tokens = static_cast<double>(draw(random));
        taken += TakeTokens(bucket, limits, tokens, now) ? tokens : 0;
        const auto seconds =
          std::chrono::duration<double>(now - kTestStart).count();
        BOOST_REQUIRE_LE(taken, 5000 + 1000 * seconds + 3000);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
