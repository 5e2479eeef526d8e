#pragma once

#include "base/findings.h"
#include "client/internal/commands.h"
#include "client/internal/operatorcalls.h"

#include <boost/json/value.hpp>

/// Turns answers into exit codes and messages.
namespace cuminslip::client {

/// Prints findings as JSON to the output, or as lines to the errors.
auto
ReportFindings(const Options& aOptions,
               const Findings& aFindings,
               const Output& aOutput) -> ExitCode;

/// Prints why a call failed. Precondition: the answer is not a success.
auto
ReportFailure(const Options& aOptions,
              const OperatorAnswer& aAnswer,
              const Output& aOutput) -> ExitCode;

/// True for an answer with a status from 200 to 299.
auto
IsSuccess(const OperatorAnswer& aAnswer) -> bool;

/// The answer's body; null when it is not JSON.
auto
ParseBody(const wire::HttpResponse& aResponse) -> boost::json::value;

/// The text, or the number, at aKey of an object; empty, or 0, without it.
auto
TextMember(const boost::json::value& aValue, std::string_view aKey)
  -> std::string;

auto
NumberMember(const boost::json::value& aValue, std::string_view aKey)
  -> std::uint64_t;

} // namespace cuminslip::client
