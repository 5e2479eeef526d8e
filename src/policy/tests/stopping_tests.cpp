#include "policy/stopping.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

BOOST_AUTO_TEST_SUITE(StoppingTests)

BOOST_AUTO_TEST_CASE(OnlyAnswersThatEndBeforeTheInstanceAreBegun)
{
  struct Case
  {
    const char* mName;
    StoppingWork mWork;
    bool mIsServed;
  };
  const auto cases = std::vector<Case>{
    { "short, at once",
      { Millis(0), Millis(7000), Millis(10000), 2000 },
      true },
    { "long, at once",
      { Millis(0), Millis(7000), Millis(10000), 7500 },
      false },
    { "waited since before the stop",
      { Millis(-500), Millis(2000), Millis(4000), 1000 },
      true },
    { "waited for too long",
      { Millis(-500), Millis(2000), Millis(4000), 2100 },
      false },
    { "late, on an open connection",
      { Millis(3000), Millis(4000), Millis(10000), 100 },
      false },
    { "late, with a short allowance",
      { Millis(5500), Millis(1500), Millis(1000), 100 },
      true },
    { "late, with an allowance that just fits",
      { Millis(6000), Millis(1000), Millis(1000), 900 },
      true },
    { "after the end", { Millis(7000), Millis(0), Millis(1000), 1 }, false },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      BOOST_TEST(MayServeWhileStopping(it.mWork, {}) == it.mIsServed);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
