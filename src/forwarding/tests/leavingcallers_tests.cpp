#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;

BOOST_FIXTURE_TEST_SUITE(LeavingCallersTests, ReadyWorld)

// A response that nobody ends keeps its connection and request until the
// process ends.
BOOST_AUTO_TEST_CASE(TheResponseOfACallerThatLeftIsEnded)
{
  for (const auto* route : { "read", "draft" }) {
    for (const auto hasBegun : { false, true }) {
      const auto caller = Ask(MakeRequest(route));
      const auto isStream = hasBegun && route == std::string_view("draft");
      if (isStream) {
        Head(LastSend(), 200, kSealed);
        Piece(LastSend(), "id: 1\ndata: x\n\n");
      }
      caller->mIsDisconnected = true;
      Run(kSettled);

      BOOST_TEST(LastSend().mIsCancelled, route);
      BOOST_TEST(IsIdle(*mForwarder), route);
      BOOST_TEST(caller->mIsAborted, route);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
