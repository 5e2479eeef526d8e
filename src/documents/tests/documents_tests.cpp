#include "documents/section.h"
#include "documents/units.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::documents;

namespace {

auto
FindingsOf(const std::string& aText) -> std::string
{
  auto document = ReadDocument(aText, "d");
  auto root = OpenRoot(document);
  RequireText(root, "name");
  ReadItems(root, "list");
  CloseSection(root);
  return FormatFindings(TakeFindings(document));
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentsTests)

BOOST_AUTO_TEST_CASE(ReadsDurationsInBothDirections)
{
  BOOST_TEST((ParseDuration("2 s") == Millis(2000)));
  BOOST_TEST((ParseDuration("5min") == Millis(300000)));
  BOOST_TEST((ParseDuration("1.5 s") == Millis(1500)));
  BOOST_TEST((ParseDuration("1200.25 ms") == Millis(1201)));
  for (const auto* text : { "1 h", "90 s", "1500 ms", "0 ms" }) {
    BOOST_TEST(FormatDuration(ParseDuration(text).value()) == text);
  }
  for (const auto* text : { "",
                            "2",
                            "s",
                            "-1 s",
                            "2 S",
                            "2 s x",
                            "1.5.2 s",
                            ".5 s",
                            "1. s",
                            "1.5",
                            "9.5e3 s",
                            "99999999999999.5 h",
                            "9223372036854775 h" }) {
    BOOST_TEST(!ParseDuration(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(ReadsSizesInBothDirections)
{
  BOOST_TEST((ParseBytes("8 MiB") == 8 * 1024 * 1024));
  for (const auto* text : { "1 GiB", "64 KiB", "7 B" }) {
    BOOST_TEST(FormatBytes(ParseBytes(text).value()) == text);
  }
  for (const auto* text : { "8 MB", "8", "9999999999999 GiB" }) {
    BOOST_TEST(!ParseBytes(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(PlacesFindingsInOrder)
{
  BOOST_TEST(FindingsOf("name: a") == "");
  BOOST_TEST(FindingsOf("x: 1\nlist: 3\nname:\n") ==
             "d:1:1: x: unknown key; expected one of name, list\n"
             "d:2:7: list: not a list; expected a list\n"
             "d:3:1: name: missing; expected a text\n");
  BOOST_TEST(FindingsOf("name: a\nname: b") ==
             "d:2:1: name: stands twice; expected each key once\n");
}

// A document of a few hundred KB took hundreds of MiB once it was parsed, and
// its keys were compared one by one.
BOOST_AUTO_TEST_CASE(RefusesDocumentsThatAreTooLarge)
{
  auto items = std::string("a: [1");
  for (auto n = 0; n < 100000; ++n) {
    items += ",1";
  }
  for (const auto& text : { items + "]", "a: " + std::string(1048577, 'x') }) {
    auto document = ReadDocument(text, "s");
    const auto findings = TakeFindings(document);
    BOOST_TEST_REQUIRE(findings.mItems.size() == 1U);
    BOOST_TEST(findings.mItems.front().mProblem == "too large");
  }
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNoMapping)
{
  for (const auto* text : { "", "[1]", "text" }) {
    BOOST_TEST(FindingsOf(text).find("not a mapping") != std::string::npos);
  }
  BOOST_TEST(FindingsOf("a: [").find("not YAML") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
