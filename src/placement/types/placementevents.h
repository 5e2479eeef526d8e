#pragma once

#include "base/events.h"

/// Log events of the placement module.
namespace cuminslip::placement {

inline constexpr auto kOrderSentEvent =
  Event{ 1601, "order_sent", Severity::Info };
inline constexpr auto kOrderDoneEvent =
  Event{ 1602, "order_done", Severity::Info };
inline constexpr auto kOrderFailedEvent =
  Event{ 1603, "order_failed", Severity::Warning };
inline constexpr auto kOrderRefusedEvent =
  Event{ 1604, "order_refused", Severity::Warning };

} // namespace cuminslip::placement
