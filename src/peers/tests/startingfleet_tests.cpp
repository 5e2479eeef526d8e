#include "peers/tests/startingfleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace cuminslip;

namespace {

namespace data = boost::unit_test::data;

/// Seeds of the starts; CUMINSLIP_SEEDS=FIRST:COUNT overrides them.
auto
Seeds() -> std::vector<std::uint64_t>
{
  auto first = std::uint64_t{ 1 };
  auto count = std::uint64_t{ 150 };
  if (const auto* text = std::getenv("CUMINSLIP_SEEDS")) {
    auto* end = static_cast<char*>(nullptr);
    first = std::strtoull(text, &end, 10);
    count = *end == ':' ? std::strtoull(end + 1, nullptr, 10) : 1;
  }
  auto seeds = std::vector<std::uint64_t>(count);
  std::iota(seeds.begin(), seeds.end(), first);
  return seeds;
}

/// Sets a link late or one-way, or ends its connection.
auto
DisturbLink(StartingFleet& aFleet) -> void
{
  const auto from = aFleet.Random(aFleet.mNodes.size());
  const auto to = aFleet.Random(aFleet.mNodes.size());
  switch (aFleet.Random(4)) {
    case 0:
      aFleet.mDelays[{ from, to }] = Millis(aFleet.Random(400));
      break;
    case 1:
      aFleet.mCluster.Cut(from, to);
      break;
    case 2:
      aFleet.mSessions.erase({ from, to });
      break;
    default:
      aFleet.mCluster.mBrokenLinks.erase({ from, to });
      aFleet.mDelays.erase({ from, to });
  }
}

/// Restarts, empties, pauses or resumes an instance. At most one is emptied,
/// and not the first seed: a log whose only voter has lost its disk is gone.
auto
DisturbInstance(StartingFleet& aFleet, bool& aMayEmpty) -> void
{
  const auto n = aFleet.Random(aFleet.mNodes.size());
  auto& member = aFleet.mCluster.mMembers[n];
  const auto isStarted = aFleet.mNodes[n].mStart > 0;
  const auto isFirst = n == aFleet.Seeds().front();
  switch (aFleet.Random(3)) {
    case 0:
      if (isStarted) {
        const auto isEmptied = aMayEmpty && !isFirst && aFleet.Random(4) == 0;
        aMayEmpty = aMayEmpty && !isEmptied;
        aFleet.Stop(n, isEmptied);
        aFleet.Start(n, false);
      }
      break;
    case 1:
      member.mIsUp = false;
      break;
    default:
      member.mIsUp = isStarted;
  }
}

/// Ends all disturbances; instances that never started do.
auto
Heal(StartingFleet& aFleet) -> void
{
  aFleet.mCluster.mBrokenLinks.clear();
  aFleet.mDelays.clear();
  for (auto n = std::size_t{ 0 }; n < aFleet.mNodes.size(); ++n) {
    if (aFleet.mNodes[n].mStart == 0) {
      aFleet.Start(n, true);
    }
    aFleet.mCluster.mMembers[n].mIsUp = true;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(StartingFleetTests)

/// Guards against two logs, and against a fleet that starts without a log or
/// with one that accepts no document.
BOOST_DATA_TEST_CASE(AFleetStartsWithOneLogWhateverHappensMeanwhile,
                     data::make(Seeds()),
                     seed)
{
  auto random = std::mt19937_64(seed);
  auto fleet = StartingFleet(3 + random() % 7, 3, random());
  auto mayEmpty = true;
  for (auto steps = 5 + random() % 60; steps > 0; --steps) {
    const auto n = fleet.Random(fleet.mNodes.size());
    if (fleet.mNodes[n].mStart == 0) {
      fleet.Start(n, true);
    }
    fleet.Random(2) == 0 ? DisturbLink(fleet)
                         : DisturbInstance(fleet, mayEmpty);
    fleet.Run(Millis(50 + fleet.Random(500)));
    if (fleet.Random(8) == 0) {
      fleet.Publish("r" + std::to_string(steps), Millis(200));
    }
  }
  Heal(fleet);
  fleet.Run(Seconds(3));
  const auto took = fleet.Publish("last", Millis(4000));

  BOOST_TEST(fleet.mFounded.size() == 1U, fleet.Describe());
  BOOST_TEST((took < Millis(4000)), fleet.Describe());
}

/// Guards against an answer that never counts: a new session takes three round
/// trips, and one that is given up each time before them is never opened.
BOOST_DATA_TEST_CASE(AFleetStartsOverLinksThatStayLate,
                     data::make({ 100, 160, 200, 300 }),
                     delay)
{
  auto fleet = StartingFleet(5, 3, static_cast<std::uint64_t>(delay));
  for (auto n = std::size_t{ 0 }; n < fleet.mNodes.size(); ++n) {
    for (auto to = std::size_t{ 0 }; to < fleet.mNodes.size(); ++to) {
      fleet.mDelays[{ n, to }] = Millis(delay);
    }
    fleet.Start(n, true);
  }
  fleet.Run(Seconds(16));
  const auto took = fleet.Publish("first", Millis(4000));

  BOOST_TEST((took < Millis(4000)), fleet.Describe());
}

BOOST_AUTO_TEST_SUITE_END()
