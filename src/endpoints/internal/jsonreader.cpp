#include "endpoints/internal/jsonreader.h"

#include "endpoints/protocol.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminslip::endpoints {

namespace {

constexpr std::size_t kMaxDepth = 8;
constexpr double kMaxNumber = 1e12;

auto
PlaceOf(std::string_view aBody, std::size_t aOffset) -> Place
{
  const auto before = aBody.substr(0, std::min(aOffset, aBody.size()));
  const auto lines = std::count(before.begin(), before.end(), '\n');
  const auto lastBreak = before.rfind('\n');
  const auto column = lastBreak == std::string_view::npos
                        ? before.size()
                        : before.size() - lastBreak - 1;
  return { "body", static_cast<int>(lines) + 1, static_cast<int>(column) + 1 };
}

auto
PathOf(const JsonReader& aReader, std::string_view aKey) -> std::string
{
  auto path = aReader.mPath;
  if (!path.empty()) {
    path += ".";
  }
  path += aKey;
  return path;
}

auto
IsIdByte(char aByte) -> bool
{
  return aByte > ' ' && aByte < 127 && aByte != '/' && aByte != '"' &&
         aByte != '\\' && aByte != '?' && aByte != '#' && aByte != '%';
}

} // namespace

auto
ParseObject(std::string_view aBody, std::size_t aMaxBytes, Findings& aFindings)
  -> std::optional<json::object>
{
  if (aBody.size() > aMaxBytes) {
    AddFinding(aFindings,
               { {},
                 "",
                 "body has " + std::to_string(aBody.size()) + " bytes",
                 "at most " + std::to_string(aMaxBytes) });
    return std::nullopt;
  }
  auto options = json::parse_options{};
  options.max_depth = kMaxDepth;
  auto parser = json::stream_parser({}, options);
  auto ec = boost::system::error_code{};
  const auto n = parser.write(aBody.data(), aBody.size(), ec);
  if (!ec) {
    parser.finish(ec);
  }
  if (ec) {
    AddFinding(aFindings,
               { PlaceOf(aBody, n), "", "not JSON: " + ec.message(), "JSON" });
    return std::nullopt;
  }
  auto value = parser.release();
  if (!value.is_object()) {
    AddFinding(aFindings, { {}, "", "not an object", "a JSON object" });
    return std::nullopt;
  }
  return std::move(value.get_object());
}

auto
AddMemberFinding(const JsonReader& aReader,
                 std::string_view aKey,
                 std::string aProblem,
                 std::string aExpected) -> void
{
  if (aReader.mFindings->mItems.size() >= kMaxFindings) {
    return;
  }
  AddFinding(
    *aReader.mFindings,
    { {}, PathOf(aReader, aKey), std::move(aProblem), std::move(aExpected) });
}

