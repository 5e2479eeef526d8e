#include "client/internal/formatjson.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <vector>

namespace cuminslip::client {

namespace {

namespace json = boost::json;

using Row = std::vector<std::string>;

constexpr auto kNumberDigits = 4;

auto
FormatNumber(double aNumber) -> std::string
{
  auto text = std::ostringstream{};
  text << std::setprecision(kNumberDigits) << aNumber;
  return text.str();
}

auto
FormatCell(const json::value& aValue) -> std::string;

auto
IsAllNumbers(const json::object& aObject) -> bool
{
  return std::all_of(aObject.begin(), aObject.end(), [](const auto& aMember) {
    return aMember.value().is_number();
  });
}

/// Counts as "a=1 b=2", anything else as "x/y".
auto
FormatObject(const json::object& aObject) -> std::string
{
  const auto hasNames = IsAllNumbers(aObject);
  auto joined = std::string{};
  for (const auto& member : aObject) {
    if (!joined.empty()) {
      joined += hasNames ? " " : "/";
    }
    if (hasNames) {
      joined += std::string(member.key()) + "=";
    }
    joined += FormatCell(member.value());
  }
  return joined;
}

auto
FormatCell(const json::value& aValue) -> std::string
{
  if (const auto* text = aValue.if_string()) {
    return { text->c_str(), text->size() };
  }
  if (const auto* items = aValue.if_array()) {
    auto joined = std::string{};
    for (const auto& item : *items) {
      joined += (joined.empty() ? "" : ",") + FormatCell(item);
    }
    return joined;
  }
  if (const auto* object = aValue.if_object()) {
    return FormatObject(*object);
  }
  if (const auto* number = aValue.if_double()) {
    return FormatNumber(*number);
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

/// The value at a path of keys, as "load.running_streams"; null without one.
auto
FindPath(const json::value& aValue, const std::string& aPath)
  -> const json::value*
{
  const auto* object = aValue.if_object();
  if (object == nullptr) {
    return nullptr;
  }
  const auto dot = aPath.find('.');
  const auto* member = object->if_contains(aPath.substr(0, dot));
  if (member == nullptr || dot == std::string::npos) {
    return member;
  }
  return FindPath(*member, aPath.substr(dot + 1));
}

auto
ListRows(const json::array& aItems, const Row& aColumns) -> std::vector<Row>
{
  auto titles = Row{};
  for (const auto& column : aColumns) {
    titles.push_back(column.substr(column.rfind('.') + 1));
  }
  auto rows = std::vector<Row>{ titles };
  for (const auto& item : aItems) {
    auto row = Row{};
    for (const auto& column : aColumns) {
      const auto* cell = FindPath(item, column);
      const auto text = cell == nullptr ? std::string{} : FormatCell(*cell);
      row.push_back(text.empty() ? "-" : text);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

auto
FormatTable(const json::array& aItems, const Row& aColumns) -> std::string
{
  const auto columns = aColumns.empty() ? ListColumns(aItems) : aColumns;
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
FormatForPeople(const json::value& aValue,
                const std::vector<std::string>& aColumns) -> std::string
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
      tables +=
        "\n" + key + ":\n" + FormatTable(member.value().get_array(), aColumns);
      continue;
    }
    const auto cell = FormatCell(member.value());
    values += key + ": " + (cell.empty() ? "none" : cell) + "\n";
  }
  return values + tables;
}

} // namespace cuminslip::client
