#include "policy/loadgroups.h"

#include <algorithm>
#include <iterator>

namespace cuminslip {

auto
DivideFleet(const std::vector<FailureDomainId>& aInstances,
            const GroupLayout& aPrevious,
            const GroupRules& aRules) -> GroupLayout
{
  const auto most = std::max<std::size_t>(aRules.mMaxInstances, 1);
  const auto merged = static_cast<double>(most) * aRules.mMergeShare;
  const auto staysDivided = !aPrevious.mParts.empty() &&
                            static_cast<double>(aInstances.size()) > merged;
  auto layout = GroupLayout{};
  if (aInstances.size() <= most && !staysDivided) {
    return layout;
  }
  for (const auto& it : aInstances) {
    ++layout.mParts[it];
  }
  for (auto& [domain, count] : layout.mParts) {
    count = (count + most - 1) / most;
  }
  // NOTE: a domain without instances may be cut off; its engines must not join
  // the groups that can't reach them.
  layout.mParts.insert(aPrevious.mParts.begin(), aPrevious.mParts.end());
  return layout;
}

auto
WithoutDomains(const GroupLayout& aLayout,
               const std::function<bool(const FailureDomainId&)>& aIsLeftOut)
  -> GroupLayout
{
  auto layout = aLayout;
  std::erase_if(layout.mParts,
                [&](const auto& aItem) { return aIsLeftOut(aItem.first); });
  return layout.mParts.empty() ? aLayout : layout;
}

auto
GroupOf(const GroupLayout& aLayout,
        const FailureDomainId& aFailureDomain,
        std::uint64_t aKey) -> LoadGroup
{
  if (aLayout.mParts.empty()) {
    return {};
  }
  const auto own = aLayout.mParts.find(aFailureDomain);
  const auto it =
    own != aLayout.mParts.end()
      ? own
      : std::next(aLayout.mParts.begin(),
                  static_cast<std::ptrdiff_t>(aKey % aLayout.mParts.size()));
  return { it->first, static_cast<std::size_t>(aKey % it->second) };
}

} // namespace cuminslip
