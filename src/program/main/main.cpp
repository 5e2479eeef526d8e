#include "client/client.h"
#include "platform/platform.h"
#include "program/ask.h"
#include "program/serve.h"

#include <popt.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using cuminslip::ExitCode;

constexpr auto kVersion = "cuminslip " CUMINSLIP_VERSION "\n";

auto
Usage() -> std::string
{
  return "Usage: cuminslip COMMAND [OPTIONS]\n"
         "\n"
         "  serve --settings FILE   run one instance until SIGTERM\n"
         "  ask --help              send one prompt and print the answer\n" +
         cuminslip::ClientUsage();
}

auto
RunServe(const std::vector<std::string>& aArguments) -> int
{
  char* path = nullptr;
  const auto options = std::vector<poptOption>{
    { "settings", 's', POPT_ARG_STRING, &path, 0, "settings file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto words = std::vector<const char*>{ "cuminslip serve" };
  for (auto i = std::size_t{ 1 }; i < aArguments.size(); ++i) {
    words.push_back(aArguments[i].c_str());
  }
  auto* context = poptGetContext(
    nullptr, static_cast<int>(words.size()), words.data(), options.data(), 0);
  const auto result = poptGetNextOpt(context);
  const auto isWrong =
    result < -1 || path == nullptr || poptPeekArg(context) != nullptr;
  if (isWrong) {
    std::cerr << "usage: cuminslip serve --settings FILE\n";
  }
  const auto settings = std::string(path == nullptr ? "" : path);
  free(path);
  poptFreeContext(context);
  return isWrong ? static_cast<int>(ExitCode::Usage)
                 : cuminslip::program::Serve(settings, std::cerr);
}

auto
RunCommand(const std::vector<std::string>& aArguments) -> int
{
  const auto command = aArguments.empty() ? std::string{} : aArguments.front();
  if (command == "serve") {
    return RunServe(aArguments);
  }
  if (command == "ask") {
    return cuminslip::program::RunAsk(aArguments, std::cout, std::cerr);
  }
  if (command == "--version") {
    std::cout << kVersion;
    return 0;
  }
  if (command == "--help" || command == "help") {
    std::cout << Usage();
    return 0;
  }
  if (cuminslip::IsClientCommand(command)) {
    return static_cast<int>(
      cuminslip::RunClientCommand(aArguments,
                                  std::cout,
                                  std::cerr,
                                  cuminslip::platform::MakeRoutingFormat()));
  }
  std::cerr << (command.empty() ? "no command given\n"
                                : "unknown command " + command + "\n")
            << Usage();
  return static_cast<int>(ExitCode::Usage);
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  return RunCommand({ aArguments + 1, aArguments + aCount });
}
