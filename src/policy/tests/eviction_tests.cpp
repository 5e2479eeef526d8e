#include "policy/eviction.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

constexpr auto kMega = std::size_t{ 1024 } * 1024;
constexpr auto kRules = EvictionRules{};

auto
Idle(bool aHasServed, int aAge) -> ClientUse
{
  return { ClientActivity::Idle, aHasServed, 0, 0, Millis(aAge) };
}

auto
Sending(std::size_t aHeld, std::size_t aRecent, int aAge) -> ClientUse
{
  return { ClientActivity::Sending, false, aHeld, aRecent, Millis(aAge) };
}

auto
Waiting(std::size_t aHeld, std::size_t aRecent, int aAge) -> ClientUse
{
  return { ClientActivity::Waiting, false, aHeld, aRecent, Millis(aAge) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(EvictionTests)

// Idle connections filled the limit, and ordinary callers were closed unheard.
BOOST_AUTO_TEST_CASE(TheOldestConnectionWithoutARequestGivesWay)
{
  const auto crowd = std::vector<ClientUse>{ Waiting(kMega, 0, 60000),
                                             Idle(true, 20000),
                                             Idle(false, 3000),
                                             Idle(false, 9000),
                                             Sending(kMega, 0, 30000) };
  BOOST_TEST((ChooseToClose(crowd, kRules) == std::optional<std::size_t>(3)));
}

BOOST_AUTO_TEST_CASE(ConnectionsGiveWayInTheOrderOfWhatTheirClientsLose)
{
  auto clients = std::vector<ClientUse>{
    Waiting(0, 0, 90000),
    Sending(kMega, kMega, 9000),
    Idle(false, 100),
    Sending(kMega, 100, 9000),
    Sending(kMega, 10, 9000),
    Idle(true, 500),
    Idle(true, 9000),
    Idle(false, 400),
    { ClientActivity::Leaving, true, 0, 0, Millis(1) }
  };
  for (const auto expected : { 8U, 7U, 6U, 5U, 4U, 3U }) {
    const auto place = ChooseToClose(clients, kRules);
    BOOST_REQUIRE(place.has_value());
    BOOST_TEST(*place == expected);
    clients.pop_back();
  }
}

BOOST_AUTO_TEST_CASE(RequestsThatMoveKeepTheirConnections)
{
  const auto busy = std::vector<ClientUse>{ Waiting(0, 0, 90000),
                                            Sending(kMega, kMega, 9000),
                                            Sending(kMega, 0, 900),
                                            Idle(false, 100) };
  BOOST_TEST(!ChooseToClose(busy, kRules).has_value());
  BOOST_TEST(!ChooseToClose({}, kRules).has_value());
}

// Bodies a byte short of their end held the memory until the timeout.
BOOST_AUTO_TEST_CASE(TheSlowClientThatHoldsMostForLongestGivesMemoryBack)
{
  const auto clients = std::vector<ClientUse>{
    Sending(8 * kMega, kMega, 9000), Sending(kMega, 0, 3000),
    Sending(4 * kMega, 100, 2000),   Waiting(9 * kMega, 1, 9000),
    Waiting(kMega, 0, 4999),         Idle(true, 90000)
  };
  BOOST_TEST(
    (ChooseToRelease(clients, kRules) == std::optional<std::size_t>(2)));
}

BOOST_AUTO_TEST_CASE(AnAnswerThatNobodyReadsGivesMemoryBack)
{
  const auto clients = std::vector<ClientUse>{ Waiting(0, 0, 90000),
                                               Waiting(7 * kMega, 0, 5000),
                                               Sending(kMega, 0, 5000) };
  BOOST_TEST(
    (ChooseToRelease(clients, kRules) == std::optional<std::size_t>(1)));
}

BOOST_AUTO_TEST_CASE(ClientsThatMoveKeepTheirMemory)
{
  const auto busy = std::vector<ClientUse>{ Sending(kMega, 9000, 9000),
                                            Sending(kMega, 0, 999),
                                            Waiting(kMega, 1, 90000) };
  BOOST_TEST(!ChooseToRelease(busy, kRules).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
