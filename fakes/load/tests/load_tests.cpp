#include "fakes/engine/answertext.h"
#include "fakes/load/answercheck.h"
#include "fakes/load/loadconfig.h"
#include "fakes/load/loadplan.h"
#include "fakes/load/loadreport.h"
#include "fakes/load/recordfile.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cuminslip;
using namespace cuminslip::fakes;

namespace {

auto
SomeSettings() -> LoadSettings
{
  auto settings = LoadSettings{};
  settings.mRequestsPerSecond = 100;
  settings.mAccounts = { { "large", "k1", "m", "1", 9, 0.5, 2, 512 },
                         { "small", "k2", "m", "1", 1, 0, 1, 512 } };
  settings.mKinds = { { "short", 8000, 16, 64, Millis(5000) },
                      { "long", 1000000, 16, 64, Millis(60000) } };
  settings.mServices = { { "counter", "status", 0.1, Millis(1000) } };
  settings.mPhases = { { "one", 50, 1 }, { "two", 25, 2 } };
  return settings;
}

auto
Words(std::uint64_t aDigest, const std::vector<std::int64_t>& aPieces)
  -> std::string
{
  auto text = std::string{};
  for (const auto piece : aPieces) {
    text += AnswerPiece(aDigest, piece);
  }
  return text;
}

auto
Record(const std::string& aLabel,
       std::uint64_t aSeed,
       std::int64_t aIndex,
       double aFirstMs) -> RequestRecord
{
  auto record = RequestRecord{};
  record.mLabel = aLabel;
  record.mSeed = aSeed;
  record.mIndex = aIndex;
  record.mPhase = "one";
  record.mPromptTokens = 2000;
  record.mAtMs = static_cast<double>(aIndex) * 100;
  record.mFirstTokenMs = aFirstMs;
  record.mGapsMs = { 1.5, 2.5 };
  record.mOutcome = "done";
  return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(PlanFollowsSeedAndShares)
{
  auto settings = SomeSettings();
  const auto plan = MakePlan(settings);
  BOOST_TEST((plan == MakePlan(settings)));
  const auto share = [&](auto aIsCounted) {
    return static_cast<double>(
             std::count_if(plan.begin(), plan.end(), aIsCounted)) /
           static_cast<double>(plan.size());
  };
  BOOST_TEST(plan.size() > 9000U);
  BOOST_TEST(plan.size() < 11000U);
  BOOST_TEST(share([](const auto& aIt) { return aIt.mIsService; }) > 0.08);
  BOOST_TEST(share([](const auto& aIt) { return aIt.mAccount == 0; }) > 0.85);
  const auto longShare =
    share([](const auto& aIt) { return aIt.mPromptTokens > 100000; });
  BOOST_TEST(longShare > 0.012);
  BOOST_TEST(longShare < 0.026);

  settings.mOnlyUpTo = 16000;
  auto expected = plan;
  std::erase_if(expected,
                [](const auto& aIt) { return aIt.mPromptTokens > 16000; });
  BOOST_TEST((MakePlan(settings) == expected));
  settings.mSeed = 2;
  BOOST_TEST((MakePlan(settings) != expected));
}

BOOST_AUTO_TEST_CASE(PromptsOfAnAccountShareTheirPrefix)
{
  auto request = PlannedRequest{};
  request.mPromptTokens = 1000;
  request.mPrefixTokens = 512;
  request.mPrefixSeed = 7;
  request.mTextSeed = 1;
  const auto first = MakePrompt(request);
  request.mTextSeed = 2;
  const auto second = MakePrompt(request);
  BOOST_TEST(CountTokens(first) == 1000);
  BOOST_TEST(first != second);
  BOOST_TEST(PrefixHashes(first)[0] == PrefixHashes(second)[0]);
}

BOOST_AUTO_TEST_CASE(AnswersAreCheckedWordByWord)
{
  struct Row
  {
    const char* mName;
    std::string mText;
    std::int64_t mLost;
    std::int64_t mDoubled;
    std::int64_t mForeign;
  };
  constexpr auto kDigest = std::uint64_t{ 42 };
  const auto rows = std::vector<Row>{
    { "whole", Words(kDigest, { 0, 1, 2, 3 }), 0, 0, 0 },
    { "short", Words(kDigest, { 0, 1 }), 2, 0, 0 },
    { "gap", Words(kDigest, { 0, 1, 3 }), 1, 0, 0 },
    { "doubled", Words(kDigest, { 0, 1, 1, 2, 3 }), 0, 1, 0 },
    { "beyond the end", Words(kDigest, { 0, 1, 2, 3, 4 }), 0, 0, 1 },
    { "foreign",
      Words(kDigest, { 0, 1 }) + "other " + Words(kDigest, { 2, 3 }),
      0,
      0,
      1 },
    { "half a word", Words(kDigest, { 0, 1, 2, 3 }) + "ab", 0, 0, 1 },
    { "nothing", "", 4, 0, 0 },
  };
  for (const auto& row : rows) {
    auto check = AnswerCheck{ kDigest, 4 };
    const auto half = row.mText.size() / 2;
    CheckText(check, row.mText.substr(0, half));
    CheckText(check, row.mText.substr(half));
    CheckEnd(check);
    BOOST_TEST_CONTEXT(row.mName)
    {
      BOOST_TEST(check.mLost == row.mLost);
      BOOST_TEST(check.mDoubled == row.mDoubled);
      BOOST_TEST(check.mForeign == row.mForeign);
    }
  }
}

BOOST_AUTO_TEST_CASE(BothFormsOfEventsAreRead)
{
  struct Row
  {
    std::string mBytes;
    AnswerEvent::Kind mKind;
    std::string mText;
  };
  using Kind = AnswerEvent::Kind;
  const auto rows = std::vector<Row>{
    { ": reading\n\ndata: {\"attempt\":\"a\",\"piece\":0,\"text\":\"x \"}\n\n",
      Kind::Text,
      "x " },
    { "data: {\"choices\":[{\"text\":\"y \",\"index\":0}]}\r\n\r\n",
      Kind::Text,
      "y " },
    { "data: {\"choices\":[{\"text\":\"\"}]}\n\ndata: [DONE]\n\n",
      Kind::End,
      "length" },
    { "data: {\"attempt\":\"a\",\"end\":true,\"reason\":\"lease\"}\n\n",
      Kind::End,
      "lease" },
    { "event: error\ndata: {\"error\":{}}\n\n", Kind::Error, "{\"error\":{}}" },
    { "data: broken\n\n", Kind::Error, "" },
  };
  for (const auto& row : rows) {
    auto reader = EventReader{};
    auto event = AnswerEvent{};
    auto isRead = false;
    for (const auto byte : row.mBytes) {
      auto bytes = std::string_view(&byte, 1);
      isRead = isRead || ReadEvent(reader, bytes, event);
    }
    BOOST_TEST_CONTEXT(row.mBytes)
    {
      BOOST_TEST(isRead);
      BOOST_TEST((event.mKind == row.mKind));
      BOOST_TEST(event.mText == row.mText);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportMergesSeedsAndGivesTheSlowdown)
{
  auto records = std::vector<RequestRecord>{};
  for (auto i = std::int64_t{ 0 }; i < 100; ++i) {
    records.push_back(Record("alone", 1, i, 10));
    records.push_back(Record("alone", 2, i, 20));
    records.push_back(Record("mixed", 1, i, 15));
    records.push_back(Record("mixed", 2, i, 20));
  }
  records[2].mOutcome = "failed";
  records[2].mType = "engine_lost";
  records[2].mRan = "yes";
  records[2].mLateMs = 500;
  const auto report = MakeReport(records, "alone");
  BOOST_REQUIRE(report.size() == 2U);
  const auto& mixed = report[1];
  BOOST_TEST(mixed.mDone == 199);
  BOOST_TEST(mixed.mPastAllowance == 1);
  BOOST_TEST(mixed.mTroubles.at("engine_lost (ran: yes)") == 1);
  BOOST_REQUIRE(mixed.mClasses.size() == 1U);
  const auto& it = mixed.mClasses[0];
  BOOST_TEST(it.mClass == "<=4k");
  BOOST_TEST((it.mFirstP95 == SeedFigure{ 15, 15, 20, 2 }));
  BOOST_TEST((it.mSlowdownP50 == SeedFigure{ 1, 1, 1.5, 2 }));
  BOOST_TEST(mixed.mGoodput.mMost > 10.0);
  BOOST_TEST(FormatReport(report).find("mixed") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RecordsSurviveTheirFile)
{
  const auto path = std::string(CUMINSLIP_BINARY_DIR "/records_test.jsonl");
  const auto records = std::vector<RequestRecord>{ Record("a", 1, 1, 10.25),
                                                   Record("b", 2, 2, -1) };
  const auto outcome = CollectOutcome<std::vector<RequestRecord>>([&] {
    auto written = WriteRecords(path, records);
    return written ? ReadRecords(path) : written.error();
  });
  BOOST_REQUIRE(outcome.mValue.has_value());
  BOOST_TEST((*outcome.mValue == records));
}

BOOST_AUTO_TEST_CASE(SettingsFindingsComeTogether)
{
  const auto outcome = CollectOutcome<LoadSettings>([&] {
    return ReadLoadSettings("targets: []\nspeed: 1\nkinds: [{name: 3, x: 1}]\n",
                            "load.yaml");
  });
  BOOST_TEST(outcome.mFindings.mItems.size() == 5U);
}
