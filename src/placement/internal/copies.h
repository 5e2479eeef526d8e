#pragma once

#include "placement/placement.h"

/// Counts of the copies that there are.
namespace cuminslip::placement {

struct CopyCounts
{
  /// On engines that take work.
  std::map<CopyKey, std::size_t> mServing;
  /// Ordered and not yet shown by an announcement.
  std::map<CopyKey, std::size_t> mLoading;
};

auto
CountCopies(const Placement& aPlacement, const PlacementInput& aInput)
  -> CopyCounts;

auto
CountOf(const std::map<CopyKey, std::size_t>& aCounts, const CopyKey& aKey)
  -> std::size_t;

auto
HasModel(const EndpointView& aView, const LoadedModel& aModel) -> bool;

/// True for model engines that take work.
auto
IsOrderable(const EndpointView& aView) -> bool;

} // namespace cuminslip::placement
