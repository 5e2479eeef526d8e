#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using routing::RouteKind;
using wire::ExchangeEnd;

namespace {

auto
Buckets(const TimeHistogram& aHistogram) -> std::vector<std::uint64_t>
{
  return { aHistogram.mCounts.begin(), aHistogram.mCounts.end() };
}

/// One time in the bucket of that number.
auto
OneIn(std::size_t aBucket) -> std::vector<std::uint64_t>
{
  auto buckets = std::vector<std::uint64_t>(kTimeBounds.size() + 1, 0);
  buckets.at(aBucket) = 1;
  return buckets;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(OutcomeTests, ReadyWorld)

BOOST_AUTO_TEST_CASE(ATimeOnABucketBoundCountsInTheLowerBucket)
{
  auto histogram = TimeHistogram{};
  AddTime(histogram, Millis(10));
  AddTime(histogram, Millis(11));
  AddTime(histogram, Millis(60001));

  BOOST_TEST(histogram.mCounts.front() == 1U);
  BOOST_TEST(histogram.mCounts.at(1) == 1U);
  BOOST_TEST(histogram.mCounts.back() == 1U);
  BOOST_TEST(histogram.mSum.count() == 60022);
}

BOOST_AUTO_TEST_CASE(ADeliveredAnswerIsTimedByItsKind)
{
  Ask(MakeRequest("read"));
  Run(Millis(40));
  Answer(LastSend(), 200, kSealed, "x");

  const auto& times = TimesOf(*mForwarder);
  BOOST_REQUIRE(times.mWhole.size() == 1U);
  const auto& [key, histogram] = *times.mWhole.begin();
  BOOST_TEST((key == ForwardTimes::KindAndOutcome{
                       RouteKind::Idempotent, ForwardOutcome::Delivered }));
  BOOST_TEST(Buckets(histogram) == OneIn(2), boost::test_tools::per_element());
  BOOST_TEST(times.mFailures.empty());
}

BOOST_AUTO_TEST_CASE(AStreamIsTimedToItsFirstEventAndToItsEnd)
{
  Ask(MakeRequest("draft"));
  Run(Millis(90));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), "id: 1\ndata: a\n\n");
  Run(Millis(300));
  End(LastSend(), ExchangeEnd::Complete);

  const auto& times = TimesOf(*mForwarder);
  BOOST_TEST(Buckets(times.mFirstEvent) == OneIn(3),
             boost::test_tools::per_element());
  BOOST_REQUIRE(times.mWhole.size() == 1U);
  BOOST_TEST(Buckets(times.mWhole.begin()->second) == OneIn(5),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ARefusalIsCountedByItsReason)
{
  auto wrongKey = MakeRequest("read");
  wrongKey.mKey = "bad key";
  Ask(wrongKey);
  Ask(MakeRequest("nowhere"));

  const auto& times = TimesOf(*mForwarder);
  const auto expected =
    std::map<FailureKind, std::uint64_t>{ { FailureKind::UnknownKey, 1 },
                                          { FailureKind::NoRoute, 1 } };
  BOOST_TEST((times.mFailures == expected));
  for (const auto& [key, histogram] : times.mWhole) {
    BOOST_TEST((key.second == ForwardOutcome::Refused));
  }
  BOOST_TEST(CountersOf(*mForwarder).mRefused == 2U);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesIsCountedOnce)
{
  const auto caller = Ask(MakeRequest("read"));
  caller->mIsDisconnected = true;
  Run(Millis(1000));

  const auto& times = TimesOf(*mForwarder);
  BOOST_REQUIRE(times.mWhole.size() == 1U);
  BOOST_TEST(
    (times.mWhole.begin()->first.second == ForwardOutcome::CallerGone));
  BOOST_TEST(CountersOf(*mForwarder).mCallersGone == 1U);
  BOOST_TEST(CountersOf(*mForwarder).mDelivered == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
