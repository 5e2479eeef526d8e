#pragma once

#include "placement/placement.h"

/// Counts the existing copies of each model.
namespace cuminslip::placement {

struct CopyCounts
{
  /// Copies on active engines, without those being unloaded.
  std::map<CopyKey, std::size_t> mServing;
  /// Copies that were ordered but do not appear in an announcement yet.
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

/// True for active model engines.
auto
IsOrderable(const EndpointView& aView) -> bool;

} // namespace cuminslip::placement
