#pragma once

#include "base/clock.h"
#include "directory/types/entryinstance.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The entry instances that may send to endpoints: those that control instances
/// list, and for a long time those that they no longer list. An instance that
/// vanished may only be cut off from them and still reach the endpoints. Pure
/// functions; thread safe.
namespace cuminslip {

struct RosterRules
{
  /// Time for which a vanished instance is kept; longer than regions lose each
  /// other.
  Millis mMemory{ 7200000 };
  /// The first lists after a start may be incomplete for this long.
  Millis mSettleTime{ 2000 };
  std::size_t mMaxInstances = 2048;

  auto operator==(const RosterRules&) const -> bool = default;
};

struct InstanceRoster
{
  /// Without duplicate addresses, sorted.
  std::vector<directory::EntryInstance> mInstances;
  /// When instances vanished, by address.
  std::map<std::string, TimePoint> mVanishedAt;
  /// Increases with each change of mInstances; 0 before the first list.
  std::uint64_t mVersion = 0;
  TimePoint mSettledAt{};

  auto operator==(const InstanceRoster&) const -> bool = default;
};

/// Returns the roster after control instances list aListed at aNow. aNow must
/// not be earlier than that of the call before.
auto
UpdateRoster(const InstanceRoster& aPrevious,
             const std::vector<directory::EntryInstance>& aListed,
             TimePoint aNow,
             const RosterRules& aRules) -> InstanceRoster;

/// Returns true once the roster can be relied on.
auto
IsSettled(const InstanceRoster& aRoster, TimePoint aNow) -> bool;

} // namespace cuminslip
