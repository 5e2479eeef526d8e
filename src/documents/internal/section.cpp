#include "documents/section.h"

#include "documents/internal/sectionaccess.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cuminslip::documents {

namespace {

/// Bounds of a document. An item takes about 500 bytes once it is parsed, and
/// has one of the characters that divide items.
constexpr auto kMaxDocumentBytes = std::size_t{ 1024 } * 1024;
constexpr auto kMaxDocumentItems = 100000;

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

auto
AddRepeatedKeys(Document& aDocument, const Item& aItem) -> void
{
  auto seen = std::set<std::string>{};
  for (const auto& entry : aItem.mNode) {
    auto key = entry.first.IsScalar() ? entry.first.Scalar() : std::string{};
    if (seen.contains(key)) {
      AddProblem(aDocument,
                 { entry.first, JoinPath(aItem.mPath, key) },
                 "stands twice",
                 "each key once");
    }
    seen.insert(std::move(key));
  }
}

} // namespace

auto
Quote(const std::string& aText) -> std::string
{
  return "\"" + aText + "\"";
}

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
ReadDocument(const std::string& aText, const std::string& aSource) -> Document
{
  auto document = Document{ aSource, YAML::Node(YAML::NodeType::Null), {} };
  const auto marks = std::count_if(aText.begin(), aText.end(), [](char aItem) {
    return std::string_view(",:-[{\n").find(aItem) != std::string_view::npos;
  });
  if (aText.size() > kMaxDocumentBytes || marks > kMaxDocumentItems) {
    AddFinding(document.mFindings,
               { { aSource, 0, 0 },
                 "",
                 "too large",
                 "at most " + std::to_string(kMaxDocumentBytes) +
                   " bytes and " + std::to_string(kMaxDocumentItems) +
                   " items" });
    return document;
  }
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

} // namespace cuminslip::documents
