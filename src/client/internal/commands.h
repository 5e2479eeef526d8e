#pragma once

#include "client/client.h"
#include "client/types/options.h"

/// The client's commands. Words and operands are in Options::mWords; the
/// dispatcher has checked their number.
namespace cuminslip::client {

/// Where a command writes.
struct Output
{
  std::ostream* mOut = nullptr;
  std::ostream* mErr = nullptr;
};

/// Checks a settings file, a template file or a routing document; needs no
/// instance.
auto
RunCheck(const Options& aOptions, const Output& aOutput) -> ExitCode;

/// Prints the SHA-256 of the key in a file, or on standard input for "-".
auto
RunKeyHash(const Options& aOptions, const Output& aOutput) -> ExitCode;

/// Tells what happened to a request, from log files or standard input; needs no
/// instance.
auto
RunExplain(const Options& aOptions, const Output& aOutput) -> ExitCode;

auto
RunTemplatePublish(const Options& aOptions, const Output& aOutput) -> ExitCode;

auto
RunTemplateGet(const Options& aOptions, const Output& aOutput) -> ExitCode;

auto
RunTemplateDiff(const Options& aOptions, const Output& aOutput) -> ExitCode;

/// Calls aPath and prints the answer; tables have aColumns, or all.
auto
RunFetch(const Options& aOptions,
         const std::string& aMethod,
         const std::string& aPath,
         const std::vector<std::string>& aColumns,
         const Output& aOutput) -> ExitCode;

} // namespace cuminslip::client
