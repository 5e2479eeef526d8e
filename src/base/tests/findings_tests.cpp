#include "base/findings.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

BOOST_AUTO_TEST_SUITE(FindingsTests)

BOOST_AUTO_TEST_CASE(FormatsPlaceKeyProblemAndExpectation)
{
  const auto finding = Finding{
    { "a.yaml", 3, 7 }, "limits.body", "unknown unit \"mb\"", "KiB or MiB"
  };

  BOOST_TEST(FormatFinding(finding) ==
             "a.yaml:3:7: limits.body: unknown unit \"mb\"; expected KiB or "
             "MiB");
}

BOOST_AUTO_TEST_CASE(CollectsTheFindingsOfAFailedResult)
{
  const auto findings = Findings{ { { {}, "a", "missing", "a value" } } };

  const auto outcome = CollectOutcome<int>(
    [&]() -> leaf::result<int> { return leaf::new_error(findings); });

  BOOST_TEST(!outcome.mValue.has_value());
  BOOST_TEST((outcome.mFindings == findings));
}

BOOST_AUTO_TEST_SUITE_END()
