#pragma once

#include "base/events.h"

/// Log events of the endpoints module.
namespace cuminslip::endpoints {

inline constexpr auto kEndpointJoinedEvent =
  Event{ 1501, "endpoint_joined", Severity::Info };
inline constexpr auto kEndpointRestartedEvent =
  Event{ 1502, "endpoint_restarted", Severity::Warning };
inline constexpr auto kEndpointLeavingEvent =
  Event{ 1503, "endpoint_leaving", Severity::Info };
inline constexpr auto kEndpointReturnedEvent =
  Event{ 1504, "endpoint_returned", Severity::Info };
inline constexpr auto kEndpointSuspectedEvent =
  Event{ 1505, "endpoint_suspected", Severity::Warning };
inline constexpr auto kEndpointRecoveredEvent =
  Event{ 1506, "endpoint_recovered", Severity::Info };
inline constexpr auto kEndpointAddressTakenOverEvent =
  Event{ 1507, "endpoint_address_taken_over", Severity::Warning };
inline constexpr auto kEndpointDrainStartedEvent =
  Event{ 1508, "endpoint_drain_started", Severity::Info };
inline constexpr auto kEndpointDrainEndedEvent =
  Event{ 1509, "endpoint_drain_ended", Severity::Info };
inline constexpr auto kEndpointCacheGapEvent =
  Event{ 1510, "endpoint_cache_gap", Severity::Debug };
inline constexpr auto kEndpointForgottenEvent =
  Event{ 1511, "endpoint_forgotten", Severity::Info };
inline constexpr auto kEndpointRefusedEvent =
  Event{ 1512, "endpoint_refused", Severity::Warning };

inline constexpr auto kInstanceJoinedEvent =
  Event{ 1521, "instance_joined", Severity::Info };
inline constexpr auto kInstanceRestartedEvent =
  Event{ 1522, "instance_restarted", Severity::Info };
inline constexpr auto kInstanceSilentEvent =
  Event{ 1523, "instance_silent", Severity::Warning };
inline constexpr auto kInstanceReturnedEvent =
  Event{ 1524, "instance_returned", Severity::Info };
inline constexpr auto kInstanceStoppedEvent =
  Event{ 1525, "instance_stopped", Severity::Info };
inline constexpr auto kInstanceForgottenEvent =
  Event{ 1526, "instance_forgotten", Severity::Info };
inline constexpr auto kHoldingReleasedEvent =
  Event{ 1531, "holding_released", Severity::Debug };
inline constexpr auto kOrphanReleasedEvent =
  Event{ 1532, "orphan_released", Severity::Warning };

} // namespace cuminslip::endpoints
