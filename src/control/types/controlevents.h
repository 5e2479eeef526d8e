#pragma once

#include "base/events.h"

/// Logged events of the control log, numbers 1300-1399.
namespace cuminslip {

inline constexpr auto kElectionStartedEvent =
  Event{ 1300, "election_started", Severity::Info };
inline constexpr auto kLeaderElectedEvent =
  Event{ 1301, "leader_elected", Severity::Info };
inline constexpr auto kSteppedDownEvent =
  Event{ 1302, "leader_stepped_down", Severity::Warning };
inline constexpr auto kMembershipChangedEvent =
  Event{ 1303, "membership_changed", Severity::Info };
inline constexpr auto kSnapshotInstalledEvent =
  Event{ 1304, "snapshot_installed", Severity::Info };
inline constexpr auto kMemberUntrustedEvent =
  Event{ 1305, "member_untrusted", Severity::Error };
inline constexpr auto kControlHaltedEvent =
  Event{ 1306, "control_halted", Severity::Error };
inline constexpr auto kStoreOpenedEvent =
  Event{ 1307, "control_store_opened", Severity::Info };
inline constexpr auto kStoreTailDroppedEvent =
  Event{ 1308, "control_store_tail_dropped", Severity::Warning };
inline constexpr auto kStoreFullEvent =
  Event{ 1309, "control_store_full", Severity::Error };
inline constexpr auto kStoreFailedEvent =
  Event{ 1310, "control_store_failed", Severity::Error };
inline constexpr auto kSnapshotTakenEvent =
  Event{ 1311, "snapshot_taken", Severity::Info };
inline constexpr auto kMembershipRefusedEvent =
  Event{ 1312, "membership_refused", Severity::Warning };
inline constexpr auto kLogFoundedEvent =
  Event{ 1313, "control_log_founded", Severity::Info };

} // namespace cuminslip
