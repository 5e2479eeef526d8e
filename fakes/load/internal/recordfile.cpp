#include "fakes/load/recordfile.h"

#include "fakes/engine/jsonread.h"

#include <cmath>
#include <fstream>

namespace cuminslip::fakes {

namespace json = boost::json;

namespace {

constexpr auto kUnitsPerMs = 100.0;

/// Rounds to hundredths, so that lines stay short.
auto
Rounded(double aMs) -> double
{
  return std::round(aMs * kUnitsPerMs) / kUnitsPerMs;
}

auto
FileFinding(const std::string& aPath, int aLine, const std::string& aProblem)
  -> Findings
{
  return { { { { aPath, aLine, 0 }, "", aProblem, "a raw file of a run" } } };
}

auto
ToRecord(const json::object& aObject) -> RequestRecord
{
  auto record = RequestRecord{};
  record.mLabel = TextOf(aObject, "label");
  record.mSeed = static_cast<std::uint64_t>(WholeOf(aObject, "seed"));
  record.mIndex = WholeOf(aObject, "index");
  record.mPhase = TextOf(aObject, "phase");
  record.mAccount = TextOf(aObject, "account");
  record.mKind = TextOf(aObject, "kind");
  record.mIsService = TruthOf(aObject, "service");
  record.mPromptTokens = WholeOf(aObject, "prompt_tokens");
  record.mAnswerTokens = WholeOf(aObject, "answer_tokens");
  record.mAtMs = NumberOf(aObject, "at_ms", 0);
  record.mLagMs = NumberOf(aObject, "lag_ms", 0);
  record.mFirstTokenMs = NumberOf(aObject, "first_token_ms", -1);
  record.mTotalMs = NumberOf(aObject, "total_ms", 0);
  record.mOutcome = TextOf(aObject, "outcome");
  record.mType = TextOf(aObject, "type");
  record.mRan = TextOf(aObject, "ran");
  record.mAttempts = WholeOf(aObject, "attempts");
  record.mLost = WholeOf(aObject, "lost");
  record.mDoubled = WholeOf(aObject, "doubled");
  record.mForeign = WholeOf(aObject, "foreign");
  record.mLateMs = NumberOf(aObject, "late_ms", 0);
  const auto* gaps = aObject.if_contains("gaps_ms");
  if (gaps != nullptr && gaps->is_array()) {
    for (const auto& gap : gaps->as_array()) {
      record.mGapsMs.push_back(gap.is_number() ? gap.to_number<double>() : 0);
    }
  }
  return record;
}

} // namespace

auto
FormatRecord(const RequestRecord& aRecord) -> std::string
{
  auto gaps = json::array{};
  for (const auto gap : aRecord.mGapsMs) {
    gaps.push_back(Rounded(gap));
  }
  const auto object =
    json::object{ { "label", aRecord.mLabel },
                  { "seed", aRecord.mSeed },
                  { "index", aRecord.mIndex },
                  { "phase", aRecord.mPhase },
                  { "account", aRecord.mAccount },
                  { "kind", aRecord.mKind },
                  { "service", aRecord.mIsService },
                  { "prompt_tokens", aRecord.mPromptTokens },
                  { "answer_tokens", aRecord.mAnswerTokens },
                  { "at_ms", Rounded(aRecord.mAtMs) },
                  { "lag_ms", Rounded(aRecord.mLagMs) },
                  { "first_token_ms", Rounded(aRecord.mFirstTokenMs) },
                  { "total_ms", Rounded(aRecord.mTotalMs) },
                  { "outcome", aRecord.mOutcome },
                  { "type", aRecord.mType },
                  { "ran", aRecord.mRan },
                  { "attempts", aRecord.mAttempts },
                  { "lost", aRecord.mLost },
                  { "doubled", aRecord.mDoubled },
                  { "foreign", aRecord.mForeign },
                  { "late_ms", Rounded(aRecord.mLateMs) },
                  { "gaps_ms", std::move(gaps) } };
  return json::serialize(object);
}

auto
ReadRecords(const std::string& aPath)
  -> leaf::result<std::vector<RequestRecord>>
{
  auto file = std::ifstream(aPath);
  if (!file) {
    return leaf::new_error(FileFinding(aPath, 0, "cannot be read"));
  }
  auto records = std::vector<RequestRecord>{};
  auto number = 0;
  for (auto line = std::string{}; std::getline(file, line);) {
    ++number;
    const auto object = ParseObject(line);
    if (!object.has_value()) {
      return leaf::new_error(FileFinding(aPath, number, "not a record"));
    }
    records.push_back(ToRecord(*object));
  }
  return records;
}

auto
WriteRecords(const std::string& aPath,
             const std::vector<RequestRecord>& aRecords) -> leaf::result<void>
{
  auto file = std::ofstream(aPath);
  for (const auto& record : aRecords) {
    file << FormatRecord(record) << "\n";
  }
  file.close();
  if (!file) {
    return leaf::new_error(FileFinding(aPath, 0, "cannot be written"));
  }
  return {};
}

} // namespace cuminslip::fakes
