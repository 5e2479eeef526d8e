#include "templates/templates.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <fstream>
#include <sstream>

using namespace cuminslip;

namespace {

auto
ReadExample(const std::string& aName) -> std::string
{
  auto file = std::ifstream(std::string(CUMINSLIP_SOURCE_DIR) +
                            "/examples/templates/" + aName);
  auto text = std::ostringstream{};
  text << file.rdbuf();
  return text.str();
}

auto
Parse(const std::string& aText) -> Outcome<Template>
{
  return CollectOutcome<Template>([&] { return ParseTemplate(aText, "t"); });
}

auto
Replace(std::string aText, const std::string& aOld, const std::string& aNew)
  -> std::string
{
  const auto i = aText.find(aOld);
  BOOST_REQUIRE_MESSAGE(i != std::string::npos, aOld);
  return aText.replace(i, aOld.size(), aNew);
}

struct InvalidCase
{
  const char* mOld;
  const char* mNew;
  const char* mFinding;
};

constexpr auto kInvalidCases = std::array{
  InvalidCase{ "account: desconto-certo", "", "account: missing" },
  InvalidCase{ "[poa-1, poa-2, poa-3]", "[]", "t:6:18: failure_domains: none" },
  InvalidCase{ "failure_domains:", "domains:", "failure_domains: missing" },
  InvalidCase{ "[poa-1, poa-2, poa-3]", "[poa-1, poa-1]", "stands twice" },
  InvalidCase{ "regions: [porto-alegre]", "", "regions: missing" },
  InvalidCase{ "version: \"3\"", "", "version: missing" },
  InvalidCase{ "queue_time: 4 s",
               "queue_time: 11 s",
               "longer than the deadline" },
  InvalidCase{ "first_token: 400 ms", "first_token: 1 h", "longer than the" },
  InvalidCase{ "deadline: 10 s", "deadline: 10", "deadline: is \"10\"" },
  InvalidCase{ "priority: urgent", "priority: high", "is \"high\"" },
  InvalidCase{ "eligibility-check", "status-lookup", "stands twice" },
  InvalidCase{ "idempotent: false", "idempotent: no", "idempotent: is \"no\"" },
  InvalidCase{ "value: 4", "value: 0", "work_kinds[0].value: is \"0\"" },
  InvalidCase{ "value: 4", "worth: 4", "work_kinds[0].worth: unknown key" },
  InvalidCase{ "max_tokens: 32000", "max_tokens: 4000", "ascending" },
  InvalidCase{ "{ name: medium,", "{ name: short,", "\"short\" stands twice" },
  InvalidCase{ ", max_tokens: 4000", "", "max_tokens: missing" },
  InvalidCase{ "256 MiB", "256", "limits.waiting_bytes: is \"256\"" },
  InvalidCase{ "weight: 3", "weight: nan", "limits.weight: is \"nan\"" },
  InvalidCase{ "may_serve: true", "may_serve: maybe", "isolation.may_serve" },
  InvalidCase{ "account:", "account: [", "not YAML" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(TemplatesTests)

BOOST_AUTO_TEST_CASE(RoundTripsExamples)
{
  for (const auto* name : { "desconto-certo.yaml", "glasovna-soba.yaml" }) {
    const auto outcome = Parse(ReadExample(name));
    BOOST_TEST(FormatFindings(outcome.mFindings) == "");
    const auto& parsed = outcome.mValue.value();

    const auto again = Parse(FormatTemplate(parsed));

    BOOST_TEST(FormatFindings(again.mFindings) == "");
    BOOST_TEST((again.mValue == parsed));
  }
}

BOOST_AUTO_TEST_CASE(ReadsJson)
{
  const auto outcome = Parse(
    R"({"account": "a", "regions": ["r"], "failure_domains": ["d"],
        "work_kinds": [{"name": "k", "service": "s", "deadline": "1 s",
                        "idempotent": false}]})");

  BOOST_TEST(FormatFindings(outcome.mFindings) == "");
  const auto& kind = outcome.mValue.value().mWorkKinds.at(0);
  BOOST_TEST((kind.mQueueTime == Millis(1000)));
  BOOST_TEST(!kind.mIsIdempotent);
}

BOOST_AUTO_TEST_CASE(LocatesEachInvalidValue)
{
  const auto right = ReadExample("desconto-certo.yaml");
  for (const auto& wrong : kInvalidCases) {
    const auto findings =
      FormatFindings(Parse(Replace(right, wrong.mOld, wrong.mNew)).mFindings);
    BOOST_TEST(findings.find(wrong.mFinding) != std::string::npos,
               wrong.mNew << " gave " << findings);
  }
}

BOOST_AUTO_TEST_CASE(ReportsChangedItems)
{
  const auto text = ReadExample("desconto-certo.yaml");
  const auto before = Parse(text).mValue.value();
  auto changed = Replace(text, "poa-1, poa-2, poa-3", "poa-3, poa-1");
  changed = Replace(changed, "deadline: 20 s", "deadline: 25 s");
  const auto after = Parse(changed).mValue.value();

  const auto changes = DiffTemplates(before, after);

  BOOST_REQUIRE(changes.size() == 2);
  BOOST_TEST(FormatChange(changes[0]) ==
             "failure_domains.poa-2: removed poa-2");
  BOOST_TEST(FormatChange(changes[1]) ==
             "work_kinds.eligibility-check.deadline: 20 s -> 25 s");
  BOOST_TEST(DiffTemplates(before, before).empty());
}

BOOST_AUTO_TEST_CASE(FindsWorkKind)
{
  const auto parsed = Parse(ReadExample("glasovna-soba.yaml")).mValue.value();

  BOOST_TEST(FindWorkKind(parsed, { "booking" })->mService.value() ==
             "booking");
  BOOST_TEST(FindWorkKind(parsed, { "lunch" }) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
