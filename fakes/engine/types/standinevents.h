#pragma once

#include "base/events.h"

/// Log events of stand-ins.
namespace cuminslip::fakes {

inline constexpr auto kStandinStartedEvent =
  Event{ 1900, "standin_started", Severity::Info };
inline constexpr auto kStandinDiedEvent =
  Event{ 1901, "standin_died", Severity::Warning };
inline constexpr auto kStandinFaultEvent =
  Event{ 1902, "standin_fault", Severity::Warning };
inline constexpr auto kStandinFailedEvent =
  Event{ 1903, "standin_failed", Severity::Error };
inline constexpr auto kStandinLeavingEvent =
  Event{ 1904, "standin_leaving", Severity::Info };
inline constexpr auto kStandinStoppedEvent =
  Event{ 1905, "standin_stopped", Severity::Info };

} // namespace cuminslip::fakes
