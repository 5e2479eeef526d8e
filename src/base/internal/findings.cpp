#include "base/findings.h"

#include <utility>

namespace cuminslip {

auto
AddFinding(Findings& aFindings, Finding aFinding) -> void
{
  aFindings.mItems.push_back(std::move(aFinding));
}

auto
IsEmpty(const Findings& aFindings) -> bool
{
  return aFindings.mItems.empty();
}

auto
FormatFinding(const Finding& aFinding) -> std::string
{
  auto text = std::string{};
  if (!aFinding.mPlace.mSource.empty()) {
    text += aFinding.mPlace.mSource + ":";
  }
  if (aFinding.mPlace.mLine > 0) {
    text += std::to_string(aFinding.mPlace.mLine) + ":" +
            std::to_string(aFinding.mPlace.mColumn) + ":";
  }
  if (!text.empty()) {
    text += " ";
  }
  if (!aFinding.mKey.empty()) {
    text += aFinding.mKey + ": ";
  }
  text += aFinding.mProblem;
  if (!aFinding.mExpected.empty()) {
    text += "; expected " + aFinding.mExpected;
  }
  return text;
}

auto
FormatFindings(const Findings& aFindings) -> std::string
{
  auto text = std::string{};
  for (const auto& finding : aFindings.mItems) {
    text += FormatFinding(finding) + "\n";
  }
  return text;
}

} // namespace cuminslip
