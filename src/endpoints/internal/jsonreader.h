#pragma once

#include "base/findings.h"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Reads members of JSON objects and collects findings on invalid ones.
namespace cuminslip::endpoints {

namespace json = boost::json;

/// Reader of one object. mPath is the dotted path of the object.
struct JsonReader
{
  const json::object* mObject = nullptr;
  std::string mPath;
  Findings* mFindings = nullptr;
};

enum class Presence : std::uint8_t
{
  Required,
  Optional
};

/// A name in the protocol and its value.
template<class T>
using NamedValue = std::pair<std::string_view, T>;

/// Parses aBody, which must be an object of at most aMaxBytes.
auto
ParseObject(std::string_view aBody, std::size_t aMaxBytes, Findings& aFindings)
  -> std::optional<json::object>;

/// Adds a finding on member aKey, unless there are too many already.
auto
AddMemberFinding(const JsonReader& aReader,
                 std::string_view aKey,
                 std::string aProblem,
                 std::string aExpected) -> void;

/// The member's value, or null when it is absent; a required one that is
/// absent is a finding.
auto
FindMember(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> const json::value*;

/// A text of at most aMaxBytes; a required one may not be empty.
auto
ReadText(const JsonReader& aReader,
         std::string_view aKey,
         Presence aPresence,
         std::size_t aMaxBytes) -> std::string;

/// An identifier of at most kMaxIdBytes: printable ASCII without spaces and
/// without the characters / \ " ? # and %.
auto
ReadIdText(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> std::string;

auto
ReadUnsigned(const JsonReader& aReader,
             std::string_view aKey,
             Presence aPresence) -> std::uint64_t;

/// A whole number from aLowest to aHighest; aLowest if it is absent or invalid.
auto
ReadInteger(const JsonReader& aReader,
            std::string_view aKey,
            Presence aPresence,
            std::int64_t aLowest,
            std::int64_t aHighest) -> std::int64_t;

/// A number from 0 to 1e12; 0 if it is absent or invalid.
auto
ReadNumber(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> double;

auto
ReadFlag(const JsonReader& aReader, std::string_view aKey)
  -> std::optional<bool>;

/// A reader of an object member; no value when it is absent or wrong.
auto
ReadObject(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> std::optional<JsonReader>;

/// Readers of the objects of an array member of at most aMaxItems.
auto
ReadObjects(const JsonReader& aReader,
            std::string_view aKey,
            Presence aPresence,
            std::size_t aMaxItems) -> std::vector<JsonReader>;

/// The strings of an optional array member of at most aMaxItems; each has at
/// most kMaxIdBytes.
auto
ReadTexts(const JsonReader& aReader,
          std::string_view aKey,
          std::size_t aMaxItems) -> std::vector<std::string>;

/// One of the names in aNames; absent gives aDefault if it is optional.
template<class T, std::size_t n>
auto
ReadName(const JsonReader& aReader,
         std::string_view aKey,
         Presence aPresence,
         const NamedValue<T> (&aNames)[n],
         T aDefault) -> T
{
  const auto* value = FindMember(aReader, aKey, aPresence);
  if (value == nullptr) {
    return aDefault;
  }
  auto expected = std::string{};
  for (const auto& [name, meaning] : aNames) {
    if (value->is_string() && value->get_string() == name) {
      return meaning;
    }
    expected += (expected.empty() ? "" : " or ") + std::string(name);
  }
  AddMemberFinding(aReader, aKey, "unknown value", expected);
  return aDefault;
}

} // namespace cuminslip::endpoints
