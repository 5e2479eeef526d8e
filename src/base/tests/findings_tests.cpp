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

// Review case 9: findings grew with the input until the process passed its
// memory.
BOOST_AUTO_TEST_CASE(FindingsAreBounded)
{
  auto findings = Findings{};
  const auto text = std::string(100000, 'x');
  for (auto n = 0; n < 100000; ++n) {
    AddFinding(findings, { {}, text, text, text });
  }
  BOOST_TEST(findings.mItems.size() == kMaxFindings);
  BOOST_TEST(findings.mOmitted == 100000U - kMaxFindings);
  BOOST_TEST(FormatFindings(findings).size() <
             kMaxFindings * 4 * kMaxFindingText);
  BOOST_TEST(FormatFindings(findings).ends_with("and more\n"));
}

BOOST_AUTO_TEST_CASE(ATextIsNotCutInsideACharacter)
{
  auto findings = Findings{};
  for (auto n = std::size_t{ 0 }; n < 4; ++n) {
    auto text = std::string(kMaxFindingText - 5 + n, 'x');
    for (auto i = 0; i < 8; ++i) {
      text += "\xc3\xa9";
    }
    AddFinding(findings, { {}, text, "", "" });
  }
  for (const auto& it : findings.mItems) {
    const auto rest = it.mKey.substr(it.mKey.find_first_not_of('x'));
    BOOST_TEST((rest == "..." || rest == "\xc3\xa9..."), rest);
  }
}

BOOST_AUTO_TEST_SUITE_END()
