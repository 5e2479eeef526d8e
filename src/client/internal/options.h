#pragma once

#include "base/findings.h"
#include "client/types/options.h"

namespace cuminslip::client {

/// Parses the words after the program's name. Instances, the key file
/// and the trusted authorities may also come from the environment
/// (CUMINSLIP_INSTANCES, separated by commas, CUMINSLIP_KEY_FILE and
/// CUMINSLIP_TRUST). Fails with Findings.
auto
ParseOptions(const std::vector<std::string>& aArguments)
  -> leaf::result<Options>;

} // namespace cuminslip::client
