#pragma once

#include <iosfwd>
#include <string>

namespace cuminslip::program {

/// Runs one instance with the settings file aPath until SIGTERM or SIGINT.
/// Returns the exit code of the process: 0 after a graceful stop, 2 for bad
/// settings, 3 when the instance can't start. Call once a process.
auto
Serve(const std::string& aPath, std::ostream& aErrors) -> int;

} // namespace cuminslip::program
