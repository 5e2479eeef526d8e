#pragma once

#include "base/events.h"

namespace cuminslip {

inline constexpr auto kSettingsReloadedEvent =
  Event{ 1100, "settings_reloaded", Severity::Info };
inline constexpr auto kSettingsReloadRefusedEvent =
  Event{ 1101, "settings_reload_refused", Severity::Error };

} // namespace cuminslip
