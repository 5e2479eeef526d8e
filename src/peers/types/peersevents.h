#pragma once

#include "base/events.h"

/// Log events of the peer task, 1400-1499.
namespace cuminslip {

inline constexpr auto kPeerTaskStartedEvent =
  Event{ 1400, "peer_task_started", Severity::Info };
inline constexpr auto kPeerTaskStoppedEvent =
  Event{ 1401, "peer_task_stopped", Severity::Info };
inline constexpr auto kPeerRefusedEvent =
  Event{ 1402, "peer_refused", Severity::Warning };
inline constexpr auto kPeerLostEvent =
  Event{ 1403, "peer_lost", Severity::Info };
inline constexpr auto kTemplatesInForceEvent =
  Event{ 1404, "templates_in_force", Severity::Info };
inline constexpr auto kTemplateSourceEvent =
  Event{ 1405, "template_source_chosen", Severity::Info };
inline constexpr auto kInstanceIsolatedEvent =
  Event{ 1406, "instance_isolated", Severity::Warning };
inline constexpr auto kInstanceRejoinedEvent =
  Event{ 1407, "instance_rejoined", Severity::Info };
inline constexpr auto kInstanceReadyEvent =
  Event{ 1408, "instance_caught_up", Severity::Info };

inline constexpr auto kEndpointNoticeEvent =
  Event{ 1409, "endpoint_notice", Severity::Info };
inline constexpr auto kEndpointNoticeDroppedEvent =
  Event{ 1410, "endpoint_notice_dropped", Severity::Debug };
inline constexpr auto kControlWatchedEvent =
  Event{ 1411, "control_watched", Severity::Info };
inline constexpr auto kControlLostEvent =
  Event{ 1412, "control_lost", Severity::Warning };
inline constexpr auto kControlLogMissingEvent =
  Event{ 1413, "control_log_missing", Severity::Warning };
inline constexpr auto kControlLeaderMissingEvent =
  Event{ 1414, "control_leader_missing", Severity::Warning };
inline constexpr auto kPeerAcceptFailedEvent =
  Event{ 1415, "peer_accept_failed", Severity::Warning };

} // namespace cuminslip
