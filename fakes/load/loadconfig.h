#pragma once

#include "base/findings.h"
#include "fakes/load/types/loadsettings.h"

#include <string>

namespace cuminslip::fakes {

/// Reads the settings of a load run from YAML text; aSource names it in
/// findings. Fails with all findings. Thread safe.
auto
ReadLoadSettings(const std::string& aText, const std::string& aSource)
  -> leaf::result<LoadSettings>;

} // namespace cuminslip::fakes
