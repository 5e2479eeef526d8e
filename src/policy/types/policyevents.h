#pragma once

#include "base/events.h"

/// Log events of the policy module; see docs/EVENTS.md.
namespace cuminslip {

inline constexpr auto kEndpointChosenEvent =
  Event{ 1750, "endpoint_chosen", Severity::Info };
inline constexpr auto kNoEndpointChosenEvent =
  Event{ 1751, "no_endpoint_chosen", Severity::Info };
inline constexpr auto kRequestAdmittedEvent =
  Event{ 1752, "request_admitted", Severity::Info };
inline constexpr auto kRequestRefusedEvent =
  Event{ 1753, "request_refused", Severity::Info };
inline constexpr auto kWaitStartedEvent =
  Event{ 1754, "wait_started", Severity::Info };
inline constexpr auto kWaitEndedEvent =
  Event{ 1755, "wait_ended", Severity::Info };
inline constexpr auto kWaitExpiredEvent =
  Event{ 1756, "wait_expired", Severity::Warning };
inline constexpr auto kWaitDisplacedEvent =
  Event{ 1757, "wait_displaced", Severity::Warning };
inline constexpr auto kRetryDecidedEvent =
  Event{ 1758, "retry_decided", Severity::Info };
inline constexpr auto kEndpointHealthEvent =
  Event{ 1759, "endpoint_health_changed", Severity::Warning };
inline constexpr auto kOverloadChangedEvent =
  Event{ 1760, "overload_level_changed", Severity::Warning };
inline constexpr auto kSplitPlannedEvent =
  Event{ 1761, "split_planned", Severity::Info };
inline constexpr auto kPermissionWithdrawnEvent =
  Event{ 1762, "permission_withdrawn", Severity::Warning };

} // namespace cuminslip
