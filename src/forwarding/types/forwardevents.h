#pragma once

#include "base/events.h"

/// Log events of forwarding, 2000-2099.
namespace cuminslip::forwarding {

inline constexpr auto kRoutingInForceEvent =
  Event{ 2000, "routing_in_force", Severity::Info };
inline constexpr auto kForwardRefusedEvent =
  Event{ 2001, "forward_refused", Severity::Info };
inline constexpr auto kForwardPlacedEvent =
  Event{ 2002, "forward_placed", Severity::Info };
inline constexpr auto kForwardDeliveredEvent =
  Event{ 2003, "forward_delivered", Severity::Info };
inline constexpr auto kForwardSendFailedEvent =
  Event{ 2004, "forward_send_failed", Severity::Warning };
inline constexpr auto kForwardFailedEvent =
  Event{ 2005, "forward_failed", Severity::Warning };
inline constexpr auto kForwardCallerGoneEvent =
  Event{ 2006, "forward_caller_gone", Severity::Info };
inline constexpr auto kForwardResumedEvent =
  Event{ 2007, "forward_resumed", Severity::Info };
inline constexpr auto kForwardCutEvent =
  Event{ 2008, "forward_cut", Severity::Warning };
inline constexpr auto kForwardEndpointEvent =
  Event{ 2009, "forward_endpoint_changed", Severity::Info };
inline constexpr auto kForwardEjectedEvent =
  Event{ 2010, "forward_endpoint_ejected", Severity::Warning };
inline constexpr auto kLoadNoticeUnreadableEvent =
  Event{ 2011, "load_notice_unreadable", Severity::Warning };

inline constexpr auto kForwardWaitsEvent =
  Event{ 2012, "forward_waits", Severity::Info };
inline constexpr auto kReservationRefusedEvent =
  Event{ 2013, "hold_refused", Severity::Warning };
inline constexpr auto kReservationsReadyEvent =
  Event{ 2014, "holds_ready", Severity::Info };
inline constexpr auto kClaimAbandonedEvent =
  Event{ 2015, "claim_given_up", Severity::Info };
inline constexpr auto kLoadGroupsEvent =
  Event{ 2016, "load_groups_changed", Severity::Info };
inline constexpr auto kRequestLimitEvent =
  Event{ 2017, "endpoint_limit_changed", Severity::Info };
inline constexpr auto kStatementIgnoredEvent =
  Event{ 2018, "endpoint_statement_ignored", Severity::Warning };
inline constexpr auto kLimitsExhaustedEvent =
  Event{ 2019, "endpoint_limits_exhausted", Severity::Info };
inline constexpr auto kEndpointLeavingEvent =
  Event{ 2020, "forward_endpoint_leaving", Severity::Info };
inline constexpr auto kEndpointPausedEvent =
  Event{ 2021, "forward_endpoint_paused", Severity::Info };

inline constexpr auto kHarmfulFoundEvent =
  Event{ 2022, "harmful_request_found", Severity::Warning };
inline constexpr auto kHarmfulClearedEvent =
  Event{ 2023, "harmful_request_cleared", Severity::Info };

inline constexpr auto kReachLostEvent =
  Event{ 2024, "forward_reach_lost", Severity::Warning };
inline constexpr auto kReachRegainedEvent =
  Event{ 2025, "forward_reach_regained", Severity::Info };
inline constexpr auto kForwardRelayedEvent =
  Event{ 2026, "forward_relayed", Severity::Info };
inline constexpr auto kRelayFailedEvent =
  Event{ 2027, "forward_relay_failed", Severity::Warning };
inline constexpr auto kRelayAcceptedEvent =
  Event{ 2028, "forward_relay_accepted", Severity::Info };
inline constexpr auto kRelayRefusedEvent =
  Event{ 2029, "forward_relay_refused", Severity::Warning };

inline constexpr auto kEvacuationsInForceEvent =
  Event{ 2030, "forward_evacuations", Severity::Info };

inline constexpr auto kEndpointColdEvent =
  Event{ 2031, "endpoint_cold", Severity::Info };
inline constexpr auto kEndpointWarmEvent =
  Event{ 2032, "endpoint_warm", Severity::Info };

} // namespace cuminslip::forwarding
