#include "client/internal/formatjson.h"

#include <boost/json.hpp>

#include <algorithm>
#include <vector>

namespace cuminslip::client {

namespace {

namespace json = boost::json;

using Row = std::vector<std::string>;

auto
FormatCell(const json::value& aValue) -> std::string
{
  if (const auto* text = aValue.if_string()) {
    return { text->c_str(), text->size() };
  }
  auto joined = std::string{};
  const auto append = [&](const json::value& aPart, const char* aSeparator) {
    joined += (joined.empty() ? "" : aSeparator) + FormatCell(aPart);
  };
  if (const auto* items = aValue.if_array()) {
    for (const auto& item : *items) {
      append(item, ",");
    }
    return joined;
  }
  if (const auto* object = aValue.if_object()) {
    for (const auto& member : *object) {
      append(member.value(), "/");
    }
    return joined;
  }
  return aValue.is_null() ? "-" : json::serialize(aValue);
}

auto
IsTable(const json::value& aValue) -> bool
{
  const auto* items = aValue.if_array();
  return items != nullptr && !items->empty() &&
         std::all_of(items->begin(), items->end(), [](const auto& aItem) {
           return aItem.is_object();
         });
}

auto
ListColumns(const json::array& aItems) -> Row
{
  auto columns = Row{};
  for (const auto& item : aItems) {
    for (const auto& member : item.get_object()) {
      const auto key = std::string(member.key());
      if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
        columns.push_back(key);
      }
    }
  }
  return columns;
}

auto
ListRows(const json::array& aItems, const Row& aColumns) -> std::vector<Row>
{
  auto rows = std::vector<Row>{ aColumns };
  for (const auto& item : aItems) {
    auto row = Row{};
    for (const auto& column : aColumns) {
      const auto* cell = item.get_object().if_contains(column);
      row.push_back(cell == nullptr ? "-" : FormatCell(*cell));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

auto
FormatTable(const json::array& aItems) -> std::string
{
  const auto columns = ListColumns(aItems);
  const auto rows = ListRows(aItems, columns);
  auto widths = std::vector<std::size_t>(columns.size(), 0);
  for (const auto& row : rows) {
    for (auto i = std::size_t{ 0 }; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  auto text = std::string{};
  for (const auto& row : rows) {
    auto line = std::string{};
    for (auto i = std::size_t{ 0 }; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace

auto
FormatForPeople(const json::value& aValue) -> std::string
{
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    return FormatCell(aValue) + "\n";
  }
  auto values = std::string{};
  auto tables = std::string{};
  for (const auto& member : *object) {
    const auto key = std::string(member.key());
    if (IsTable(member.value())) {
      tables += "\n" + key + ":\n" + FormatTable(member.value().get_array());
      continue;
    }
    const auto cell = FormatCell(member.value());
    values += key + ": " + (cell.empty() ? "none" : cell) + "\n";
  }
  return values + tables;
}

} // namespace cuminslip::client