auto
FindMember(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> const json::value*
{
  const auto* value = aReader.mObject->if_contains(aKey);
  if (value == nullptr && aPresence == Presence::Required) {
    AddMemberFinding(aReader, aKey, "missing", "a value");
  }
  return value;
}

auto
ReadText(const JsonReader& aReader,
         std::string_view aKey,
         Presence aPresence,
         std::size_t aMaxBytes) -> std::string
{
  const auto* value = FindMember(aReader, aKey, aPresence);
  if (value == nullptr) {
    return {};
  }
  const auto expected =
    "a text of at most " + std::to_string(aMaxBytes) +
    (aPresence == Presence::Required ? " bytes that is not empty" : " bytes");
  if (!value->is_string()) {
    AddMemberFinding(aReader, aKey, "not a text", expected);
    return {};
  }
  const auto& text = value->get_string();
  if (text.size() > aMaxBytes) {
    AddMemberFinding(aReader, aKey, "too long", expected);
    return {};
  }
  if (text.empty() && aPresence == Presence::Required) {
    AddMemberFinding(aReader, aKey, "empty", expected);
  }
  return { text.data(), text.size() };
}

auto
ReadIdText(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> std::string
{
  auto text = ReadText(aReader, aKey, aPresence, kMaxIdBytes);
  if (!std::all_of(text.begin(), text.end(), IsIdByte)) {
    AddMemberFinding(aReader,
                     aKey,
                     "not an identifier",
                     "printable ASCII without space, /, \\, \", ?, # and %");
    return {};
  }
  return text;
}

auto
ReadUnsigned(const JsonReader& aReader,
             std::string_view aKey,
             Presence aPresence) -> std::uint64_t
{
  const auto* value = FindMember(aReader, aKey, aPresence);
  if (value == nullptr) {
    return 0;
  }
  if (value->is_uint64()) {
    return value->get_uint64();
  }
  if (!value->is_int64() || value->get_int64() < 0) {
    AddMemberFinding(aReader, aKey, "not a count", "a whole number from 0 on");
    return 0;
  }
  return static_cast<std::uint64_t>(value->get_int64());
}

auto
ReadInteger(const JsonReader& aReader,
            std::string_view aKey,
            Presence aPresence,
            std::int64_t aLowest,
            std::int64_t aHighest) -> std::int64_t
{
  const auto* value = FindMember(aReader, aKey, aPresence);
  if (value == nullptr) {
    return aLowest;
  }
  const auto isInRange = value->is_int64() && value->get_int64() >= aLowest &&
                         value->get_int64() <= aHighest;
  if (!isInRange) {
    AddMemberFinding(aReader,
                     aKey,
                     value->is_number() ? "out of range" : "not a whole number",
                     "a whole number from " + std::to_string(aLowest) + " to " +
                       std::to_string(aHighest));
    return aLowest;
  }
  return value->get_int64();
}

auto
ReadNumber(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> double
{
  const auto* value = FindMember(aReader, aKey, aPresence);
  if (value == nullptr) {
    return 0;
  }
  const auto number = value->is_number() ? value->to_number<double>() : -1.0;
  if (!std::isfinite(number) || number < 0 || number > kMaxNumber) {
    AddMemberFinding(
      aReader, aKey, "not a valid number", "a number from 0 to 1e12");
    return 0;
  }
  return number;
}

auto
ReadFlag(const JsonReader& aReader, std::string_view aKey)
  -> std::optional<bool>
{
  const auto* value = FindMember(aReader, aKey, Presence::Optional);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_bool()) {
    AddMemberFinding(aReader, aKey, "not a flag", "true or false");
    return std::nullopt;
  }
  return value->get_bool();
}

auto
ReadObject(const JsonReader& aReader, std::string_view aKey, Presence aPresence)
  -> std::optional<JsonReader>
{
  const auto* value = FindMember(aReader, aKey, aPresence);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_object()) {
    AddMemberFinding(aReader, aKey, "not an object", "an object");
    return std::nullopt;
  }
  return JsonReader{ &value->get_object(),
                     PathOf(aReader, aKey),
                     aReader.mFindings };
}

namespace {

auto
FindArray(const JsonReader& aReader,
          std::string_view aKey,
          Presence aPresence,
          std::size_t aMaxItems) -> const json::array*
{
  const auto* value = FindMember(aReader, aKey, aPresence);
  if (value == nullptr) {
    return nullptr;
  }
  const auto expected =
    "an array of at most " + std::to_string(aMaxItems) + " items";
  if (!value->is_array()) {
    AddMemberFinding(aReader, aKey, "not an array", expected);
    return nullptr;
  }
  if (value->get_array().size() > aMaxItems) {
    AddMemberFinding(aReader, aKey, "too many items", expected);
    return nullptr;
  }
  return &value->get_array();
}

auto
ItemKey(std::string_view aKey, std::size_t aIndex) -> std::string
{
  return std::string(aKey) + "[" + std::to_string(aIndex) + "]";
}

} // namespace

auto
ReadObjects(const JsonReader& aReader,
            std::string_view aKey,
            Presence aPresence,
            std::size_t aMaxItems) -> std::vector<JsonReader>
{
  auto readers = std::vector<JsonReader>{};
  const auto* array = FindArray(aReader, aKey, aPresence, aMaxItems);
  if (array == nullptr) {
    return readers;
  }
  readers.reserve(array->size());
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto& item = (*array)[i];
    if (!item.is_object()) {
      AddMemberFinding(aReader, ItemKey(aKey, i), "not an object", "an object");
      continue;
    }
    readers.push_back({ &item.get_object(),
                        PathOf(aReader, ItemKey(aKey, i)),
                        aReader.mFindings });
  }
  return readers;
}

auto
ReadTexts(const JsonReader& aReader,
          std::string_view aKey,
          std::size_t aMaxItems) -> std::vector<std::string>
{
  auto texts = std::vector<std::string>{};
  const auto* array = FindArray(aReader, aKey, Presence::Optional, aMaxItems);
  if (array == nullptr) {
    return texts;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto& item = (*array)[i];
    if (!item.is_string() || item.get_string().size() > kMaxIdBytes) {
      AddMemberFinding(aReader,
                       ItemKey(aKey, i),
                       "not a short text",
                       "a text of at most " + std::to_string(kMaxIdBytes) +
                         " bytes");
      continue;
    }
    texts.emplace_back(item.get_string().data(), item.get_string().size());
  }
  return texts;
}

} // namespace cuminslip::endpoints
