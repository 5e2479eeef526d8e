#include "placement/internal/copies.h"

#include <algorithm>

namespace cuminslip::placement {

auto
CountCopies(const Placement& aPlacement, const PlacementInput& aInput)
  -> CopyCounts
{
  auto counts = CopyCounts{};
  for (const auto& endpoint : aInput.mEndpoints) {
    const auto& view = endpoint.mView;
    if (!IsOrderable(view)) {
      continue;
    }
    for (const auto& model : view.mModels) {
      ++counts.mServing[{ view.mFailureDomain, model }];
    }
  }
  for (const auto& [id, order] : aPlacement.mActive) {
    const auto& planned = order.mPlanned;
    const auto key = CopyKey{ planned.mFailureDomain, planned.mModel };
    if (planned.mAction == endpoints::OrderAction::LoadModel) {
      ++counts.mLoading[key];
    } else if (planned.mAction == endpoints::OrderAction::UnloadModel &&
               CountOf(counts.mServing, key) > 0) {
      // NOTE: a copy that is being unloaded is not counted.
      --counts.mServing[key];
    }
  }
  return counts;
}

auto
CountOf(const std::map<CopyKey, std::size_t>& aCounts, const CopyKey& aKey)
  -> std::size_t
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

auto
HasModel(const EndpointView& aView, const LoadedModel& aModel) -> bool
{
  return std::find(aView.mModels.begin(), aView.mModels.end(), aModel) !=
         aView.mModels.end();
}

auto
IsOrderable(const EndpointView& aView) -> bool
{
  return aView.mKind == EndpointKind::ModelEngine &&
         aView.mState == EndpointState::Active;
}

} // namespace cuminslip::placement
