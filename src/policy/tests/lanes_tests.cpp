#include "policy/lanes.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace cuminslip;

namespace {

auto
CountLong(const std::vector<EndpointView>& aViews) -> std::ptrdiff_t
{
  return std::count_if(aViews.begin(), aViews.end(), [](const auto& aView) {
    return aView.mLane == Lane::Long;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(LanesTests)

BOOST_AUTO_TEST_CASE(AgreesWhateverTheOrderAndMovesFewOnChange)
{
  auto views = MakeEngines(12);
  AssignLanes(views, {});
  BOOST_TEST(CountLong(views) == 9);
  auto shuffled = MakeEngines(12);
  auto random = std::mt19937_64(3);
  std::shuffle(shuffled.begin(), shuffled.end(), random);
  AssignLanes(shuffled, {});
  auto fewer = MakeEngines(11);
  AssignLanes(fewer, {});
  auto moved = 0;
  for (auto i = std::size_t{ 0 }; i < views.size(); ++i) {
    const auto same =
      std::find_if(shuffled.begin(), shuffled.end(), [&](const auto& aView) {
        return aView.mId == views[i].mId;
      });
    BOOST_TEST((same->mLane == views[i].mLane));
    moved += i < fewer.size() && fewer[i].mLane != views[i].mLane ? 1 : 0;
  }
  BOOST_TEST(moved <= 1);
}

BOOST_AUTO_TEST_CASE(EachFailureDomainKeepsRoomForShortPrompts)
{
  auto views = std::vector<EndpointView>{};
  for (auto i = 0; i < 24; ++i) {
    views.push_back(MakeEngine(std::to_string(i), "d" + std::to_string(i % 3)));
  }
  AssignLanes(views, {});
  for (auto domain = 0; domain < 3; ++domain) {
    const auto shared =
      std::count_if(views.begin(), views.end(), [&](const auto& aView) {
        return aView.mLane == Lane::Shared &&
               aView.mFailureDomain.mValue == "d" + std::to_string(domain);
      });
    BOOST_TEST(shared == 2);
  }
}

BOOST_AUTO_TEST_CASE(FewEnginesAreAllShared)
{
  auto views = MakeEngines(2);
  AssignLanes(views, {});
  BOOST_TEST(CountLong(views) == 0);
}

BOOST_AUTO_TEST_CASE(LongPromptsWaitForTheirRoomUnlessIdleOrLate)
{
  constexpr auto kLong = std::int64_t{ 100000 };
  const auto check = [](const EndpointView& aView,
                        std::int64_t aTokens,
                        Micros aSlack = Seconds(100)) {
    return CheckLane(aView, aTokens, aSlack, LaneSettings{}, {});
  };
  auto view = MakeEngine("e");
  view.mLoad.mRunningStreams = 1;
  BOOST_TEST((check(view, 1000) == LaneVerdict::Open));
  BOOST_TEST((check(view, kLong) == LaneVerdict::Reserved));
  BOOST_TEST((check(view, kLong, Seconds(1)) == LaneVerdict::Overflow));
  view.mOwnLongPrefills = 1;
  BOOST_TEST((check(view, kLong, Seconds(1)) == LaneVerdict::Full));
  view.mLane = Lane::Long;
  BOOST_TEST((check(view, kLong) == LaneVerdict::Open));
  view.mOwnLongPrefills = 2;
  BOOST_TEST((check(view, kLong) == LaneVerdict::Full));
  auto idle = MakeEngine("e");
  BOOST_TEST((check(idle, kLong) == LaneVerdict::Overflow));
}

BOOST_AUTO_TEST_CASE(EnginePriorityCountsLengthAndSlack)
{
  const auto priority =
    [](Priority aKind, std::int64_t aTokens, Micros aSlack) {
      return EnginePriority(aKind, aTokens, aSlack, LaneSettings{});
    };
  BOOST_TEST(priority(Priority::Urgent, 1000, Seconds(60)) == 0);
  BOOST_TEST(priority(Priority::Urgent, 100000, Seconds(60)) == 1);
  BOOST_TEST(priority(Priority::Normal, 100000, Seconds(60)) == 2);
  BOOST_TEST(priority(Priority::Normal, 100000, Seconds(1)) == 1);
  BOOST_TEST(priority(Priority::Patient, 100000, Seconds(60)) == 2);
  BOOST_TEST(priority(Priority::Patient, 1000, Seconds(1)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
