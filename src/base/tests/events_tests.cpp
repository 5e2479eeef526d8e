#include "base/events.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

BOOST_AUTO_TEST_SUITE(EventsTests)

BOOST_AUTO_TEST_CASE(FormatsOneJsonObject)
{
  const auto event = Event{ 1, "tested", Severity::Info };

  const auto line = FormatEvent(event, { { "count", 3 }, { "ok", true } });

  BOOST_TEST(line ==
             R"({"event":1,"name":"tested","severity":"info","count":3,)"
             R"("ok":true})");
}

BOOST_AUTO_TEST_SUITE_END()
