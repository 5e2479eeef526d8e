#include "fakes/engine/yamlread.h"

#include "wire/types/httpmessage.h"

namespace cuminslip::fakes {

auto
AddAt(YamlReading& aReading,
      const YAML::Node& aNode,
      const std::string& aKey,
      const std::string& aProblem,
      const std::string& aExpected) -> void
{
  const auto mark = aNode.Mark();
  AddFinding(aReading.mFindings,
             { { aReading.mSource, mark.line + 1, mark.column + 1 },
               aKey,
               aProblem,
               aExpected });
}

auto
ReadMap(YamlReading& aReading, const YAML::Node& aNode, const Fields& aFields)
  -> void
{
  if (!aNode.IsMap()) {
    AddAt(aReading, aNode, "", "not a map", "a map of keys");
    return;
  }
  for (const auto& entry : aNode) {
    const auto key = entry.first.as<std::string>();
    const auto it = aFields.find(key);
    if (it == aFields.end()) {
      AddAt(aReading, entry.first, key, "unknown key", "a key of this map");
      continue;
    }
    try {
      it->second(entry.second);
    } catch (const YAML::Exception&) {
      AddAt(aReading, entry.second, key, "wrong type", "a value of its type");
    }
  }
}

auto
ReadYaml(YamlReading& aReading,
         const std::string& aText,
         const FieldReader& aRead) -> void
{
  try {
    aRead(YAML::Load(aText));
  } catch (const YAML::Exception& ex) {
    AddFinding(aReading.mFindings,
               { { aReading.mSource, ex.mark.line + 1, ex.mark.column + 1 },
                 "",
                 ex.msg,
                 "YAML" });
  }
}

auto
IntoMillis(std::chrono::milliseconds& aTarget) -> FieldReader
{
  return [&aTarget](const YAML::Node& aNode) {
    aTarget = std::chrono::milliseconds(aNode.as<std::int64_t>());
  };
}

auto
IntoAddress(YamlReading& aReading, std::string& aTarget) -> FieldReader
{
  return [&aReading, &aTarget](const YAML::Node& aNode) {
    aTarget = aNode.as<std::string>();
    if (!wire::ParseAddress(aTarget).has_value()) {
      AddAt(aReading, aNode, "address", "not an address", "IP:PORT");
    }
  };
}

} // namespace cuminslip::fakes
