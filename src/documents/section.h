#pragma once

#include "base/clock.h"
#include "base/findings.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Reads YAML (and so JSON) documents key by key and collects every problem
/// with its place. Functions are for one thread at a time.
namespace cuminslip::documents {

/// A document being read and the problems found so far.
struct Document
{
  std::string mSource;
  YAML::Node mRoot;
  Findings mFindings;
};

/// One mapping of a document. The document must outlive it.
struct Section
{
  Document* mDocument = nullptr;
  YAML::Node mNode;
  /// Keys from the root, as "limits.body"; empty for the root.
  std::string mPath;
  std::vector<std::string> mKnownKeys;
};

/// A value together with the node that it was read from.
struct Item
{
  YAML::Node mNode;
  std::string mPath;
};

/// Bounds of a number, both included.
struct Bounds
{
  double mLowest = 0;
  double mHighest = 0;
};

/// Parses aText. A syntax error becomes a finding and the root stays empty.
auto
ReadDocument(const std::string& aText, const std::string& aSource) -> Document;

/// The findings in the order of their places, each once; leaves none behind.
auto
TakeFindings(Document& aDocument) -> Findings;

/// Place of aNode in aDocument.
auto
PlaceOf(const Document& aDocument, const YAML::Node& aNode) -> Place;

/// Adds a finding about aNode.
auto
AddProblem(Document& aDocument,
           const Item& aItem,
           std::string aProblem,
           std::string aExpected) -> void;

/// Adds a finding about the value of aKey, or about the section when it has no
/// such key.
auto
AddProblem(Section& aSection,
           const std::string& aKey,
           std::string aProblem,
           std::string aExpected) -> void;

/// Opens a mapping; anything else, and keys that stand twice, are findings.
auto
OpenSection(Document& aDocument, const Item& aItem) -> Section;

/// Opens the root mapping.
auto
OpenRoot(Document& aDocument) -> Section;

/// Opens the mapping at aKey; an empty one when the key is absent.
auto
OpenSection(Section& aSection, const std::string& aKey) -> Section;

/// Makes each key that no function asked for a finding. Call last.
auto
CloseSection(Section& aSection) -> void;

/// True when the section has a value for aKey. Counts as asking for it.
auto
HasKey(Section& aSection, const std::string& aKey) -> bool;

/// Elements of the sequence at aKey; none when the key is absent.
auto
ReadItems(Section& aSection, const std::string& aKey) -> std::vector<Item>;

/// The text at aKey, or no value with a finding when it is missing or empty.
auto
RequireText(Section& aSection, const std::string& aKey) -> std::string;

/// The text at aKey, if there is one.
auto
ReadText(Section& aSection, const std::string& aKey)
  -> std::optional<std::string>;

/// The texts of the sequence at aKey. Empty and repeated ones are findings.
auto
ReadTexts(Section& aSection, const std::string& aKey)
  -> std::vector<std::string>;

/// The functions below return aFallback when the key is absent, and also, with
/// a finding, when the value is wrong.
auto
ReadBool(Section& aSection, const std::string& aKey, bool aFallback) -> bool;

auto
ReadInteger(Section& aSection,
            const std::string& aKey,
            std::int64_t aFallback,
            const Bounds& aBounds) -> std::int64_t;

auto
ReadNumber(Section& aSection,
           const std::string& aKey,
           double aFallback,
           const Bounds& aBounds) -> double;

auto
ReadDuration(Section& aSection, const std::string& aKey, Millis aFallback)
  -> Millis;

auto
ReadBytes(Section& aSection, const std::string& aKey, std::int64_t aFallback)
  -> std::int64_t;

/// A name and the value that it stands for.
template<class T>
struct Choice
{
  std::string_view mName;
  T mValue;
};

/// Index of the name at aKey in aNames; no value when the key is absent or,
/// with a finding, not among the names.
auto
ReadChoiceIndex(Section& aSection,
                const std::string& aKey,
                const std::vector<std::string_view>& aNames)
  -> std::optional<std::size_t>;

/// The value chosen by name at aKey.
template<class T, class Choices>
auto
ReadChoice(Section& aSection,
           const std::string& aKey,
           T aFallback,
           const Choices& aChoices) -> T
{
  auto names = std::vector<std::string_view>{};
  for (const auto& choice : aChoices) {
    names.push_back(choice.mName);
  }
  const auto i = ReadChoiceIndex(aSection, aKey, names);
  return i ? aChoices[*i].mValue : aFallback;
}

/// The name of aValue among aChoices.
template<class T, class Choices>
auto
NameOf(T aValue, const Choices& aChoices) -> std::string
{
  for (const auto& choice : aChoices) {
    if (choice.mValue == aValue) {
      return std::string(choice.mName);
    }
  }
  return {};
}

} // namespace cuminslip::documents
