#include "client/internal/answers.h"
#include "client/internal/commands.h"

#include "base/digest.h"
#include "documents/readfile.h"
#include "documents/section.h"
#include "settings/settings.h"
#include "templates/templates.h"

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

} // namespace

auto
RunCheck(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto& path = aOptions.mWords.at(1);
  const auto text =
    CollectOutcome<std::string>([&] { return documents::ReadFile(path); });
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
