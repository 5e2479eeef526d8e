#include "peers/internal/templatecache.h"

#include <algorithm>

namespace cuminslip {

auto
MergeTemplates(TemplateCache& aCache, std::vector<StoredTemplate> aTemplates)
  -> TemplateUpdate
{
  auto update = TemplateUpdate{};
  for (auto& it : aTemplates) {
    auto& present = aCache.mTemplates[it.mAccount];
    if (it.mRevision <= present.mRevision) {
      continue;
    }
    aCache.mRevision = std::max(aCache.mRevision, it.mRevision);
    present = it;
    update.mTemplates.push_back(std::move(it));
  }
  update.mRevision = aCache.mRevision;
  return update;
}

auto
PageAfter(const TemplateCache& aCache, Revision aAfter, std::size_t aMaxBytes)
  -> TemplatePage
{
  auto newer = std::vector<const StoredTemplate*>{};
  for (const auto& [account, it] : aCache.mTemplates) {
    if (it.mRevision > aAfter) {
      newer.push_back(&it);
    }
  }
  std::sort(
    newer.begin(), newer.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mRevision < aRight->mRevision;
    });
  auto page = TemplatePage{};
  auto bytes = std::size_t{ 0 };
  for (const auto* it : newer) {
    bytes += it->mDocument.size();
    if (!page.mTemplates.empty() && bytes > aMaxBytes) {
      page.mHasMore = true;
      break;
    }
    page.mTemplates.push_back(*it);
  }
  return page;
}

} // namespace cuminslip
