#pragma once

#include "documents/section.h"
#include "settings/types/settings.h"

namespace cuminslip::settings {

/// Adds a finding for each contradiction between sections of aSettings, which
/// were read from aRoot.
auto
CheckSettings(documents::Section& aRoot, const Settings& aSettings) -> void;

} // namespace cuminslip::settings
