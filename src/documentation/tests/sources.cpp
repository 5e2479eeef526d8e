#include "documentation/tests/sources.h"

#include <algorithm>
#include <fstream>
#include <regex>
#include <sstream>

namespace cuminslip::documentation {

namespace {

const auto kRoot = std::filesystem::path(CUMINSLIP_SOURCE_DIR);

auto
IsSource(const std::filesystem::path& aPath) -> bool
{
  const auto text = aPath.string();
  const auto extension = aPath.extension();
  return (extension == ".h" || extension == ".cpp") &&
         text.find("/tests/") == std::string::npos &&
         text.find("/generated/") == std::string::npos;
}

auto
Trim(const std::string& aText) -> std::string
{
  const auto begin = aText.find_first_not_of(" `");
  if (begin == std::string::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(" `") - begin + 1);
}

auto
SplitRow(const std::string& aLine) -> std::vector<std::string>
{
  auto cells = std::vector<std::string>{};
  auto line = std::istringstream(aLine.substr(1));
  for (auto cell = std::string{}; std::getline(line, cell, '|');) {
    cells.push_back(Trim(cell));
  }
  return cells;
}

} // namespace

auto
ReadPage(const std::string& aPath) -> std::string
{
  auto text = std::ostringstream{};
  text << std::ifstream(kRoot / aPath).rdbuf();
  return text.str();
}

auto
ListSources() -> std::vector<std::filesystem::path>
{
  auto files = std::vector<std::filesystem::path>{};
  for (const auto* folder : { "src", "fakes", "platform" }) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(kRoot / folder)) {
      if (IsSource(entry.path())) {
        files.push_back(std::filesystem::relative(entry.path(), kRoot));
      }
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

auto
TableRows(const std::string& aPage, const std::string& aFirstCell)
  -> std::vector<std::vector<std::string>>
{
  const auto first = std::regex(aFirstCell);
  auto rows = std::vector<std::vector<std::string>>{};
  auto page = std::istringstream(aPage);
  for (auto line = std::string{}; std::getline(page, line);) {
    if (!line.starts_with("|")) {
      continue;
    }
    const auto cells = SplitRow(line);
    if (std::regex_match(cells.at(0), first)) {
      rows.push_back(cells);
    }
  }
  return rows;
}

auto
FindAll(const std::string& aText, const std::string& aPattern)
  -> std::vector<std::string>
{
  const auto pattern = std::regex(aPattern);
  auto matches = std::vector<std::string>{};
  auto it = std::sregex_iterator(aText.begin(), aText.end(), pattern);
  for (; it != std::sregex_iterator{}; ++it) {
    matches.push_back((*it)[1]);
  }
  return matches;
}

} // namespace cuminslip::documentation
