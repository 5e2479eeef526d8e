#pragma once

#include "control/types/storedtemplate.h"
#include "peers/types/peerreports.h"

#include <map>

/// The templates in force at this instance. Revisions only rise.
namespace cuminslip {

struct TemplateCache
{
  Revision mRevision = 0;
  std::map<AccountId, StoredTemplate> mTemplates;

  auto operator==(const TemplateCache&) const -> bool = default;
};

/// Takes those that are newer than what is there; returns them.
auto
MergeTemplates(TemplateCache& aCache, std::vector<StoredTemplate> aTemplates)
  -> TemplateUpdate;

/// Templates in the order of their revisions.
struct TemplatePage
{
  std::vector<StoredTemplate> mTemplates;
  /// More follow; the page alone is not a consistent set.
  bool mHasMore = false;

  auto operator==(const TemplatePage&) const -> bool = default;
};

/// The templates above aAfter, at least one and about aMaxBytes at most.
auto
PageAfter(const TemplateCache& aCache, Revision aAfter, std::size_t aMaxBytes)
  -> TemplatePage;

} // namespace cuminslip
