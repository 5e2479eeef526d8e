#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace {

/// Runs the property tests with a fixed seed unless RC_PARAMS is set.
struct FixedSeed
{
  FixedSeed() { setenv("RC_PARAMS", "seed=20261203", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_CONFIGURATION(FixedSeed);
