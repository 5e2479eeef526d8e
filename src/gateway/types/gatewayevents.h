#pragma once

#include "base/events.h"

/// Log events of gateways, 2100-2149.
namespace cuminslip::gateway {

inline constexpr auto kGatewayStartedEvent =
  Event{ 2100, "gateway_started", Severity::Info };
inline constexpr auto kGatewayReadyEvent =
  Event{ 2101, "gateway_ready", Severity::Info };
inline constexpr auto kGatewayStopBeganEvent =
  Event{ 2102, "gateway_stop_began", Severity::Info };
inline constexpr auto kGatewayStopEndedEvent =
  Event{ 2103, "gateway_stop_ended", Severity::Info };
inline constexpr auto kRoutingPublishedEvent =
  Event{ 2104, "routing_published", Severity::Info };
inline constexpr auto kRoutingRefusedEvent =
  Event{ 2105, "routing_refused", Severity::Warning };
inline constexpr auto kRoutingUnreadableEvent =
  Event{ 2106, "routing_unreadable", Severity::Error };
inline constexpr auto kControlCallRefusedEvent =
  Event{ 2107, "control_call_refused", Severity::Warning };
inline constexpr auto kRoutingReadEvent =
  Event{ 2108, "routing_read", Severity::Debug };
inline constexpr auto kSeedsChangedEvent =
  Event{ 2109, "seeds_changed", Severity::Info };
inline constexpr auto kSeedsRefusedEvent =
  Event{ 2110, "seeds_refused", Severity::Error };

inline constexpr auto kEvacuationChangedEvent =
  Event{ 2111, "evacuation_changed", Severity::Info };
inline constexpr auto kEvacuationRefusedEvent =
  Event{ 2112, "evacuation_refused", Severity::Warning };
inline constexpr auto kEvacuationsUnreadableEvent =
  Event{ 2113, "evacuations_unreadable", Severity::Error };
inline constexpr auto kGatewayClosingEvent =
  Event{ 2114, "gateway_closing", Severity::Info };
inline constexpr auto kMemoryBoundMetEvent =
  Event{ 2115, "memory_bound_met", Severity::Warning };
inline constexpr auto kMemoryBoundLeftEvent =
  Event{ 2116, "memory_bound_left", Severity::Info };
inline constexpr auto kGatewayClosedEvent =
  Event{ 2117, "gateway_closed", Severity::Info };

} // namespace cuminslip::gateway
