#pragma once

#include "fakes/load/types/requestrecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Figures of runs, merged over seeds with their spread. Pure; thread safe.
namespace cuminslip::fakes {

/// A figure of several seeds: the median of the seeds' figures, the least and
/// the greatest.
struct SeedFigure
{
  double mMedian = 0;
  double mLeast = 0;
  double mMost = 0;
  std::size_t mSeeds = 0;

  auto operator==(const SeedFigure&) const -> bool = default;
};

/// Figures of the prompts of one length class.
struct ClassFigures
{
  std::string mClass;
  std::int64_t mRequests = 0;
  std::int64_t mDone = 0;
  SeedFigure mFirstP50;
  SeedFigure mFirstP95;
  SeedFigure mFirstP99;
  SeedFigure mGapP95;
  /// Ratio to the same requests of the run named as baseline; 0 without one.
  SeedFigure mSlowdownP50;
  SeedFigure mSlowdownP95;

  auto operator==(const ClassFigures&) const -> bool = default;
};

/// Figures of all runs with one label.
struct LabelFigures
{
  std::string mLabel;
  std::int64_t mRequests = 0;
  std::int64_t mDone = 0;
  std::int64_t mRefused = 0;
  std::int64_t mFailed = 0;
  std::int64_t mLost = 0;
  std::int64_t mDoubled = 0;
  std::int64_t mForeign = 0;
  std::int64_t mPastAllowance = 0;
  double mWorstLagMs = 0;
  /// Requests done in time, a second of planned time.
  SeedFigure mGoodput;
  std::vector<ClassFigures> mClasses;
  /// Number of refusals and failures by "type (ran: x)".
  std::map<std::string, std::int64_t> mTroubles;
  /// Goodput of each phase, and the share done of what was sent.
  std::map<std::string, SeedFigure> mPhaseGoodput;
  std::map<std::string, SeedFigure> mPhaseDoneShare;

  auto operator==(const LabelFigures&) const -> bool = default;
};

/// Length class of a prompt.
auto
LengthClassName(std::int64_t aTokens) -> std::string;

/// Figures of each label, in the order of first appearance. aBaseline names
/// the label whose requests give the slowdown, if any.
auto
MakeReport(const std::vector<RequestRecord>& aRecords,
           const std::string& aBaseline) -> std::vector<LabelFigures>;

/// The report as tables of text.
auto
FormatReport(const std::vector<LabelFigures>& aReport) -> std::string;

/// Data for gnuplot: a line for each class, a column for each label with the
/// 95th percentile of time to first token.
auto
FormatPlotData(const std::vector<LabelFigures>& aReport) -> std::string;

/// Data for gnuplot: requests done, refused and failed in each second of
/// planned time of one label, over all seeds.
auto
FormatTimeline(const std::vector<RequestRecord>& aRecords,
               const std::string& aLabel) -> std::string;

} // namespace cuminslip::fakes
