#pragma once

#include "base/findings.h"
#include "templates/types/template.h"

#include <string>
#include <vector>

/// Parses, formats and compares templates. All functions are thread safe.
namespace cuminslip {

/// Parses and validates a template from YAML or JSON text. On failure reports
/// all Findings together, each with aSource, line and column.
auto
ParseTemplate(const std::string& aText, const std::string& aSource)
  -> leaf::result<Template>;

/// Formats a template as YAML; ParseTemplate of the result returns an equal
/// template.
auto
FormatTemplate(const Template& aTemplate) -> std::string;

/// One changed, added or removed item of a template.
struct TemplateChange
{
  /// Path from the root, for example "work_kinds.eligibility.deadline".
  std::string mKey;
  /// Old value; empty if the item was added.
  std::string mBefore;
  /// New value; empty if the item was removed.
  std::string mAfter;

  auto operator==(const TemplateChange&) const -> bool = default;
};

/// Returns the changed and removed items in the order of aBefore, followed by
/// the added items in the order of aAfter; empty if the templates are equal.
/// The order of failure domains, regions and work kinds is ignored.
auto
DiffTemplates(const Template& aBefore, const Template& aAfter)
  -> std::vector<TemplateChange>;

/// Formats a change as "key: before -> after", "key: added value" or "key:
/// removed value".
auto
FormatChange(const TemplateChange& aChange) -> std::string;

/// Returns the kind of work called aName, or null if there is none.
/// Precondition: aTemplate outlives the result.
auto
FindWorkKind(const Template& aTemplate, const WorkKindName& aName)
  -> const WorkKind*;

} // namespace cuminslip
