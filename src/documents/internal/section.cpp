#include "documents/section.h"

#include "documents/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace cuminslip::documents {

namespace {

auto
JoinPath(const std::string& aPath, const std::string& aKey) -> std::string
{
  return aPath.empty() ? aKey : aPath + "." + aKey;
}

/// The value of aKey; a node for which IsDefined is false when there is none.
auto
FindValue(const YAML::Node& aNode, const std::string& aKey) -> YAML::Node
{
  if (!aNode.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  for (const auto& entry : aNode) {
    if (entry.first.IsScalar() && entry.first.Scalar() == aKey) {
      return entry.second;
    }
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

/// The value of aKey, the key itself when its value is empty, or the section
/// when it has no such key.
auto
FindPlaceNode(const Section& aSection, const std::string& aKey) -> YAML::Node
{
  if (!aSection.mNode.IsMap()) {
    return aSection.mNode;
  }
  for (const auto& entry : aSection.mNode) {
    if (entry.first.IsScalar() && entry.first.Scalar() == aKey) {
      // NOTE: yaml-cpp places an empty value at the token after it.
      return entry.second.IsNull() ? entry.first : entry.second;
    }
  }
  return aSection.mNode;
}

auto
TakeItem(Section& aSection, const std::string& aKey) -> std::optional<Item>
{
  aSection.mKnownKeys.push_back(aKey);
  const auto node = FindValue(aSection.mNode, aKey);
  if (!node.IsDefined() || node.IsNull()) {
    return std::nullopt;
  }
  return Item{ node, JoinPath(aSection.mPath, aKey) };
}

/// The scalar at aKey, or no value when it is absent or, with a finding, not a
/// scalar.
auto
TakeScalar(Section& aSection,
           const std::string& aKey,
           const std::string& aExpected) -> std::optional<Item>
{
  auto item = TakeItem(aSection, aKey);
  if (item && !item->mNode.IsScalar()) {
    AddProblem(*aSection.mDocument, *item, "not a single value", aExpected);
    return std::nullopt;
  }
  return item;
}

auto
Quote(const std::string& aText) -> std::string
{
  return "\"" + aText + "\"";
}

auto
FormatNumber(double aNumber) -> std::string
{
  auto buf = std::array<char, 32>{};
  const auto [end, ec] =
    std::to_chars(buf.data(), buf.data() + buf.size(), aNumber);
  return { buf.data(), end };
}

auto
Describe(const Bounds& aBounds) -> std::string
{
  return "from " + FormatNumber(aBounds.mLowest) + " to " +
         FormatNumber(aBounds.mHighest);
}

template<class T>
auto
ParseWhole(const std::string& aText) -> std::optional<T>
{
  auto value = T{};
  const auto* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return value;
}

/// Reads the scalar at aKey by aParse; aIsAllowed tells whether it may stand.
template<class T, class Parse, class IsAllowed>
auto
ReadParsed(Section& aSection,
           const std::string& aKey,
           T aFallback,
           const std::string& aExpected,
           const Parse& aParse,
           const IsAllowed& aIsAllowed) -> T
{
  const auto item = TakeScalar(aSection, aKey, aExpected);
  if (!item) {
    return aFallback;
  }
  const auto& text = item->mNode.Scalar();
  const auto value = aParse(text);
  if (!value || !aIsAllowed(*value)) {
    AddProblem(*aSection.mDocument, *item, "is " + Quote(text), aExpected);
    return aFallback;
  }
  return *value;
}

auto
AddRepeatedKeys(Document& aDocument, const Item& aItem) -> void
{
  auto seen = std::vector<std::string>{};
  for (const auto& entry : aItem.mNode) {
    const auto key =
      entry.first.IsScalar() ? entry.first.Scalar() : std::string{};
    if (std::find(seen.begin(), seen.end(), key) != seen.end()) {
      AddProblem(aDocument,
                 { entry.first, JoinPath(aItem.mPath, key) },
                 "stands twice",
                 "each key once");
    }
    seen.push_back(key);
  }
}

} // namespace

auto
ReadDocument(const std::string& aText, const std::string& aSource) -> Document
{
  auto document = Document{ aSource, YAML::Node(YAML::NodeType::Null), {} };
  try {
    document.mRoot = YAML::Load(aText);
  } catch (const YAML::Exception& error) {
    AddFinding(document.mFindings,
               { { aSource, error.mark.line + 1, error.mark.column + 1 },
                 "",
                 "not YAML: " + error.msg,
                 "a YAML or JSON document" });
  }
  return document;
}

auto
TakeFindings(Document& aDocument) -> Findings
{
  auto findings = std::exchange(aDocument.mFindings, {});
  auto& items = findings.mItems;
  std::sort(items.begin(), items.end());
  items.erase(std::unique(items.begin(), items.end()), items.end());
  return findings;
}

auto
PlaceOf(const Document& aDocument, const YAML::Node& aNode) -> Place
{
  const auto mark = aNode.Mark();
  return { aDocument.mSource, mark.line + 1, mark.column + 1 };
}

auto
AddProblem(Document& aDocument,
           const Item& aItem,
           std::string aProblem,
           std::string aExpected) -> void
{
  AddFinding(aDocument.mFindings,
             { PlaceOf(aDocument, aItem.mNode),
               aItem.mPath,
               std::move(aProblem),
               std::move(aExpected) });
}

auto
AddProblem(Section& aSection,
           const std::string& aKey,
           std::string aProblem,
           std::string aExpected) -> void
{
  AddProblem(*aSection.mDocument,
             { FindPlaceNode(aSection, aKey), JoinPath(aSection.mPath, aKey) },
             std::move(aProblem),
             std::move(aExpected));
}

auto
OpenSection(Document& aDocument, const Item& aItem) -> Section
{
  if (aItem.mNode.IsMap()) {
    AddRepeatedKeys(aDocument, aItem);
    return { &aDocument, aItem.mNode, aItem.mPath, {} };
  }
  AddProblem(aDocument, aItem, "not a mapping", "keys with values");
  return { &aDocument, aItem.mNode, aItem.mPath, {} };
}

auto
OpenRoot(Document& aDocument) -> Section
{
  return OpenSection(aDocument, Item{ aDocument.mRoot, "" });
}

auto
OpenSection(Section& aSection, const std::string& aKey) -> Section
{
  const auto item = TakeItem(aSection, aKey);
  if (!item) {
    return { aSection.mDocument,
             YAML::Node(YAML::NodeType::Null),
             JoinPath(aSection.mPath, aKey),
             {} };
  }
  return OpenSection(*aSection.mDocument, *item);
}

auto
CloseSection(Section& aSection) -> void
{
  if (!aSection.mNode.IsMap()) {
    return;
  }
  auto known = std::string{};
  for (const auto& key : aSection.mKnownKeys) {
    known += (known.empty() ? "" : ", ") + key;
  }
  for (const auto& entry : aSection.mNode) {
    const auto key =
      entry.first.IsScalar() ? entry.first.Scalar() : std::string{};
    const auto& keys = aSection.mKnownKeys;
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
      AddProblem(*aSection.mDocument,
                 { entry.first, JoinPath(aSection.mPath, key) },
                 "unknown key",
                 "one of " + known);
    }
  }
}

auto
HasKey(Section& aSection, const std::string& aKey) -> bool
{
  return TakeItem(aSection, aKey).has_value();
}

auto
ReadItems(Section& aSection, const std::string& aKey) -> std::vector<Item>
{
  const auto item = TakeItem(aSection, aKey);
  if (!item) {
    return {};
  }
  if (!item->mNode.IsSequence()) {
    AddProblem(*aSection.mDocument, *item, "not a list", "a list");
    return {};
  }
  auto items = std::vector<Item>{};
  for (const auto& node : item->mNode) {
    items.push_back(
      { node, item->mPath + "[" + std::to_string(items.size()) + "]" });
  }
  return items;
}

auto
RequireText(Section& aSection, const std::string& aKey) -> std::string
{
  const auto text = ReadText(aSection, aKey);
  const auto value = FindValue(aSection.mNode, aKey);
  if (!text && (!value.IsDefined() || value.IsNull())) {
    AddProblem(aSection, aKey, "missing", "a text");
  }
  return text.value_or("");
}

auto
ReadText(Section& aSection, const std::string& aKey)
  -> std::optional<std::string>
{
  const auto item = TakeScalar(aSection, aKey, "a text");
  if (!item) {
    return std::nullopt;
  }
  if (item->mNode.Scalar().empty()) {
    AddProblem(*aSection.mDocument, *item, "empty", "a text");
    return std::nullopt;
  }
  return item->mNode.Scalar();
}

auto
ReadTexts(Section& aSection, const std::string& aKey)
  -> std::vector<std::string>
{
  auto texts = std::vector<std::string>{};
  for (const auto& item : ReadItems(aSection, aKey)) {
    const auto isText = item.mNode.IsScalar() && !item.mNode.Scalar().empty();
    if (!isText) {
      AddProblem(*aSection.mDocument, item, "not a text", "a text");
      continue;
    }
    const auto& text = item.mNode.Scalar();
    if (std::find(texts.begin(), texts.end(), text) != texts.end()) {
      AddProblem(
        *aSection.mDocument, item, Quote(text) + " stands twice", "each once");
      continue;
    }
    texts.push_back(text);
  }
  return texts;
}

auto
ReadBool(Section& aSection, const std::string& aKey, bool aFallback) -> bool
{
  return ReadParsed(
    aSection,
    aKey,
    aFallback,
    "true or false",
    [](const std::string& aText) -> std::optional<bool> {
      if (aText == "true") {
        return true;
      }
      return aText == "false" ? std::optional(false) : std::nullopt;
    },
    [](bool) { return true; });
}

auto
ReadInteger(Section& aSection,
            const std::string& aKey,
            std::int64_t aFallback,
            const Bounds& aBounds) -> std::int64_t
{
  return ReadParsed(aSection,
                    aKey,
                    aFallback,
                    "a whole number " + Describe(aBounds),
                    ParseWhole<std::int64_t>,
                    [&](std::int64_t aValue) {
                      const auto value = static_cast<double>(aValue);
                      return value >= aBounds.mLowest &&
                             value <= aBounds.mHighest;
                    });
}

auto
ReadNumber(Section& aSection,
           const std::string& aKey,
           double aFallback,
           const Bounds& aBounds) -> double
{
  return ReadParsed(aSection,
                    aKey,
                    aFallback,
                    "a number " + Describe(aBounds),
                    ParseWhole<double>,
                    [&](double aValue) {
                      return std::isfinite(aValue) &&
                             aValue >= aBounds.mLowest &&
                             aValue <= aBounds.mHighest;
                    });
}

auto
ReadDuration(Section& aSection, const std::string& aKey, Millis aFallback)
  -> Millis
{
  return ReadParsed(aSection,
                    aKey,
                    aFallback,
                    "a duration above zero in ms, s, min or h, as \"2 s\"",
                    ParseDuration,
                    [](Millis aValue) { return aValue > Millis(0); });
}

auto
ReadBytes(Section& aSection, const std::string& aKey, std::int64_t aFallback)
  -> std::int64_t
{
  return ReadParsed(aSection,
                    aKey,
                    aFallback,
                    "a size above zero in B, KiB, MiB or GiB, as \"8 MiB\"",
                    ParseBytes,
                    [](std::int64_t aValue) { return aValue > 0; });
}

auto
ReadChoiceIndex(Section& aSection,
                const std::string& aKey,
                const std::vector<std::string_view>& aNames)
  -> std::optional<std::size_t>
{
  auto expected = std::string("one of ");
  for (const auto& name : aNames) {
    expected += (name == aNames.front() ? "" : ", ") + std::string(name);
  }
  const auto item = TakeScalar(aSection, aKey, expected);
  if (!item) {
    return std::nullopt;
  }
  const auto& text = item->mNode.Scalar();
  const auto it = std::find(aNames.begin(), aNames.end(), text);
  if (it == aNames.end()) {
    AddProblem(*aSection.mDocument, *item, "is " + Quote(text), expected);
    return std::nullopt;
  }
  return static_cast<std::size_t>(it - aNames.begin());
}

} // namespace cuminslip::documents
