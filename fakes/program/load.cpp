#include "base/events.h"
#include "fakes/load/loadconfig.h"
#include "fakes/load/loadreport.h"
#include "fakes/load/loadrun.h"
#include "fakes/load/recordfile.h"

#include <popt.h>

#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace cuminslip;
using namespace cuminslip::fakes;

constexpr auto kExitUsage = 2;
constexpr auto kExitSettings = 3;

struct Options
{
  std::string mCommand;
  std::vector<std::string> mFiles;
  std::string mSettings;
  std::string mLabel = "run";
  std::string mOut;
  std::string mBaseline;
  std::uint64_t mSeed = 0;
  double mRate = 0;
  double mSeconds = 0;
  std::int64_t mOnlyUpTo = -1;
};

auto
TextOrEmpty(const char* aText) -> std::string
{
  return aText == nullptr ? std::string{} : std::string(aText);
}

auto
ReadOptions(int aCount, const char** aArguments, Options& aOptions) -> bool
{
  char* settings = nullptr;
  char* label = nullptr;
  char* out = nullptr;
  char* baseline = nullptr;
  auto seed = 0L;
  auto onlyUpTo = -1L;
  // clang-format off
  const poptOption table[] = {
    { "settings", 's', POPT_ARG_STRING, &settings, 0, "run: settings in YAML", "FILE" },
    { "label", 'l', POPT_ARG_STRING, &label, 0, "run: name of the run", "NAME" },
    { "seed", 'n', POPT_ARG_LONG, &seed, 0, "run: seed in place of the file's", "N" },
    { "rate", 'r', POPT_ARG_DOUBLE, &aOptions.mRate, 0, "run: requests a second", "N" },
    { "seconds", 't', POPT_ARG_DOUBLE, &aOptions.mSeconds, 0, "run: one phase of this length", "N" },
    { "only-up-to", 'u', POPT_ARG_LONG, &onlyUpTo, 0, "run: leave out longer prompts", "TOKENS" },
    { "out", 'o', POPT_ARG_STRING, &out, 0, "run: raw file; report: prefix of plot data", "FILE" },
    { "baseline", 'b', POPT_ARG_STRING, &baseline, 0, "report: label for the slowdown", "NAME" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  // clang-format on
  auto* context =
    poptGetContext("cuminslip-load", aCount, aArguments, table, 0);
  poptSetOtherOptionHelp(context,
                         "run --settings FILE [...] | report RAWFILE...");
  const auto rc = poptGetNextOpt(context);
  aOptions.mCommand = TextOrEmpty(poptGetArg(context));
  for (const auto* file = poptGetArg(context); file != nullptr;
       file = poptGetArg(context)) {
    aOptions.mFiles.emplace_back(file);
  }
  aOptions.mSettings = TextOrEmpty(settings);
  aOptions.mLabel = label == nullptr ? "run" : label;
  aOptions.mOut = TextOrEmpty(out);
  aOptions.mBaseline = TextOrEmpty(baseline);
  aOptions.mSeed = static_cast<std::uint64_t>(seed);
  aOptions.mOnlyUpTo = onlyUpTo;
  const auto isRun = aOptions.mCommand == "run" && settings != nullptr;
  const auto isReport =
    aOptions.mCommand == "report" && !aOptions.mFiles.empty();
  const auto isUsable = rc == -1 && (isRun || isReport);
  if (!isUsable) {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  return isUsable;
}

auto
ReadSettings(const Options& aOptions) -> leaf::result<LoadSettings>
{
  auto file = std::ifstream(aOptions.mSettings);
  if (!file) {
    return leaf::new_error(Findings{ { { { aOptions.mSettings, 0, 0 },
                                         "",
                                         "cannot be read",
                                         "a readable file" } } });
  }
  const auto text = std::string(std::istreambuf_iterator<char>(file), {});
  BOOST_LEAF_AUTO(settings, ReadLoadSettings(text, aOptions.mSettings));
  if (aOptions.mSeed > 0) {
    settings.mSeed = aOptions.mSeed;
  }
  if (aOptions.mRate > 0) {
    settings.mRequestsPerSecond = aOptions.mRate;
  }
  if (aOptions.mSeconds > 0) {
    settings.mPhases = { { "whole", aOptions.mSeconds, 1 } };
  }
  if (aOptions.mOnlyUpTo >= 0) {
    settings.mOnlyUpTo = aOptions.mOnlyUpTo;
  }
  return settings;
}

auto
RunCommand(const Options& aOptions) -> leaf::result<int>
{
  BOOST_LEAF_AUTO(settings, ReadSettings(aOptions));
  const auto loop = wire::CreateEventLoop();
  const auto outcome = RunLoad(*loop, settings, aOptions.mLabel);
  if (!aOptions.mOut.empty()) {
    auto written = WriteRecords(aOptions.mOut, outcome.mRecords);
    if (!written) {
      return written.error();
    }
  }
  std::cout << FormatReport(MakeReport(outcome.mRecords, ""))
            << "load tool: " << outcome.mWallSeconds << " s, "
            << outcome.mCpuSeconds / outcome.mWallSeconds << " cores\n";
  return 0;
}

auto
ReportCommand(const Options& aOptions) -> leaf::result<int>
{
  auto records = std::vector<RequestRecord>{};
  for (const auto& file : aOptions.mFiles) {
    BOOST_LEAF_AUTO(more, ReadRecords(file));
    records.insert(records.end(), more.begin(), more.end());
  }
  const auto report = MakeReport(records, aOptions.mBaseline);
  std::cout << FormatReport(report);
  if (aOptions.mOut.empty()) {
    return 0;
  }
  std::ofstream(aOptions.mOut + "-classes.dat") << FormatPlotData(report);
  for (const auto& label : report) {
    std::ofstream(aOptions.mOut + "-timeline-" + label.mLabel + ".dat")
      << FormatTimeline(records, label.mLabel);
  }
  return 0;
}

} // namespace

auto
main(int aCount, const char** aArguments) -> int
{
  auto options = Options{};
  if (!ReadOptions(aCount, aArguments, options)) {
    return kExitUsage;
  }
  StartLog("load", "", Severity::Warning);
  const auto outcome = CollectOutcome<int>([&] {
    return options.mCommand == "run" ? RunCommand(options)
                                     : ReportCommand(options);
  });
  if (!outcome.mValue.has_value()) {
    std::cerr << FormatFindings(outcome.mFindings);
    return kExitSettings;
  }
  return *outcome.mValue;
}
