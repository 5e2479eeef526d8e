#include "policy/startupwait.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

/// Time after which callers of streams leave when they get no answer.
constexpr auto kPatience = Millis(2000);

auto
Decide(Millis aAge, std::optional<Millis> aAllowance = Millis(10000))
  -> StartupDecision
{
  return DecideStartup(aAge, aAllowance, {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(StartupWaitTests)

BOOST_AUTO_TEST_CASE(ARequestWaitsWhenTheDocumentIsNear)
{
  BOOST_TEST(
    (Decide(Millis(0)) == StartupDecision{ Millis(1000), Millis(500) }));
}

BOOST_AUTO_TEST_CASE(AShortAllowanceIsNotSpentOnWaiting)
{
  BOOST_TEST((Decide(Millis(500), Millis(1000)).mWait == Millis(500)));
  BOOST_TEST((Decide(Millis(500), std::nullopt).mWait == Millis(1000)));
}

BOOST_AUTO_TEST_CASE(ARequestThatCanNotWaitLongEnoughIsRefusedAtOnce)
{
  BOOST_TEST((Decide(Millis(100), Millis(1000)) ==
              StartupDecision{ Millis(0), Millis(700) }));
}

BOOST_AUTO_TEST_CASE(AnOverdueDocumentIsStillAwaitedForAWhile)
{
  BOOST_TEST(
    (Decide(Millis(60000)) == StartupDecision{ Millis(1000), Millis(500) }));
}

/// Callers arrive every 50 ms while all instances start together. The document
/// arrives at the usual time; nobody may have left or be refused by then.
BOOST_AUTO_TEST_CASE(CallersAfterALossOfPowerAreServed)
{
  const auto document = StartupRules{}.mUsualTime;
  for (auto arrival = Millis(0); arrival < document; arrival += Millis(50)) {
    const auto decision = Decide(arrival);
    BOOST_TEST((decision.mWait < kPatience));
    BOOST_TEST((arrival + decision.mWait >= document), arrival.count());
  }
}

/// A control instance is missing: the document arrives after 2.6 s, when an
/// earlier lease has surely ended. Callers are refused before they would leave,
/// and come back to find the document or another wait that reaches it.
BOOST_AUTO_TEST_CASE(CallersWithoutAQuickElectionAreServedOnTheirReturn)
{
  const auto document = Millis(2600);
  for (auto arrival = Millis(200); arrival < document; arrival += Millis(50)) {
    const auto first = Decide(arrival);
    BOOST_TEST((first.mWait < kPatience));
    const auto back = arrival + first.mWait + first.mRetryAfter;
    BOOST_TEST((back + Decide(back).mWait >= document), arrival.count());
  }
}

BOOST_AUTO_TEST_SUITE_END()
