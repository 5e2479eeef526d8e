#include "fakes/load/loadreport.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cuminslip::fakes {

namespace {

constexpr auto kNameWidth = 10;
constexpr auto kCountWidth = 7;
constexpr auto kFigureWidth = 22;

/// "median [least..most]".
auto
FormatFigure(const SeedFigure& aFigure, int aDigits) -> std::string
{
  if (aFigure.mSeeds == 0) {
    return "-";
  }
  auto text = std::ostringstream{};
  text << std::fixed << std::setprecision(aDigits) << aFigure.mMedian;
  if (aFigure.mSeeds > 1) {
    text << " [" << aFigure.mLeast << ".." << aFigure.mMost << "]";
  }
  return text.str();
}

auto
AddSummary(std::ostream& aText, const LabelFigures& aFigures) -> void
{
  aText << "== " << aFigures.mLabel << "\n"
        << "requests " << aFigures.mRequests << ", done " << aFigures.mDone
        << ", refused " << aFigures.mRefused << ", failed " << aFigures.mFailed
        << "; goodput " << FormatFigure(aFigures.mGoodput, 2) << "/s"
        << "; lost " << aFigures.mLost << ", doubled " << aFigures.mDoubled
        << ", foreign " << aFigures.mForeign << ", past allowance "
        << aFigures.mPastAllowance << "; worst send lag " << std::fixed
        << std::setprecision(1) << aFigures.mWorstLagMs << " ms\n";
  if (aFigures.mPhaseGoodput.size() > 1) {
    for (const auto& [phase, goodput] : aFigures.mPhaseGoodput) {
      aText << "  phase " << phase << ": goodput " << FormatFigure(goodput, 2)
            << "/s, done share "
            << FormatFigure(aFigures.mPhaseDoneShare.at(phase), 3) << "\n";
    }
  }
  for (const auto& [trouble, count] : aFigures.mTroubles) {
    aText << "  " << count << " x " << trouble << "\n";
  }
}

auto
AddClassLine(std::ostream& aText, const ClassFigures& aFigures) -> void
{
  const auto add = [&](const std::string& aFigure) {
    aText << std::setw(kFigureWidth) << aFigure;
  };
  aText << std::left << std::setw(kNameWidth) << aFigures.mClass << std::right
        << std::setw(kCountWidth) << aFigures.mRequests
        << std::setw(kCountWidth) << aFigures.mDone;
  add(FormatFigure(aFigures.mFirstP50, 0));
  add(FormatFigure(aFigures.mFirstP95, 0));
  add(FormatFigure(aFigures.mFirstP99, 0));
  add(FormatFigure(aFigures.mGapP95, 1));
  add(FormatFigure(aFigures.mSlowdownP50, 2));
  add(FormatFigure(aFigures.mSlowdownP95, 2));
  aText << "\n";
}

auto
AddClassHead(std::ostream& aText) -> void
{
  aText << std::left << std::setw(kNameWidth) << "class" << std::right
        << std::setw(kCountWidth) << "n" << std::setw(kCountWidth) << "done";
  for (const auto* name : { "first p50 ms",
                            "first p95 ms",
                            "first p99 ms",
                            "gap p95 ms",
                            "slowdown p50",
                            "slowdown p95" }) {
    aText << std::setw(kFigureWidth) << name;
  }
  aText << "\n";
}

} // namespace

auto
FormatReport(const std::vector<LabelFigures>& aReport) -> std::string
{
  auto text = std::ostringstream{};
  for (const auto& label : aReport) {
    AddSummary(text, label);
    AddClassHead(text);
    for (const auto& it : label.mClasses) {
      AddClassLine(text, it);
    }
    text << "\n";
  }
  return text.str();
}

auto
FormatPlotData(const std::vector<LabelFigures>& aReport) -> std::string
{
  auto classes = std::vector<std::string>{};
  auto text = std::ostringstream{};
  text << "class";
  for (const auto& label : aReport) {
    text << " \"" << label.mLabel << "\"";
    for (const auto& it : label.mClasses) {
      if (std::find(classes.begin(), classes.end(), it.mClass) ==
            classes.end() &&
          it.mFirstP95.mSeeds > 0) {
        classes.push_back(it.mClass);
      }
    }
  }
  text << "\n";
  for (const auto& name : classes) {
    text << "\"" << name << "\"";
    for (const auto& label : aReport) {
      const auto it =
        std::find_if(label.mClasses.begin(),
                     label.mClasses.end(),
                     [&](const auto& aClass) { return aClass.mClass == name; });
      text << " " << (it == label.mClasses.end() ? 0 : it->mFirstP95.mMedian);
    }
    text << "\n";
  }
  return text.str();
}

} // namespace cuminslip::fakes
