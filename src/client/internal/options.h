#pragma once

#include "base/findings.h"
#include "client/types/options.h"

namespace cuminslip::client {

/// Parses the words after the program's name. Instances and the key file may
/// also come from the environment (CUMINSLIP_INSTANCES, separated by commas,
/// and CUMINSLIP_KEY_FILE). Fails with Findings.
auto
ParseOptions(const std::vector<std::string>& aArguments)
  -> leaf::result<Options>;

} // namespace cuminslip::client
