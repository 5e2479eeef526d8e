#pragma once

#include "base/findings.h"

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// Reading of YAML maps that collects findings with their places.
namespace cuminslip::fakes {

/// What reads the value of a key; may throw YAML::Exception for a wrong type.
using FieldReader = std::function<void(const YAML::Node&)>;
using Fields = std::map<std::string, FieldReader>;

/// The findings of one source, as they grow.
struct YamlReading
{
  std::string mSource;
  Findings mFindings;
};

/// Adds a finding at the place of aNode.
auto
AddAt(YamlReading& aReading,
      const YAML::Node& aNode,
      const std::string& aKey,
      const std::string& aProblem,
      const std::string& aExpected) -> void;

/// Reads the keys of a map; unknown keys and wrong types are findings.
auto
ReadMap(YamlReading& aReading, const YAML::Node& aNode, const Fields& aFields)
  -> void;

/// Parses aText and passes its root to aRead; a text that is not YAML is a
/// finding.
auto
ReadYaml(YamlReading& aReading,
         const std::string& aText,
         const FieldReader& aRead) -> void;

/// Reads milliseconds into aTarget, which outlives the reader.
auto
IntoMillis(std::chrono::milliseconds& aTarget) -> FieldReader;

/// Reads an IP:PORT into aTarget. Both arguments outlive the reader.
auto
IntoAddress(YamlReading& aReading, std::string& aTarget) -> FieldReader;

/// Reads a value into aTarget, which outlives the reader.
template<class T>
auto
Into(T& aTarget) -> FieldReader
{
  return [&aTarget](const YAML::Node& aNode) { aTarget = aNode.as<T>(); };
}

/// Reads a list whose items begin as copies of aDefault. All arguments outlive
/// the reader.
template<class T, class Function>
auto
IntoList(YamlReading& aReading,
         std::vector<T>& aTarget,
         const T& aDefault,
         Function aRead) -> FieldReader
{
  return [&aReading, &aTarget, &aDefault, aRead](const YAML::Node& aNode) {
    aTarget.clear();
    for (const auto& item : aNode) {
      auto value = aDefault;
      aRead(aReading, item, value);
      aTarget.push_back(std::move(value));
    }
  };
}

} // namespace cuminslip::fakes
