#pragma once

#include "base/events.h"

/// Log events 1700 to 1749.
namespace cuminslip::requests {

inline constexpr auto kRefusalSentEvent =
  Event{ 1700, "refusal_sent", Severity::Info };
inline constexpr auto kAttemptStartedEvent =
  Event{ 1701, "attempt_started", Severity::Info };
inline constexpr auto kRequestFinishedEvent =
  Event{ 1702, "request_finished", Severity::Info };
inline constexpr auto kRequestFailedEvent =
  Event{ 1703, "request_failed", Severity::Warning };
inline constexpr auto kAttemptFailedEvent =
  Event{ 1704, "attempt_failed", Severity::Warning };
inline constexpr auto kCallerGoneEvent =
  Event{ 1705, "caller_gone", Severity::Info };
inline constexpr auto kPieceDroppedEvent =
  Event{ 1706, "piece_dropped", Severity::Warning };
inline constexpr auto kRunReplayedEvent =
  Event{ 1707, "run_replayed", Severity::Info };
inline constexpr auto kAnnouncementRefusedEvent =
  Event{ 1708, "announcement_refused", Severity::Warning };

inline constexpr auto kTemplatesAppliedEvent =
  Event{ 1710, "templates_applied", Severity::Info };

} // namespace cuminslip::requests
