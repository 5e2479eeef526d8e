#include "bench/fleetreport.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cuminslip::bench {

namespace {

constexpr std::int64_t kShortTokens = 4000;
constexpr std::int64_t kMiddleTokens = 100000;
constexpr double kMillisPerSecond = 1000;

/// Figures of one seed, by column.
struct Columns
{
  std::vector<double> mShortP95;
  std::vector<double> mShortRatio;
  std::vector<double> mMiddleRatio;
  std::vector<double> mLongRatio;
  std::vector<double> mReadShare;
  std::vector<double> mImbalance;
  std::vector<double> mUnanswered;
};

auto
ToMillis(Micros aTime) -> double
{
  return std::chrono::duration<double>(aTime).count() * kMillisPerSecond;
}

auto
QuantileOrZero(const std::vector<double>& aValues, double aShare) -> double
{
  return aValues.empty() ? 0 : Quantile(aValues, aShare);
}

auto
AddRun(Columns& aColumns, const FleetResult& aResult) -> void
{
  constexpr auto kShare = 0.95;
  auto shortTimes = std::vector<double>{};
  auto shortRatios = std::vector<double>{};
  auto middleRatios = std::vector<double>{};
  auto longRatios = std::vector<double>{};
  auto tokens = 0.0;
  auto read = 0.0;
  for (const auto& outcome : aResult.mOutcomes) {
    const auto ratio =
      ToMillis(outcome.mFirstToken) / ToMillis(outcome.mUnloaded);
    tokens += static_cast<double>(outcome.mTokens);
    read += static_cast<double>(outcome.mReadTokens);
    if (outcome.mTokens <= kShortTokens) {
      shortTimes.push_back(ToMillis(outcome.mFirstToken));
      shortRatios.push_back(ratio);
    } else if (outcome.mTokens <= kMiddleTokens) {
      middleRatios.push_back(ratio);
    } else {
      longRatios.push_back(ratio);
    }
  }
  aColumns.mShortP95.push_back(QuantileOrZero(shortTimes, kShare));
  aColumns.mShortRatio.push_back(QuantileOrZero(shortRatios, kShare));
  aColumns.mMiddleRatio.push_back(QuantileOrZero(middleRatios, kShare));
  aColumns.mLongRatio.push_back(QuantileOrZero(longRatios, kShare));
  aColumns.mReadShare.push_back(tokens > 0 ? read / tokens : 0);
  aColumns.mImbalance.push_back(aResult.mImbalance);
  aColumns.mUnanswered.push_back(static_cast<double>(aResult.mUnanswered));
}

auto
PrintCell(const std::vector<double>& aValues, int aDigits) -> void
{
  std::printf(" | %.*f (%.*f-%.*f)",
              aDigits,
              Quantile(aValues, 0.5),
              aDigits,
              Quantile(aValues, 0),
              aDigits,
              Quantile(aValues, 1));
}

} // namespace

auto
Quantile(std::vector<double> aValues, double aShare) -> double
{
  const auto position = static_cast<std::size_t>(
    std::lround(aShare * static_cast<double>(aValues.size() - 1)));
  const auto it = aValues.begin() + static_cast<std::ptrdiff_t>(position);
  std::nth_element(aValues.begin(), it, aValues.end());
  return *it;
}

auto
PrintFleetHeading(const std::string& aTitle) -> void
{
  std::printf("\n%s\n\n", aTitle.c_str());
  std::printf("| rule | short p95 ms | short p95 ratio | middle p95 ratio | "
              "long p95 ratio | read share | imbalance | unanswered |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
}

auto
PrintFleetLine(const std::string& aName,
               FleetSettings aSettings,
               std::uint64_t aSeeds) -> void
{
  auto columns = Columns{};
  for (auto seed = std::uint64_t{ 1 }; seed <= aSeeds; ++seed) {
    aSettings.mSeed = seed;
    AddRun(columns, RunFleet(aSettings));
  }
  std::printf("| %s", aName.c_str());
  PrintCell(columns.mShortP95, 0);
  PrintCell(columns.mShortRatio, 2);
  PrintCell(columns.mMiddleRatio, 2);
  PrintCell(columns.mLongRatio, 2);
  PrintCell(columns.mReadShare, 2);
  PrintCell(columns.mImbalance, 1);
  PrintCell(columns.mUnanswered, 0);
  std::printf(" |\n");
  std::fflush(stdout);
}

} // namespace cuminslip::bench
