#include "peers/types/watchtimes.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

/// Returns when a source that has power from aPowered on, and listens from
/// aListening on, is reached by an instance that starts at 0. A source without
/// power drops an attempt, one that does not listen refuses it at once.
auto
ReachedAt(Millis aPowered, Millis aListening) -> Millis
{
  auto now = Millis(0);
  for (auto failures = 0; now < aListening; ++failures) {
    const auto times = WatchTimesAfter(failures, false);
    now += (now < aPowered ? times.mLimit : Millis(0)) + times.mPause;
  }
  return now;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WatchTimesTests)

/// Half of a second is what the platform's machines differ by after a loss of
/// power; a connection that is opened anew by the system takes a second.
BOOST_AUTO_TEST_CASE(SourcesThatStartALittleLaterAreReachedAtOnce)
{
  for (auto powered = Millis(0); powered <= Millis(500);
       powered += Millis(50)) {
    const auto listening = powered + Millis(200);
    BOOST_TEST((ReachedAt(powered, listening) <= Millis(1000)),
               powered.count());
  }
  BOOST_TEST((ReachedAt(Millis(0), Millis(450)) <= Millis(550)));
  BOOST_TEST((ReachedAt(Millis(400), Millis(450)) <= Millis(550)));
}

BOOST_AUTO_TEST_CASE(ALargeFirstDocumentHasTimeInTheEnd)
{
  BOOST_TEST((WatchTimesAfter(0, false).mLimit == Millis(400)));
  BOOST_TEST((WatchTimesAfter(3, false).mLimit == Millis(2500)));
}

BOOST_AUTO_TEST_CASE(ASourceThatFailsIsAskedLessAndLess)
{
  BOOST_TEST(
    (WatchTimesAfter(0, true) == WatchTimes{ Millis(2500), Millis(250) }));
  BOOST_TEST((WatchTimesAfter(9, true).mPause == Millis(2000)));
  BOOST_TEST((WatchTimesAfter(10, false) == WatchTimesAfter(10, true)));
}

BOOST_AUTO_TEST_SUITE_END()
