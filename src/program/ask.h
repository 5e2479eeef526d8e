#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cuminslip::program {

/// Sends one completion request to an instance's caller interface and prints
/// the streamed answer, then its time to first token. aArguments begin with
/// "ask". Returns the exit code: 0 for a whole answer, 1 for a refusal, a
/// failure or an incomplete answer, 2 for a wrong command line.
auto
RunAsk(const std::vector<std::string>& aArguments,
       std::ostream& aOut,
       std::ostream& aErrors) -> int;

} // namespace cuminslip::program
