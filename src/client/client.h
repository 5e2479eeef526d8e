#pragma once

#include "routingcheck/types/routingformat.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

/// The operator's command line over the operator interface.
namespace cuminslip {

/// How a command ended; the process's exit status.
enum class ExitCode : std::uint8_t
{
  Ok = 0,
  /// The instance answered with an error that has no code of its own.
  Failed = 1,
  /// The command line is wrong.
  Usage = 2,
  /// A file or a document has findings.
  Invalid = 3,
  /// Another revision is in force than the expected one.
  Conflict = 4,
  /// The key is not an operator's.
  Refused = 5,
  NotFound = 6,
  /// No instance could be reached, or none has a quorum: nothing was done.
  Unavailable = 7,
  /// The change was sent but no answer came: it may be in force.
  Unknown = 8,
  /// Check of a routing document: warnings or differences, no errors.
  Warnings = 1,
  /// Check of a routing document: at least one error.
  Errors = 2
};

/// True when aCommand, the first word of a command line, is one of the client.
auto
IsClientCommand(std::string_view aCommand) -> bool;

/// Runs one command and blocks until it has ended. aArguments are the words
/// after the program's name. Results go to aOut, problems to aErr. Routing
/// documents are checked only if aFormat has functions. Thread safe for streams
/// of their own.
auto
RunClientCommand(const std::vector<std::string>& aArguments,
                 std::ostream& aOut,
                 std::ostream& aErr,
                 const routingcheck::RoutingFormat& aFormat = {}) -> ExitCode;

/// The commands and options, for --help.
auto
ClientUsage() -> std::string;

} // namespace cuminslip
