#include "templates/templates.h"

#include "documents/section.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// A scalar of a template: its path and its value as text.
struct Leaf
{
  std::string mKey;
  std::string mValue;
};

/// Appends all scalars below aNode. List elements are keyed by their name, and
/// scalar elements by their value, so that a reordered list is no change.
auto
AppendLeaves(const std::string& aPath,
             const YAML::Node& aNode,
             std::vector<Leaf>& aLeaves) -> void
{
  const auto prefix = aPath.empty() ? aPath : aPath + ".";
  if (aNode.IsScalar()) {
    aLeaves.push_back({ aPath, aNode.Scalar() });
    return;
  }
  for (const auto& entry : aNode) {
    if (aNode.IsMap()) {
      AppendLeaves(prefix + entry.first.Scalar(), entry.second, aLeaves);
    } else if (entry.IsMap()) {
      AppendLeaves(prefix + entry["name"].Scalar(), entry, aLeaves);
    } else {
      AppendLeaves(prefix + entry.Scalar(), entry, aLeaves);
    }
  }
}

auto
ListLeaves(const Template& aTemplate) -> std::vector<Leaf>
{
  auto leaves = std::vector<Leaf>{};
  AppendLeaves("", YAML::Load(FormatTemplate(aTemplate)), leaves);
  return leaves;
}

auto
FindLeaf(const std::vector<Leaf>& aLeaves, const std::string& aKey)
  -> const Leaf*
{
  const auto it =
    std::find_if(aLeaves.begin(), aLeaves.end(), [&](const auto& aLeaf) {
      return aLeaf.mKey == aKey;
    });
  return it == aLeaves.end() ? nullptr : &*it;
}

} // namespace

auto
DiffTemplates(const Template& aBefore, const Template& aAfter)
  -> std::vector<TemplateChange>
{
  const auto before = ListLeaves(aBefore);
  const auto after = ListLeaves(aAfter);
  auto changes = std::vector<TemplateChange>{};
  for (const auto& item : before) {
    const auto* other = FindLeaf(after, item.mKey);
    if (other == nullptr) {
      changes.push_back({ item.mKey, item.mValue, "" });
    } else if (other->mValue != item.mValue) {
      changes.push_back({ item.mKey, item.mValue, other->mValue });
    }
  }
  for (const auto& item : after) {
    if (FindLeaf(before, item.mKey) == nullptr) {
      changes.push_back({ item.mKey, "", item.mValue });
    }
  }
  return changes;
}

auto
FormatChange(const TemplateChange& aChange) -> std::string
{
  if (aChange.mBefore.empty()) {
    return aChange.mKey + ": added " + aChange.mAfter;
  }
  if (aChange.mAfter.empty()) {
    return aChange.mKey + ": removed " + aChange.mBefore;
  }
  return aChange.mKey + ": " + aChange.mBefore + " -> " + aChange.mAfter;
}

auto
FindWorkKind(const Template& aTemplate, const WorkKindName& aName)
  -> const WorkKind*
{
  const auto& kinds = aTemplate.mWorkKinds;
  const auto it =
    std::find_if(kinds.begin(), kinds.end(), [&](const auto& aKind) {
      return aKind.mName == aName;
    });
  return it == kinds.end() ? nullptr : &*it;
}

} // namespace cuminslip
