#include "fakes/engine/jsonread.h"

namespace cuminslip::fakes {

namespace json = boost::json;

auto
ParseObject(std::string_view aText) -> std::optional<json::object>
{
  auto ec = json::error_code{};
  auto value = json::parse(json::string_view(aText.data(), aText.size()), ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

auto
TextOf(const json::object& aObject, std::string_view aKey) -> std::string
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  const auto& text = value->as_string();
  return { text.data(), text.size() };
}

auto
NumberOf(const json::object& aObject, std::string_view aKey, double aDefault)
  -> double
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_number()) {
    return aDefault;
  }
  return value->to_number<double>();
}

auto
WholeOf(const json::object& aObject,
        std::string_view aKey,
        std::int64_t aDefault) -> std::int64_t
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (value->is_int64()) {
    return value->as_int64();
  }
  return static_cast<std::int64_t>(
    NumberOf(aObject, aKey, static_cast<double>(aDefault)));
}

auto
TruthOf(const json::object& aObject, std::string_view aKey, bool aDefault)
  -> bool
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_bool() ? value->as_bool() : aDefault;
}

auto
MillisOf(const json::object& aObject, std::string_view aKey, Millis aDefault)
  -> Millis
{
  return Millis(WholeOf(aObject, aKey, aDefault.count()));
}

auto
TextsOf(const json::object& aObject, std::string_view aKey)
  -> std::vector<std::string>
{
  auto texts = std::vector<std::string>{};
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_array()) {
    return texts;
  }
  for (const auto& item : value->as_array()) {
    if (item.is_string()) {
      texts.emplace_back(item.as_string().data(), item.as_string().size());
    }
  }
  return texts;
}

auto
ObjectsOf(const json::object& aObject, std::string_view aKey)
  -> std::vector<json::object>
{
  auto objects = std::vector<json::object>{};
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_array()) {
    return objects;
  }
  for (const auto& item : value->as_array()) {
    if (item.is_object()) {
      objects.push_back(item.as_object());
    }
  }
  return objects;
}

} // namespace cuminslip::fakes
