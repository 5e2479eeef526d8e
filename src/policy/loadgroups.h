#pragma once

#include "base/types/ids.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

/// Divides a large fleet into groups of entry instances and engines. The
/// instances of a group report to each other what they place on the group's
/// engines, and use the engines of other groups only when their own ones are
/// busy. So what an instance sends and receives depends on the size of its
/// group and not on that of the fleet. Pure functions; thread safe.
namespace cuminslip {

/// A group: a failure domain or a part of one. The default value is the group
/// of a fleet that is not divided.
struct LoadGroup
{
  FailureDomainId mFailureDomain;
  std::size_t mPart = 0;

  auto operator<=>(const LoadGroup&) const = default;
};

struct GroupRules
{
  /// Maximum number of instances in a group.
  std::size_t mMaxInstances = 64;
  /// A divided fleet stays divided while it has more than this fraction of
  /// mMaxInstances: a failure domain that is cut off sees only its own
  /// instances, and the engines of the others are of no use to it.
  double mMergeShare = 0.25;

  auto operator==(const GroupRules&) const -> bool = default;
};

struct GroupLayout
{
  /// Number of groups of each failure domain that has or had instances. Empty
  /// if the fleet is not divided.
  std::map<FailureDomainId, std::size_t> mParts;

  auto operator==(const GroupLayout&) const -> bool = default;
};

/// Divides a fleet by the failure domains of its instances. aPrevious is the
/// layout before the last change of instances.
auto
DivideFleet(const std::vector<FailureDomainId>& aInstances,
            const GroupLayout& aPrevious,
            const GroupRules& aRules) -> GroupLayout;

/// Returns the layout without the groups of the failure domains for which
/// aIsLeftOut is true; unchanged if that leaves none. The instances of such a
/// domain, which have no engines of their own, belong to groups of other
/// domains: they would place on engines whose load they know by summaries only.
auto
WithoutDomains(const GroupLayout& aLayout,
               const std::function<bool(const FailureDomainId&)>& aIsLeftOut)
  -> GroupLayout;

/// Returns the group of an instance or engine. aKey selects the part of its
/// failure domain. An engine of a failure domain that never had instances
/// belongs to a group of another one.
auto
GroupOf(const GroupLayout& aLayout,
        const FailureDomainId& aFailureDomain,
        std::uint64_t aKey) -> LoadGroup;

} // namespace cuminslip
