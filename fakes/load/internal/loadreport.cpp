#include "fakes/load/loadreport.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cuminslip::fakes {

namespace {

constexpr auto kMsPerSecond = 1000.0;
constexpr auto kMedian = 0.5;
constexpr auto kP95 = 0.95;
constexpr auto kP99 = 0.99;

struct LengthClassBound
{
  std::int64_t mMost;
  const char* mName;
};
constexpr LengthClassBound kClasses[] = { { 0, "service" },
                                          { 4000, "<=4k" },
                                          { 16000, "<=16k" },
                                          { 100000, "<=100k" },
                                          { 400000, "<=400k" } };
constexpr auto kLongestClass = ">400k";

using Records = std::vector<const RequestRecord*>;
/// Seed, index, length and planned time: the same in runs of the same plan.
using RequestId = std::tuple<std::uint64_t, std::int64_t, std::int64_t, double>;
using Baseline = std::map<RequestId, double>;

auto
IdOf(const RequestRecord& aRecord) -> RequestId
{
  return {
    aRecord.mSeed, aRecord.mIndex, aRecord.mPromptTokens, aRecord.mAtMs
  };
}

auto
Quantile(std::vector<double> aValues, double aShare) -> double
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto rank = std::ceil(aShare * static_cast<double>(aValues.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return aValues[std::min(index, aValues.size() - 1)];
}

auto
Spread(const std::vector<double>& aFigures) -> SeedFigure
{
  if (aFigures.empty()) {
    return {};
  }
  const auto [least, most] =
    std::minmax_element(aFigures.begin(), aFigures.end());
  return { Quantile(aFigures, kMedian), *least, *most, aFigures.size() };
}

auto
BySeed(const Records& aRecords) -> std::map<std::uint64_t, Records>
{
  auto seeds = std::map<std::uint64_t, Records>{};
  for (const auto* record : aRecords) {
    seeds[record->mSeed].push_back(record);
  }
  return seeds;
}

/// A quantile of each seed's values, merged. aTake appends a record's values.
template<class Take>
auto
SeedQuantile(const Records& aRecords, double aShare, Take aTake) -> SeedFigure
{
  auto figures = std::vector<double>{};
  for (const auto& [seed, records] : BySeed(aRecords)) {
    auto values = std::vector<double>{};
    for (const auto* record : records) {
      aTake(*record, values);
    }
    if (!values.empty()) {
      figures.push_back(Quantile(std::move(values), aShare));
    }
  }
  return Spread(figures);
}

auto
IsGood(const RequestRecord& aRecord) -> bool
{
  return aRecord.mOutcome == "done" && aRecord.mLateMs <= 0 &&
         aRecord.mLost + aRecord.mDoubled + aRecord.mForeign == 0;
}

auto
Goodput(const Records& aRecords) -> SeedFigure
{
  auto figures = std::vector<double>{};
  for (const auto& [seed, records] : BySeed(aRecords)) {
    auto first = records.front()->mAtMs;
    auto last = first;
    auto good = 0.0;
    for (const auto* record : records) {
      first = std::min(first, record->mAtMs);
      last = std::max(last, record->mAtMs);
      good += IsGood(*record) ? 1 : 0;
    }
    const auto seconds = (last - first) / kMsPerSecond;
    figures.push_back(seconds > 0 ? good / seconds : 0);
  }
  return Spread(figures);
}

auto
DoneShare(const Records& aRecords) -> SeedFigure
{
  auto figures = std::vector<double>{};
  for (const auto& [seed, records] : BySeed(aRecords)) {
    const auto good =
      std::count_if(records.begin(), records.end(), [](const auto* aIt) {
        return IsGood(*aIt);
      });
    figures.push_back(static_cast<double>(good) /
                      static_cast<double>(records.size()));
  }
  return Spread(figures);
}

auto
MakeClass(const std::string& aName,
          const Records& aRecords,
          const Baseline& aBaseline) -> ClassFigures
{
  const auto takeFirst = [](const RequestRecord& aRecord, auto& aValues) {
    if (aRecord.mFirstTokenMs >= 0) {
      aValues.push_back(aRecord.mFirstTokenMs);
    }
  };
  const auto takeGaps = [](const RequestRecord& aRecord, auto& aValues) {
    const auto& gaps = aRecord.mGapsMs;
    aValues.insert(aValues.end(), gaps.begin(), gaps.end());
  };
  const auto takeSlowdown = [&](const RequestRecord& aRecord, auto& aValues) {
    const auto it = aBaseline.find(IdOf(aRecord));
    if (it != aBaseline.end() && aRecord.mFirstTokenMs >= 0) {
      aValues.push_back(aRecord.mFirstTokenMs / it->second);
    }
  };
  auto figures = ClassFigures{};
  figures.mClass = aName;
  figures.mRequests = static_cast<std::int64_t>(aRecords.size());
  figures.mDone =
    std::count_if(aRecords.begin(), aRecords.end(), [](const auto* aIt) {
      return aIt->mOutcome == "done";
    });
  figures.mFirstP50 = SeedQuantile(aRecords, kMedian, takeFirst);
  figures.mFirstP95 = SeedQuantile(aRecords, kP95, takeFirst);
  figures.mFirstP99 = SeedQuantile(aRecords, kP99, takeFirst);
  figures.mGapP95 = SeedQuantile(aRecords, kP95, takeGaps);
  figures.mSlowdownP50 = SeedQuantile(aRecords, kMedian, takeSlowdown);
  figures.mSlowdownP95 = SeedQuantile(aRecords, kP95, takeSlowdown);
  return figures;
}

auto
AddClasses(LabelFigures& aFigures,
           const Records& aRecords,
           const Baseline& aBaseline) -> void
{
  auto classes = std::map<std::string, Records>{};
  for (const auto* record : aRecords) {
    classes[LengthClassName(record->mPromptTokens)].push_back(record);
  }
  const auto add = [&](const std::string& aName) {
    const auto it = classes.find(aName);
    if (it != classes.end()) {
      aFigures.mClasses.push_back(MakeClass(aName, it->second, aBaseline));
    }
  };
  for (const auto& bound : kClasses) {
    add(bound.mName);
  }
  add(kLongestClass);
}

auto
AddPhases(LabelFigures& aFigures, const Records& aRecords) -> void
{
  auto phases = std::map<std::string, Records>{};
  for (const auto* record : aRecords) {
    phases[record->mPhase].push_back(record);
  }
  for (const auto& [phase, records] : phases) {
    aFigures.mPhaseGoodput[phase] = Goodput(records);
    aFigures.mPhaseDoneShare[phase] = DoneShare(records);
  }
}

auto
CountRecord(LabelFigures& aFigures, const RequestRecord& aRecord) -> void
{
  aFigures.mRequests += 1;
  aFigures.mDone += aRecord.mOutcome == "done" ? 1 : 0;
  aFigures.mRefused += aRecord.mOutcome == "refused" ? 1 : 0;
  aFigures.mFailed += aRecord.mOutcome == "failed" ? 1 : 0;
  aFigures.mLost += aRecord.mOutcome == "done" ? aRecord.mLost : 0;
  aFigures.mDoubled += aRecord.mDoubled;
  aFigures.mForeign += aRecord.mForeign;
  aFigures.mPastAllowance += aRecord.mLateMs > 0 ? 1 : 0;
  aFigures.mWorstLagMs = std::max(aFigures.mWorstLagMs, aRecord.mLagMs);
  if (aRecord.mOutcome != "done") {
    aFigures.mTroubles[aRecord.mType + " (ran: " + aRecord.mRan + ")"] += 1;
  }
}

auto
MakeLabel(const std::string& aLabel,
          const Records& aRecords,
          const Baseline& aBaseline) -> LabelFigures
{
  auto figures = LabelFigures{};
  figures.mLabel = aLabel;
  for (const auto* record : aRecords) {
    CountRecord(figures, *record);
  }
  figures.mGoodput = Goodput(aRecords);
  AddClasses(figures, aRecords, aBaseline);
  AddPhases(figures, aRecords);
  return figures;
}

} // namespace

auto
LengthClassName(std::int64_t aTokens) -> std::string
{
  for (const auto& bound : kClasses) {
    if (aTokens <= bound.mMost) {
      return bound.mName;
    }
  }
  return kLongestClass;
}

auto
MakeReport(const std::vector<RequestRecord>& aRecords,
           const std::string& aBaseline) -> std::vector<LabelFigures>
{
  auto labels = std::vector<std::string>{};
  auto byLabel = std::map<std::string, Records>{};
  auto baseline = Baseline{};
  for (const auto& record : aRecords) {
    auto& records = byLabel[record.mLabel];
    if (records.empty()) {
      labels.push_back(record.mLabel);
    }
    records.push_back(&record);
    if (record.mLabel == aBaseline && record.mFirstTokenMs > 0) {
      baseline[IdOf(record)] = record.mFirstTokenMs;
    }
  }
  auto report = std::vector<LabelFigures>{};
  for (const auto& label : labels) {
    report.push_back(MakeLabel(label, byLabel.at(label), baseline));
  }
  return report;
}

auto
FormatTimeline(const std::vector<RequestRecord>& aRecords,
               const std::string& aLabel) -> std::string
{
  struct Second
  {
    std::int64_t mDone = 0;
    std::int64_t mRefused = 0;
    std::int64_t mFailed = 0;
  };
  auto seconds = std::map<std::int64_t, Second>{};
  for (const auto& record : aRecords) {
    if (record.mLabel != aLabel) {
      continue;
    }
    auto& second =
      seconds[static_cast<std::int64_t>(record.mAtMs / kMsPerSecond)];
    second.mDone += IsGood(record) ? 1 : 0;
    second.mRefused += record.mOutcome == "refused" ? 1 : 0;
    second.mFailed += record.mOutcome == "failed" ? 1 : 0;
  }
  auto text = std::string("# second done refused failed\n");
  for (const auto& [at, second] : seconds) {
    text += std::to_string(at) + " " + std::to_string(second.mDone) + " " +
            std::to_string(second.mRefused) + " " +
            std::to_string(second.mFailed) + "\n";
  }
  return text;
}

} // namespace cuminslip::fakes
