#include "policy/requestlimits.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

using namespace cuminslip;

namespace {

constexpr auto kRules = LimitRules{};

/// Returns aEach instances in each of aDomains.
auto
Fleet(std::size_t aDomains, std::size_t aEach)
  -> std::vector<directory::EntryInstance>
{
  auto instances = std::vector<directory::EntryInstance>{};
  for (auto i = std::size_t{ 0 }; i < aDomains; ++i) {
    const auto domain = std::string(1, char('a' + i));
    for (auto n = std::size_t{ 0 }; n < aEach; ++n) {
      instances.push_back({ domain + std::to_string(n), { domain } });
    }
  }
  return instances;
}

/// Returns the holders with their shares.
auto
Shares(const LimitedEndpoint& aEndpoint,
       const std::vector<directory::EntryInstance>& aInstances)
  -> std::map<std::string, double>
{
  auto shares = std::map<std::string, double>{};
  for (const auto& it : aInstances) {
    const auto share =
      ShareOfLimit(aEndpoint, it.mPeerAddress, aInstances, kRules);
    if (share > 0) {
      shares[it.mPeerAddress] = share;
    }
  }
  return shares;
}

auto
Sum(const std::map<std::string, double>& aShares) -> double
{
  auto sum = 0.0;
  for (const auto& [instance, share] : aShares) {
    sum += share;
  }
  return sum;
}

/// Returns the most requests that a holder sends in aTime after it saved up all
/// that it may.
auto
MostSends(double aShare, Millis aTime) -> int
{
  auto clock = ManualClock{};
  auto allowance =
    Replenish({ 0, clock.mNow - Seconds(3600) }, aShare, clock.mNow, kRules);
  auto sends = 0;
  for (auto passed = Millis(0); passed <= aTime; passed += Millis(1)) {
    allowance = Replenish(allowance, aShare, clock.mNow, kRules);
    while (TimeUntilSend(allowance, aShare) == Millis(0)) {
      allowance.mRequests -= 1;
      ++sends;
    }
    Advance(clock, Millis(1));
  }
  return sends;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestLimitsTests)

BOOST_AUTO_TEST_CASE(TheSharesOfAllInstancesAddUpToTheLimit)
{
  for (const auto rate : { 0.2, 1.0, 1.3, 7.5, 100.0, 1e300 }) {
    for (const auto each : { 1, 3, 59 }) {
      const auto shares =
        Shares({ 5, { "a" }, rate }, Fleet(5, static_cast<std::size_t>(each)));
      BOOST_TEST(Sum(shares) == rate, boost::test_tools::tolerance(1e-9));
    }
  }
}

BOOST_AUTO_TEST_CASE(AnEndpointThatAcceptsNothingIsStillTriedRarely)
{
  const auto shares = Shares({ 5, { "a" }, 0 }, Fleet(3, 3));
  BOOST_TEST(Sum(shares) == kRules.mMinRate,
             boost::test_tools::tolerance(1e-9));
}

// What operators of the platform check: in 4 s no more than one and a half
// times the limit and 5 requests. Requests may be delayed by half a second, so
// that those of 4.5 s arrive in 4 s.
BOOST_AUTO_TEST_CASE(NoWindowSeesMoreThanAllowed)
{
  BOOST_TEST(rc::check("any limit and any fleet", [] {
    const auto rate = *rc::gen::map(rc::gen::inRange(0, 3000), [](int aValue) {
      return static_cast<double>(aValue) / 100.0;
    });
    const auto domains = *rc::gen::inRange<std::size_t>(1, 6);
    const auto each = *rc::gen::inRange<std::size_t>(1, 61);
    const auto key = *rc::gen::arbitrary<std::uint64_t>();
    auto sends = 0;
    for (const auto& [instance, share] :
         Shares({ key, { "a" }, rate }, Fleet(domains, each))) {
      sends += MostSends(share, Millis(4500));
    }
    RC_ASSERT(sends <= static_cast<int>(rate * 6 + 5));
  }));
}

BOOST_AUTO_TEST_CASE(HoldersAreInTheEndpointsDomainButOne)
{
  const auto shares = Shares({ 5, { "b" }, 1.3 }, Fleet(5, 59));
  BOOST_TEST(shares.size() == 4U);
  auto far = 0;
  for (const auto& [instance, share] : shares) {
    far += instance.starts_with("b") ? 0 : 1;
  }
  BOOST_TEST(far == 1);
}

BOOST_AUTO_TEST_CASE(EndpointsHaveDifferentHolders)
{
  auto holders = std::set<std::string>{};
  for (auto key = std::uint64_t{ 0 }; key < 40; ++key) {
    for (const auto& [instance, share] :
         Shares({ key, { "b" }, 1 }, Fleet(5, 59))) {
      holders.insert(instance);
    }
  }
  BOOST_TEST(holders.size() > 80U);
}

BOOST_AUTO_TEST_CASE(AnInstanceMoreReplacesOneHolderAtMost)
{
  const auto before = Shares({ 5, { "a" }, 3 }, Fleet(3, 20));
  auto more = Fleet(3, 20);
  more.push_back({ "a99", { "a" } });
  auto kept = 0;
  for (const auto& [instance, share] : Shares({ 5, { "a" }, 3 }, more)) {
    kept += before.contains(instance) ? 1 : 0;
  }
  BOOST_TEST(kept >= static_cast<int>(before.size()) - 1);
}

BOOST_AUTO_TEST_CASE(AnAllowanceStartsEmptyAndSavesUpLittle)
{
  auto clock = ManualClock{};
  auto allowance = SendAllowance{ 0, clock.mNow };
  BOOST_TEST(TimeUntilSend(allowance, 2)->count() == 500);
  BOOST_TEST(!TimeUntilSend(allowance, 0).has_value());
  Advance(clock, Millis(250));
  allowance = Replenish(allowance, 2, clock.mNow, kRules);
  BOOST_TEST(TimeUntilSend(allowance, 2)->count() == 250);
  Advance(clock, Seconds(3600));
  allowance = Replenish(allowance, 2, clock.mNow, kRules);
  BOOST_TEST(allowance.mRequests == 1.4);
  const auto earlier = clock.mNow - Seconds(1);
  BOOST_TEST(Replenish(allowance, 2, earlier, kRules).mRequests == 1.4);
}

BOOST_AUTO_TEST_CASE(AnAnswerToAnEarlierRequestOnlyMakesALimitStricter)
{
  struct Row
  {
    std::optional<double> mKnown;
    std::optional<double> mStated;
    bool mIsNewer;
    std::optional<double> mExpected;
  };
  const auto rows =
    std::vector<Row>{ { {}, 1.5, false, 1.5 },  { {}, 1.5, true, 1.5 },
                      { 1.5, 1.5, true, 1.5 },  { 1.5, {}, true, {} },
                      { 1.5, {}, false, 1.5 },  { 1.5, 3.0, true, 3.0 },
                      { 1.5, 3.0, false, 1.5 }, { 1.5, 0.5, false, 0.5 } };
  for (const auto& row : rows) {
    const auto known = RequestLimit{ row.mKnown, 7 };
    const auto after = ApplyAnswer(known, row.mStated, row.mIsNewer);
    BOOST_TEST((after.mRate == row.mExpected));
    BOOST_TEST(after.mVersion == (after.mRate == row.mKnown ? 7U : 8U));
  }
}

BOOST_AUTO_TEST_CASE(TheNewerStateOfALimitWinsThenTheStricter)
{
  const auto merge = [](RequestLimit aLeft, RequestLimit aRight) {
    const auto merged = MergeLimits(aLeft, aRight);
    BOOST_TEST((merged == MergeLimits(aRight, aLeft)));
    return merged;
  };
  BOOST_TEST((merge({ 1.0, 3 }, { {}, 4 }) == RequestLimit{ {}, 4 }));
  BOOST_TEST((merge({ {}, 4 }, { 1.0, 4 }) == RequestLimit{ 1.0, 4 }));
  BOOST_TEST((merge({ 2.0, 4 }, { 1.0, 4 }) == RequestLimit{ 1.0, 4 }));
  BOOST_TEST((merge({ 2.0, 5 }, { 1.0, 4 }) == RequestLimit{ 2.0, 5 }));
}

BOOST_AUTO_TEST_SUITE_END()
