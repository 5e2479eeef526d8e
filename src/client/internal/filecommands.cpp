#include "client/internal/answers.h"
#include "client/internal/commands.h"

#include "base/digest.h"
#include "documents/findingsjson.h"
#include "documents/readfile.h"
#include "documents/section.h"
#include "routingcheck/routingcheck.h"
#include "settings/settings.h"
#include "templates/templates.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace cuminslip::client {

namespace {

constexpr auto kStandardInput = "-";

auto
IsTemplate(const std::string& aText) -> bool
{
  auto document = documents::ReadDocument(aText, "");
  if (!document.mRoot.IsMap()) {
    return false;
  }
  auto root = documents::OpenRoot(document);
  return documents::HasKey(root, "account");
}

auto
CheckText(const std::string& aText, const std::string& aPath) -> Findings
{
  if (IsTemplate(aText)) {
    return CollectOutcome<Template>([&] { return ParseTemplate(aText, aPath); })
      .mFindings;
  }
  return CollectOutcome<Settings>([&] { return ParseSettings(aText, aPath); })
    .mFindings;
}

using routingcheck::FindingSeverity;
using routingcheck::RoutingReading;

/// A finding of a routing document, as it is printed.
struct RatedFinding
{
  FindingSeverity mSeverity = FindingSeverity::Error;
  Finding mFinding;
};

auto
AddRated(const RoutingReading& aReading,
         const std::string& aPath,
         const routingcheck::RoutingFindings& aFrom,
         std::vector<RatedFinding>& aFindings) -> void
{
  for (const auto& it : aFrom) {
    aFindings.push_back({ it.mSeverity,
                          { { aPath, 0, 0 },
                            aReading.mFormatPath(it.mPath),
                            it.mProblem,
                            it.mExpected } });
  }
}

/// Returns no value and adds errors if the file can't be read.
auto
ReadRoutingFile(const Options& aOptions,
                const std::string& aPath,
                std::vector<RatedFinding>& aFindings)
  -> std::optional<RoutingReading>
{
  const auto text =
    CollectOutcome<std::string>([&] { return documents::ReadFile(aPath); });
  auto reading = Outcome<RoutingReading>{ std::nullopt, text.mFindings };
  if (text.mValue) {
    reading = CollectOutcome<RoutingReading>(
      [&] { return aOptions.mRoutingFormat->mRead(*text.mValue); });
  }
  for (auto& it : reading.mFindings.mItems) {
    it.mPlace.mSource = aPath;
    aFindings.push_back({ FindingSeverity::Error, it });
  }
  return reading.mValue;
}

auto
CheckRouting(const Options& aOptions) -> std::vector<RatedFinding>
{
  const auto& path = aOptions.mWords.at(1);
  auto findings = std::vector<RatedFinding>{};
  const auto next = ReadRoutingFile(aOptions, path, findings);
  if (next) {
    AddRated(
      *next, path, routingcheck::CheckDocument(next->mDocument), findings);
  }
  if (aOptions.mAgainstFile.empty()) {
    return findings;
  }
  const auto inForce =
    ReadRoutingFile(aOptions, aOptions.mAgainstFile, findings);
  if (next && inForce) {
    AddRated(
      *next,
      path,
      routingcheck::CompareDocuments(inForce->mDocument, next->mDocument),
      findings);
  }
  return findings;
}

auto
FormatRated(const RatedFinding& aFinding) -> std::string
{
  auto finding = aFinding.mFinding;
  finding.mProblem = std::string(routingcheck::ToText(aFinding.mSeverity)) +
                     ": " + finding.mProblem;
  return FormatFinding(finding);
}

auto
RatedToJson(const std::vector<RatedFinding>& aFindings) -> boost::json::value
{
  auto plain = Findings{};
  for (const auto& it : aFindings) {
    AddFinding(plain, it.mFinding);
  }
  auto items = documents::FindingsToJson(plain);
  for (auto i = std::size_t{ 0 }; i < aFindings.size(); ++i) {
    items.at(i).as_object()["severity"] =
      routingcheck::ToText(aFindings[i].mSeverity);
  }
  return items;
}

auto
RunCheckRouting(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto findings = CheckRouting(aOptions);
  if (aOptions.mIsJson) {
    *aOutput.mOut << boost::json::object{ { "findings",
                                            RatedToJson(findings) } }
                  << "\n";
  } else if (findings.empty()) {
    *aOutput.mOut << aOptions.mWords.at(1) << ": no findings\n";
  } else {
    for (const auto& it : findings) {
      *aOutput.mErr << FormatRated(it) << "\n";
    }
  }
  const auto hasErrors =
    std::any_of(findings.begin(), findings.end(), [](const auto& aItem) {
      return aItem.mSeverity == FindingSeverity::Error;
    });
  return hasErrors          ? ExitCode::Errors
         : findings.empty() ? ExitCode::Ok
                            : ExitCode::Warnings;
}

} // namespace

auto
RunCheck(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto& path = aOptions.mWords.at(1);
  const auto* format = aOptions.mRoutingFormat;
  const auto readsRouting = format != nullptr && format->mRead != nullptr;
  if (!aOptions.mAgainstFile.empty() && !readsRouting) {
    *aOutput.mErr << "--against: no format of routing documents is available\n";
    return ExitCode::Usage;
  }
  if (!aOptions.mAgainstFile.empty()) {
    return RunCheckRouting(aOptions, aOutput);
  }
  const auto text =
    CollectOutcome<std::string>([&] { return documents::ReadFile(path); });
  if (readsRouting && text.mValue && format->mIsRouting(*text.mValue)) {
    return RunCheckRouting(aOptions, aOutput);
  }
  const auto findings =
    text.mValue ? CheckText(*text.mValue, path) : text.mFindings;
  if (IsEmpty(findings) && !aOptions.mIsJson) {
    *aOutput.mOut << path << ": no findings\n";
    return ExitCode::Ok;
  }
  return ReportFindings(aOptions, findings, aOutput);
}

auto
RunKeyHash(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto& path = aOptions.mWords.at(1);
  auto key = std::string{};
  if (path == kStandardInput) {
    std::cin >> key;
  } else {
    std::ifstream(path) >> key;
  }
  if (key.empty()) {
    *aOutput.mErr << path << ": no key; expected a line with a key\n";
    return ExitCode::Invalid;
  }
  *aOutput.mOut << Sha256Hex(key) << "\n";
  return ExitCode::Ok;
}

} // namespace cuminslip::client
