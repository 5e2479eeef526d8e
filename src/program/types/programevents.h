#pragma once

#include "base/events.h"

/// Log events 1000 to 1099.
namespace cuminslip::program {

inline constexpr auto kInstanceStartedEvent =
  Event{ 1000, "instance_started", Severity::Info };
inline constexpr auto kInstanceReadyEvent =
  Event{ 1001, "instance_ready", Severity::Info };
inline constexpr auto kStopBeganEvent =
  Event{ 1002, "stop_began", Severity::Info };
inline constexpr auto kStopEndedEvent =
  Event{ 1003, "stop_ended", Severity::Info };
inline constexpr auto kOperatorActionEvent =
  Event{ 1004, "operator_action", Severity::Info };
inline constexpr auto kKeyRefusedEvent =
  Event{ 1005, "key_refused", Severity::Warning };
inline constexpr auto kTemplateUnreadableEvent =
  Event{ 1006, "template_unreadable", Severity::Error };

} // namespace cuminslip::program
