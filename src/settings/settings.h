#pragma once

#include "base/findings.h"
#include "settings/types/settings.h"

/// Reads and checks an instance's settings file.
namespace cuminslip {

/// Parses YAML text and checks it. Fails with all Findings at once: unknown
/// keys, wrong types and units, missing values and contradictions, each with
/// aSource, line and column. Thread safe.
auto
ParseSettings(const std::string& aText, const std::string& aSource)
  -> leaf::result<Settings>;

/// Reads the file aPath and parses it. Fails with Findings. Thread safe.
auto
LoadSettings(const std::string& aPath) -> leaf::result<Settings>;

/// Reads the key that instances show each other; surrounding white space is
/// not part of it. Empty when no file is named. Fails with Findings when the
/// file can't be read or holds less than 16 characters. Thread safe.
auto
LoadPeerKey(const Settings& aSettings) -> leaf::result<std::string>;

} // namespace cuminslip
