#pragma once

#include <filesystem>
#include <string>
#include <vector>

/// Files of the repository, for tests that compare pages with the code.
namespace cuminslip::documentation {

/// Whole content of a file; aPath is relative to the repository.
auto
ReadPage(const std::string& aPath) -> std::string;

/// The hand-written C++ files under src, fakes and platform, without tests.
auto
ListSources() -> std::vector<std::filesystem::path>;

/// Cells of each row of Markdown tables whose first cell matches aFirstCell.
auto
TableRows(const std::string& aPage, const std::string& aFirstCell)
  -> std::vector<std::vector<std::string>>;

/// All matches of the first group of aPattern in aText.
auto
FindAll(const std::string& aText, const std::string& aPattern)
  -> std::vector<std::string>;

} // namespace cuminslip::documentation
