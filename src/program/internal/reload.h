#pragma once

#include "program/instance.h"

namespace cuminslip::program {

/// Gives the listeners and the calls to endpoints the certificates that the
/// settings name. Fails with Findings, and then changes nothing. Front task
/// only.
auto
ApplyTls(Instance& aInstance, const TlsSettings& aTls) -> leaf::result<void>;

/// Reads the settings file again and takes over its keys and certificates;
/// everything else needs a restart. With findings the former ones stay in use.
/// Front task only.
auto
ReloadSettings(Instance& aInstance, const std::string& aPath) -> void;

} // namespace cuminslip::program
