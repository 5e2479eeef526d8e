#include "requests/completions.h"
#include "requests/types/refusal.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::requests;

namespace {

auto
Parse(CompletionForm aForm, std::string_view aBody)
  -> Outcome<CompletionRequest>
{
  return CollectOutcome<CompletionRequest>(
    [&] { return ParseCompletion(aForm, aBody); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(CompletionsTests)

BOOST_AUTO_TEST_CASE(ParsesBothForms)
{
  const auto plain =
    Parse(CompletionForm::Completion,
          R"({"model":"m","prompt":"p","max_tokens":3,"stream":true})");
  const auto chat =
    Parse(CompletionForm::Chat,
          R"({"model":"m","messages":[{"role":"user","content":"a"}]})");

  BOOST_TEST(
    (plain.mValue ==
     CompletionRequest{ CompletionForm::Completion, "m", "p", 3, true }));
  BOOST_TEST(chat.mValue->mPrompt == "user: a\n");
}

BOOST_AUTO_TEST_CASE(ReportsAllProblemsOfInvalidBody)
{
  struct Row
  {
    const char* mBody;
    std::size_t mFindings;
  };
  const auto rows = { Row{ "", 1 },
                      Row{ "[]", 1 },
                      Row{ "{", 1 },
                      Row{ "{}", 2 },
                      Row{ R"({"model":1,"prompt":2,"max_tokens":0})", 3 },
                      Row{ R"({"model":"m","prompt":"p","stream":1})", 1 },
                      Row{ R"({"model":"m","prompt":"p","max_tokens":1e9})",
                           1 } };
  for (const auto& row : rows) {
    const auto outcome = Parse(CompletionForm::Completion, row.mBody);
    BOOST_TEST_CONTEXT(row.mBody)
    {
      BOOST_TEST(!outcome.mValue.has_value());
      BOOST_TEST(outcome.mFindings.mItems.size() == row.mFindings);
    }
  }
}

BOOST_AUTO_TEST_CASE(EndsStreamWithEndMark)
{
  const auto end = FormatEnd(CompletionForm::Chat, "r", "m", "stop");

  BOOST_TEST(end.ends_with("data: [DONE]\n\n"));
}

BOOST_AUTO_TEST_CASE(RefusalsHaveUniqueNamesAndErrorStatuses)
{
  auto names = std::vector<std::string_view>{};
  for (auto i = 0; i <= static_cast<int>(RefusalType::NotFound); ++i) {
    const auto type = static_cast<RefusalType>(i);
    BOOST_TEST(RefusalStatus(type) >= 400);
    names.push_back(RefusalName(type));
  }
  std::sort(names.begin(), names.end());
  BOOST_TEST((std::unique(names.begin(), names.end()) == names.end()));
}

BOOST_AUTO_TEST_CASE(RefusalStatesWhetherItRan)
{
  const auto body = FormatRefusal(
    { RefusalType::NoEndpoint, "none", Ran::No, Millis(1000) }, "r-1");
  const auto error = boost::json::parse(body).at("error");

  BOOST_TEST(error.at("ran").as_string() == "no");
  BOOST_TEST(error.at("retry_after_ms").as_int64() == 1000);
  BOOST_TEST(error.at("request_id").as_string() == "r-1");
}

BOOST_AUTO_TEST_SUITE_END()
