#pragma once

#include "base/findings.h"
#include "templates/types/template.h"

#include <string>
#include <vector>

/// Reads, writes and compares templates. All functions are thread safe.
namespace cuminslip {

/// Parses a template from YAML or JSON text and checks it. Fails with all
/// Findings at once, each with aSource, line and column.
auto
ParseTemplate(const std::string& aText, const std::string& aSource)
  -> leaf::result<Template>;

/// YAML text that ParseTemplate reads as the same template.
auto
FormatTemplate(const Template& aTemplate) -> std::string;

/// One changed, added or removed item of a template.
struct TemplateChange
{
  /// Key from the root, as "work_kinds.eligibility.deadline".
  std::string mKey;
  /// Empty when the item was added.
  std::string mBefore;
  /// Empty when the item was removed.
  std::string mAfter;

  auto operator==(const TemplateChange&) const -> bool = default;
};

/// What differs, in the order of the items; nothing when they are equal. The
/// order of failure domains, regions and work kinds does not count.
auto
DiffTemplates(const Template& aBefore, const Template& aAfter)
  -> std::vector<TemplateChange>;

/// Formats as "key: before -> after", "key: added value" or "key: removed
/// value".
auto
FormatChange(const TemplateChange& aChange) -> std::string;

/// The kind of work called aName, or null. Precondition: aTemplate outlives
/// the result.
auto
FindWorkKind(const Template& aTemplate, const WorkKindName& aName)
  -> const WorkKind*;

} // namespace cuminslip
