#include "base/findings.h"

#include <string_view>
#include <utility>

namespace cuminslip {

namespace {

/// Cuts a text, not inside a UTF-8 sequence.
auto
Shorten(std::string& aText) -> void
{
  if (aText.size() <= kMaxFindingText) {
    return;
  }
  constexpr auto kMark = std::string_view("...");
  auto n = kMaxFindingText - kMark.size();
  const auto isContinuation = [&](std::size_t aAt) {
    return (static_cast<unsigned char>(aText[aAt]) & 0xC0U) == 0x80U;
  };
  while (n > 0 && isContinuation(n)) {
    --n;
  }
  aText.resize(n);
  aText.shrink_to_fit();
  aText += kMark;
}

} // namespace

auto
AddFinding(Findings& aFindings, Finding aFinding) -> void
{
  if (IsFull(aFindings)) {
    ++aFindings.mOmitted;
    return;
  }
  Shorten(aFinding.mKey);
  Shorten(aFinding.mProblem);
  Shorten(aFinding.mExpected);
  aFindings.mItems.push_back(std::move(aFinding));
}

auto
IsFull(const Findings& aFindings) -> bool
{
  return aFindings.mItems.size() >= kMaxFindings;
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
  if (aFindings.mOmitted > 0) {
    text += "and more\n";
  }
  return text;
}

} // namespace cuminslip
