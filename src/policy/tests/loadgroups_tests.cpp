#include "policy/loadgroups.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cuminslip;

namespace {

/// Returns the failure domains of aEach instances in each of aDomains.
auto
Fleet(std::size_t aDomains, std::size_t aEach) -> std::vector<FailureDomainId>
{
  auto domains = std::vector<FailureDomainId>{};
  for (auto i = std::size_t{ 0 }; i < aDomains; ++i) {
    domains.insert(domains.end(), aEach, { std::string(1, char('a' + i)) });
  }
  return domains;
}

auto
Divide(const std::vector<FailureDomainId>& aInstances,
       const GroupLayout& aPrevious = {}) -> GroupLayout
{
  return DivideFleet(aInstances, aPrevious, {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadGroupsTests)

BOOST_AUTO_TEST_CASE(ASmallFleetIsOneGroup)
{
  const auto layout = Divide(Fleet(3, 3));
  BOOST_TEST((GroupOf(layout, { "a" }, 1) == GroupOf(layout, { "b" }, 2)));
  BOOST_TEST((GroupOf(layout, { "a" }, 1) == LoadGroup{}));
}

BOOST_AUTO_TEST_CASE(ALargeFleetIsDividedByFailureDomain)
{
  const auto layout = Divide(Fleet(5, 59));
  BOOST_TEST(layout.mParts.size() == 5U);
  BOOST_TEST((GroupOf(layout, { "a" }, 1) == GroupOf(layout, { "a" }, 2)));
  BOOST_TEST((GroupOf(layout, { "a" }, 1) != GroupOf(layout, { "b" }, 1)));
}

BOOST_AUTO_TEST_CASE(AGroupHasABoundedSizeInAFleetOfAnySize)
{
  for (const auto each : { 60U, 200U, 1000U }) {
    const auto layout = Divide(Fleet(5, each));
    const auto parts = layout.mParts.at({ "a" });
    BOOST_TEST(each / parts <= GroupRules{}.mMaxInstances);
    auto groups = std::set<LoadGroup>{};
    for (auto key = std::uint64_t{ 0 }; key < 100; ++key) {
      groups.insert(GroupOf(layout, { "a" }, key));
    }
    BOOST_TEST(groups.size() == parts);
  }
}

/// A failure domain that is cut off sees only its own instances.
BOOST_AUTO_TEST_CASE(ADividedFleetStaysDividedWhileDomainsAreCutOff)
{
  const auto whole = Divide(Fleet(5, 59));
  const auto cutOff = Divide(Fleet(1, 59), whole);
  for (const auto* domain : { "a", "b" }) {
    BOOST_TEST(
      (GroupOf(cutOff, { domain }, 1) == GroupOf(whole, { domain }, 1)));
  }
  BOOST_TEST(Divide(Fleet(1, 16), cutOff).mParts.empty());
}

BOOST_AUTO_TEST_CASE(EnginesOfADomainWithoutInstancesBelongToOtherGroups)
{
  const auto layout = Divide(Fleet(3, 30));
  auto groups = std::set<LoadGroup>{};
  for (auto key = std::uint64_t{ 0 }; key < 30; ++key) {
    groups.insert(GroupOf(layout, { "empty" }, key));
  }
  BOOST_TEST(groups.size() == 3U);
  BOOST_TEST(!groups.contains({ { "empty" }, 0 }));
}

// Load: a failure domain of a large fleet is evacuated. Its instances would
// place on the other domains' engines by summaries alone.
BOOST_AUTO_TEST_CASE(InstancesOfALeftOutDomainJoinOtherGroups)
{
  auto instances = std::vector<FailureDomainId>{};
  for (const auto* domain : { "a", "b", "c" }) {
    instances.insert(instances.end(), 25, FailureDomainId{ domain });
  }
  const auto whole = DivideFleet(instances, {}, {});
  const auto isLeftOut = [](const FailureDomainId& aDomain) {
    return aDomain.mValue == "a";
  };
  const auto layout = WithoutDomains(whole, isLeftOut);
  auto joined = std::set<LoadGroup>{};
  for (auto key = std::uint64_t{ 0 }; key < 25; ++key) {
    const auto group = GroupOf(layout, { "a" }, key * 7919);
    BOOST_TEST(group.mFailureDomain.mValue != "a");
    joined.insert(group);
  }
  BOOST_TEST(joined.size() == 2U, "they are dealt to both");
  BOOST_TEST((GroupOf(layout, { "b" }, 5) == GroupOf(whole, { "b" }, 5)));
  BOOST_TEST((WithoutDomains(whole, [](const auto&) { return true; }) == whole),
             "with all domains left out the layout stays");
}

BOOST_AUTO_TEST_SUITE_END()
