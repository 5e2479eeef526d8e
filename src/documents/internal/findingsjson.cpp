#include "documents/findingsjson.h"

#include <boost/json.hpp>

namespace cuminslip::documents {

namespace {

namespace json = boost::json;

auto
TextOf(const json::object& aObject, std::string_view aKey) -> std::string
{
  const auto* value = aObject.if_contains(aKey);
  const auto* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? std::string{} : std::string(text->c_str());
}

auto
NumberOf(const json::object& aObject, std::string_view aKey) -> int
{
  const auto* value = aObject.if_contains(aKey);
  const auto* number = value == nullptr ? nullptr : value->if_int64();
  return number == nullptr ? 0 : static_cast<int>(*number);
}

} // namespace

auto
FindingsToJson(const Findings& aFindings) -> json::value
{
  auto items = json::array{};
  for (const auto& finding : aFindings.mItems) {
    items.push_back(json::object{ { "source", finding.mPlace.mSource },
                                  { "line", finding.mPlace.mLine },
                                  { "column", finding.mPlace.mColumn },
                                  { "key", finding.mKey },
                                  { "problem", finding.mProblem },
                                  { "expected", finding.mExpected } });
  }
  return items;
}

auto
FindingsFromJson(const json::value& aValue) -> Findings
{
  auto findings = Findings{};
  const auto* items = aValue.if_array();
  if (items == nullptr) {
    return findings;
  }
  for (const auto& item : *items) {
    const auto* object = item.if_object();
    if (object == nullptr) {
      continue;
    }
    AddFinding(findings,
               { { TextOf(*object, "source"),
                   NumberOf(*object, "line"),
                   NumberOf(*object, "column") },
                 TextOf(*object, "key"),
                 TextOf(*object, "problem"),
                 TextOf(*object, "expected") });
  }
  return findings;
}

} // namespace cuminslip::documents
