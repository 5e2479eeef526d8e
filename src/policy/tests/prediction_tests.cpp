#include "policy/prediction.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

BOOST_AUTO_TEST_SUITE(PredictionTests)

BOOST_AUTO_TEST_CASE(CountsReportAgeSentCacheAndSlowness)
{
  auto view = MakeEngine("e");
  view.mLoad.mQueuedPrefillTokens = 20000;
  view.mSent = { 1, 10000 };
  view.mReportAge = Millis(1000);
  const auto work = WorkSize{ 6000, 100, 1000, 2 };

  const auto times = PredictTimes(view, work, {});

  BOOST_TEST((times.mQueue == Seconds(2)));
  BOOST_TEST((times.mPrefill == Millis(500)));
  BOOST_TEST((times.mDecode == Seconds(2)));
  view.mHealth.mSlowness = 3;
  BOOST_TEST((PredictTimes(view, work, {}).mPrefill == Millis(1500)));
  const auto urgent = WorkSize{ 6000, 100, 1000, 0 };
  BOOST_TEST((PredictTimes(view, urgent, {}).mQueue == Millis(1500)));
}

BOOST_AUTO_TEST_CASE(WaitsForASlotWhenAllAreTaken)
{
  auto view = MakeEngine("e");
  view.mLoad.mRunningStreams = 7;
  BOOST_TEST((PredictTimes(view, {}, {}).mQueue == Micros(0)));
  view.mSent.mStreams = 1;
  BOOST_TEST((PredictTimes(view, {}, {}).mQueue > Micros(0)));
}

BOOST_AUTO_TEST_CASE(MissingFiguresGiveFiniteTimes)
{
  auto view = EndpointView{};
  view.mLoad.mBatchSlots = 0;
  view.mReportAge = Millis(-5);
  view.mSent.mPrefillTokens = 100;
  const auto times = PredictTimes(view, { 1000, 10, 5000, 9 }, {});
  BOOST_TEST((times.mPrefill == Micros(0)));
  BOOST_TEST((times.mQueue > Micros(0) && times.mQueue < Seconds(60)));
  BOOST_TEST(EstimateFreeKvTokens(view) == 0);
}

BOOST_AUTO_TEST_CASE(LearnsASlowEngineAndItsRecovery)
{
  auto view = MakeEngine("e");
  const auto work = WorkSize{ 10000, 0, 0, 1 };
  const auto learn = [&](Micros aMeasured) {
    for (auto i = 0; i < 40; ++i) {
      LearnSlowness(view.mHealth, aMeasured, PredictTimes(view, work, {}), {});
    }
  };
  learn(Seconds(5));
  BOOST_TEST(view.mHealth.mSlowness == 5.0, boost::test_tools::tolerance(0.05));
  learn(Seconds(1));
  BOOST_TEST(view.mHealth.mSlowness == 1.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()
