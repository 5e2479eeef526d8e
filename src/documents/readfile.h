#pragma once

#include "base/findings.h"

#include <string>

namespace cuminslip::documents {

/// The whole content of the file aPath. Fails with Findings when it can't be
/// read. Thread safe.
auto
ReadFile(const std::string& aPath) -> leaf::result<std::string>;

} // namespace cuminslip::documents
