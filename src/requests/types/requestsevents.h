#pragma once

#include "base/events.h"

/// Log events 1700 to 1749.
namespace cuminslip::requests {

inline constexpr auto kRequestAdmittedEvent =
  Event{ 1700, "request_admitted", Severity::Info };
inline constexpr auto kRequestRefusedEvent =
  Event{ 1701, "request_refused", Severity::Info };
inline constexpr auto kRequestRoutedEvent =
  Event{ 1702, "request_routed", Severity::Info };
inline constexpr auto kRequestFinishedEvent =
  Event{ 1703, "request_finished", Severity::Info };
inline constexpr auto kRequestFailedEvent =
  Event{ 1704, "request_failed", Severity::Warning };
inline constexpr auto kAttemptFailedEvent =
  Event{ 1705, "attempt_failed", Severity::Warning };
inline constexpr auto kCallerGoneEvent =
  Event{ 1706, "caller_gone", Severity::Info };
inline constexpr auto kPieceDroppedEvent =
  Event{ 1707, "piece_dropped", Severity::Warning };
inline constexpr auto kRunReplayedEvent =
  Event{ 1708, "run_replayed", Severity::Info };
inline constexpr auto kAnnouncementRefusedEvent =
  Event{ 1709, "announcement_refused", Severity::Warning };
inline constexpr auto kCancelFailedEvent =
  Event{ 1710, "cancel_failed", Severity::Warning };
inline constexpr auto kRequestWaitsEvent =
  Event{ 1711, "request_waits", Severity::Debug };

inline constexpr auto kEndpointHealthEvent =
  Event{ 1712, "endpoint_health", Severity::Warning };
inline constexpr auto kOverloadLevelEvent =
  Event{ 1713, "overload_level", Severity::Info };
inline constexpr auto kTemplatesAppliedEvent =
  Event{ 1714, "templates_applied", Severity::Info };
inline constexpr auto kRetryDecidedEvent =
  Event{ 1715, "retry_decided", Severity::Info };

} // namespace cuminslip::requests
