#include "policy/instanceroster.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

constexpr auto kRules = RosterRules{};

using Instances = std::vector<directory::EntryInstance>;

const auto kBoth = Instances{ { "1", { "a" } }, { "2", { "b" } } };
const auto kFirst = Instances{ { "1", { "a" } } };

} // namespace

BOOST_AUTO_TEST_SUITE(InstanceRosterTests)

BOOST_AUTO_TEST_CASE(AVanishedInstanceIsKeptForALongTime)
{
  auto clock = ManualClock{};
  auto roster = UpdateRoster({}, kBoth, clock.mNow, kRules);
  Advance(clock, Seconds(60));
  roster = UpdateRoster(roster, kFirst, clock.mNow, kRules);
  BOOST_TEST((roster.mInstances == kBoth));
  BOOST_TEST(roster.mVersion == 1U);
  Advance(clock, kRules.mMemory - Millis(1));
  roster = UpdateRoster(roster, kFirst, clock.mNow, kRules);
  BOOST_TEST((roster.mInstances == kBoth));
  Advance(clock, Millis(1));
  roster = UpdateRoster(roster, kFirst, clock.mNow, kRules);
  BOOST_TEST((roster.mInstances == kFirst));
  BOOST_TEST(roster.mVersion == 2U);
}

BOOST_AUTO_TEST_CASE(AnInstanceThatComesBackIsNotForgottenLater)
{
  auto clock = ManualClock{};
  auto roster = UpdateRoster({}, kBoth, clock.mNow, kRules);
  roster = UpdateRoster(roster, kFirst, clock.mNow, kRules);
  Advance(clock, kRules.mMemory / 2);
  roster = UpdateRoster(roster, kBoth, clock.mNow, kRules);
  BOOST_TEST(roster.mVanishedAt.empty());
  Advance(clock, kRules.mMemory / 2);
  roster = UpdateRoster(roster, kFirst, clock.mNow, kRules);
  BOOST_TEST((roster.mInstances == kBoth));
}

BOOST_AUTO_TEST_CASE(ARosterSettlesAfterTheFirstList)
{
  auto clock = ManualClock{};
  BOOST_TEST(!IsSettled({}, clock.mNow));
  auto roster = UpdateRoster({}, kFirst, clock.mNow, kRules);
  Advance(clock, kRules.mSettleTime - Millis(1));
  roster = UpdateRoster(roster, kBoth, clock.mNow, kRules);
  BOOST_TEST(!IsSettled(roster, clock.mNow));
  Advance(clock, Millis(1));
  BOOST_TEST(IsSettled(roster, clock.mNow));
}

BOOST_AUTO_TEST_CASE(AnAddressIsListedOnceWithItsFailureDomain)
{
  const auto listed =
    Instances{ { "1", {} }, { "1", { "a" } }, { "2", { "b" } }, { "2", {} } };
  const auto roster = UpdateRoster({}, listed, ManualClock{}.mNow, kRules);
  BOOST_TEST((roster.mInstances == kBoth));
}

BOOST_AUTO_TEST_CASE(TheSizeIsBoundedByDroppingTheFirstToVanish)
{
  auto rules = kRules;
  rules.mMaxInstances = 2;
  auto clock = ManualClock{};
  auto roster = UpdateRoster({}, kFirst, clock.mNow, rules);
  for (const auto* address : { "2", "3", "4" }) {
    Advance(clock, Seconds(1));
    roster = UpdateRoster(roster, { { address, { "b" } } }, clock.mNow, rules);
  }
  BOOST_TEST(
    (roster.mInstances == Instances{ { "3", { "b" } }, { "4", { "b" } } }));
  BOOST_TEST(roster.mVanishedAt.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
