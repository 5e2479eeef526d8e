#include "bench/fleetreport.h"
#include "bench/healthexperiment.h"
#include "bench/queueexperiment.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

using namespace cuminslip;
using namespace cuminslip::bench;

namespace {

constexpr std::uint64_t kSeeds = 5;

auto
WithRule(FleetSettings aSettings, ChoiceRule aRule, bool aHasLanes)
  -> FleetSettings
{
  aSettings.mChoice.mRule = aRule;
  aSettings.mChoice.mLanes.mIsEnabled = aHasLanes;
  return aSettings;
}

auto
PrintRules(const FleetSettings& aBase) -> void
{
  PrintFleetLine(
    "round robin", WithRule(aBase, ChoiceRule::RoundRobin, false), kSeeds);
  PrintFleetLine("least outstanding",
                 WithRule(aBase, ChoiceRule::LeastOutstanding, false),
                 kSeeds);
  PrintFleetLine("least reported load",
                 WithRule(aBase, ChoiceRule::LeastReportedLoad, false),
                 kSeeds);
  PrintFleetLine(
    "least cost", WithRule(aBase, ChoiceRule::LeastCost, false), kSeeds);
  PrintFleetLine(
    "least cost, lanes", WithRule(aBase, ChoiceRule::LeastCost, true), kSeeds);
}

auto
RunHerding() -> void
{
  for (const auto delay : { 100, 1000, 5000 }) {
    auto settings = FleetSettings{};
    settings.mReportDelay = Millis(delay);
    PrintFleetHeading("25 engines, 8 instances, 70% load, reports " +
                      std::to_string(delay) + " ms late");
    PrintRules(settings);
  }
}

auto
RunSamples() -> void
{
  for (const auto delay : { 100, 1000, 5000 }) {
    PrintFleetHeading("Endpoints looked at, reports " + std::to_string(delay) +
                      " ms late, without lanes");
    for (const auto count : { 2, 4, 8, 16, 0 }) {
      auto settings = WithRule({}, ChoiceRule::LeastCost, false);
      settings.mReportDelay = Millis(delay);
      settings.mChoice.mSampleCount = static_cast<std::size_t>(count);
      PrintFleetLine(
        count == 0 ? "all" : std::to_string(count), settings, kSeeds);
    }
  }
}

auto
PrintLanes(const FleetSettings& aBase) -> void
{
  auto byKind = WithRule(aBase, ChoiceRule::LeastCost, false);
  byKind.mPriorityByLength = false;
  PrintFleetLine("no classes", byKind, kSeeds);
  for (const auto share : { 1.0, 0.75, 0.5 }) {
    auto settings = aBase;
    settings.mChoice.mLanes.mLongShare = share;
    PrintFleetLine(
      "long share " + std::to_string(share).substr(0, 4), settings, kSeeds);
  }
  auto single = aBase;
  single.mChoice.mLanes.mMaxLongOnLongLane = 1;
  PrintFleetLine("long share 0.75, one at a time", single, kSeeds);
}

auto
RunLanes() -> void
{
  auto settings = FleetSettings{};
  PrintFleetHeading("Engines that read in chunks by priority");
  PrintLanes(settings);
  settings.mReadOrder = ReadOrder::Prompts;
  PrintFleetHeading("Engines that read each prompt to its end");
  PrintLanes(settings);
  settings.mReadOrder = ReadOrder::FirstComeFirstServed;
  PrintFleetHeading("Engines without priorities");
  PrintLanes(settings);
}

auto
RunLarge() -> void
{
  constexpr auto kLargeSeeds = std::uint64_t{ 3 };
  auto settings = FleetSettings{};
  settings.mEngines = 600;
  settings.mInstances = 350;
  settings.mDuration = Millis(10000);
  settings.mReportDelay = Millis(1000);
  PrintFleetHeading("600 engines, 350 instances, reports 1000 ms late");
  PrintFleetLine("least reported load",
                 WithRule(settings, ChoiceRule::LeastReportedLoad, false),
                 kLargeSeeds);
  PrintFleetLine("least outstanding",
                 WithRule(settings, ChoiceRule::LeastOutstanding, false),
                 kLargeSeeds);
  for (const auto count : { 2, 4, 8, 32, 0 }) {
    settings.mChoice.mSampleCount = static_cast<std::size_t>(count);
    PrintFleetLine("least cost of " +
                     (count == 0 ? "all" : std::to_string(count)),
                   settings,
                   kLargeSeeds);
  }
}

auto
RunSlow() -> void
{
  auto settings = FleetSettings{};
  settings.mSlowEngines = 3;
  settings.mLoad = 0.5;
  PrintFleetHeading("3 of 25 engines 5 times slower than they report");
  PrintRules(settings);
  settings.mLearnsSlowness = false;
  PrintFleetLine("least cost, lanes, no learning", settings, kSeeds);
}

auto
PrintHomes(FleetSettings aSettings, std::size_t aCount, double aDiscount)
  -> void
{
  aSettings.mChoice.mPreferredCount = aCount;
  aSettings.mChoice.mPreferredDiscount = aDiscount;
  PrintFleetLine(std::to_string(aCount) + " homes, discount " +
                   std::to_string(aDiscount).substr(0, 3),
                 aSettings,
                 kSeeds);
}

auto
RunPrefixes() -> void
{
  auto settings = FleetSettings{};
  PrintFleetHeading("Nothing shared");
  PrintHomes(settings, 0, 0);
  PrintHomes(settings, 2, 0.5);
  settings.mGroupShare = 0.6;
  PrintFleetHeading("6 of 10 requests share 8 tenths with one of 60 texts, an "
                    "engine caches 8; instances know what they sent");
  PrintRules(settings);
  PrintHomes(settings, 0, 0);
  for (const auto discount : { 0.2, 0.5, 0.8 }) {
    for (const auto count : { 1, 2, 3 }) {
      PrintHomes(settings, static_cast<std::size_t>(count), discount);
    }
  }
  for (const auto lost : { 0.3, 0.0 }) {
    settings.mLostEvents = lost;
    PrintFleetHeading("The same, with cache events, of which are lost " +
                      std::to_string(lost).substr(0, 3));
    PrintHomes(settings, 0, 0);
    PrintHomes(settings, 2, 0.5);
  }
  settings.mUsesPrefixes = false;
  PrintFleetHeading("The same without knowledge of prefixes");
  PrintHomes(settings, 0, 0);
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  const auto experiments = std::map<std::string, std::function<void()>>{
    { "herding", RunHerding },   { "samples", RunSamples },
    { "lanes", RunLanes },       { "large", RunLarge },
    { "slow", RunSlow },         { "health", RunHealth },
    { "fairness", RunFairness }, { "burst", RunBurst },
    { "prefixes", RunPrefixes },
  };
  if (aCount == 1) {
    for (const auto& [name, run] : experiments) {
      run();
    }
  }
  for (auto i = 1; i < aCount; ++i) {
    const auto it = experiments.find(aArguments[i]);
    if (it == experiments.end()) {
      std::fprintf(stderr, "unknown experiment %s; known:", aArguments[i]);
      for (const auto& [name, run] : experiments) {
        std::fprintf(stderr, " %s", name.c_str());
      }
      std::fprintf(stderr, "\n");
      return EXIT_FAILURE;
    }
    it->second();
  }
  return EXIT_SUCCESS;
}
