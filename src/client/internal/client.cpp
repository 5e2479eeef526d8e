#include "client/client.h"

#include "client/internal/answers.h"
#include "client/internal/commands.h"
#include "client/internal/formatjson.h"
#include "client/internal/options.h"

#include <algorithm>
#include <array>

namespace cuminslip {

namespace {

using client::Options;
using client::Output;

/// A command with its words, as "template get", and its operand, if it has one.
struct Command
{
  std::string_view mWords;
  std::string_view mOperand;
  std::string_view mHelp;
  bool mNeedsInstance;
  ExitCode (*mRun)(const Options&, const Output&);
};

template<const char* kPath>
auto
Get(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  return client::RunFetch(aOptions, "GET", kPath, {}, aOutput);
}

constexpr auto kTemplatesPath = "/operator/v1/templates";
constexpr char kRevisionsPath[] = "/operator/v1/revisions";
constexpr auto kEndpointsPath = "/operator/v1/endpoints";
constexpr char kPlanPath[] = "/operator/v1/placement/plan";
constexpr char kStatusPath[] = "/operator/v1/status";

auto
RunTemplateList(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  return client::RunFetch(
    aOptions, "GET", kTemplatesPath, { "account", "revision" }, aOutput);
}

auto
RunEndpointList(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto columns = std::vector<std::string>{ "endpoint",
                                                 "kind",
                                                 "failure_domain",
                                                 "state",
                                                 "role",
                                                 "lane",
                                                 "ejected",
                                                 "models",
                                                 "load.running_streams",
                                                 "load.waiting_streams",
                                                 "load.free_kv_tokens",
                                                 "report_age_ms" };
  return client::RunFetch(aOptions, "GET", kEndpointsPath, columns, aOutput);
}

auto
RunHistory(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto path =
    std::string(kTemplatesPath) + "/" + aOptions.mWords.at(2) + "/history";
  return client::RunFetch(
    aOptions, "GET", path, { "account", "revision" }, aOutput);
}

auto
RunDrain(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto path =
    std::string(kEndpointsPath) + "/" + aOptions.mWords.at(2) + "/drain";
  return client::RunFetch(aOptions, "POST", path, {}, aOutput);
}

template<const char* kAction>
auto
ChangeMember(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto path =
    "/operator/v1/control/members/" + aOptions.mWords.at(2) + "/" + kAction;
  return client::RunFetch(aOptions, "POST", path, {}, aOutput);
}

constexpr char kAddAction[] = "add";
constexpr char kReplaceAction[] = "replace";
constexpr char kRemoveAction[] = "remove";

constexpr auto kCommands = std::array{
  Command{ "check",
           "FILE",
           "checks settings, a template or a routing document",
           false,
           client::RunCheck },
  Command{ "key-hash",
           "FILE",
           "prints the hash of the key in FILE (- for standard input)",
           false,
           client::RunKeyHash },
  Command{ "explain",
           "REQUEST",
           "tells what happened to a request, from logs",
           false,
           client::RunExplain },
  Command{ "template publish",
           "FILE",
           "publishes a template; --dry-run tells what would change",
           true,
           client::RunTemplatePublish },
  Command{ "template get",
           "ACCOUNT",
           "prints the template in force",
           true,
           client::RunTemplateGet },
  Command{ "template list",
           "",
           "lists templates with their revisions",
           true,
           RunTemplateList },
  Command{ "template history",
           "ACCOUNT",
           "lists earlier revisions",
           true,
           RunHistory },
  Command{ "template status",
           "",
           "lists the revision in force by instance",
           true,
           Get<kRevisionsPath> },
  Command{ "template diff",
           "FILE",
           "compares a file with the template in force",
           true,
           client::RunTemplateDiff },
  Command{ "endpoint list", "", "lists endpoints", true, RunEndpointList },
  Command{ "endpoint drain",
           "ENDPOINT",
           "gives an endpoint no new work",
           true,
           RunDrain },
  Command{ "placement plan",
           "",
           "lists orders that would be given, with reasons",
           true,
           Get<kPlanPath> },
  Command{ "control add",
           "INSTANCE",
           "adds a control instance named in the settings",
           true,
           ChangeMember<kAddAction> },
  Command{ "control replace",
           "INSTANCE",
           "puts an instance's present disk in place of its former one",
           true,
           ChangeMember<kReplaceAction> },
  Command{ "control remove",
           "INSTANCE",
           "removes a control instance",
           true,
           ChangeMember<kRemoveAction> },
  Command{ "status", "", "one-screen overview", true, Get<kStatusPath> },
};

constexpr auto kOptionsHelp = R"(
Options:
  -i, --instance IP:PORT[,...]   operator address; several are tried in turn
                                 (else CUMINSLIP_INSTANCES)
  -k, --key-file FILE            file with the operator key
                                 (else CUMINSLIP_KEY_FILE)
  -c, --trust FILE               TLS: authorities of the instances' certificates
                                 (else CUMINSLIP_TRUST)
  -j, --json                     output for scripts
  -a, --against FILE             check: the routing document in force, to compare
  -l, --log FILE                 explain: a log to read, may be repeated
                                 (else standard input)
  -t, --timeout-ms N             longest time for one attempt
  -d, --retry-delay-ms N         delay before the second attempt; it doubles
  -e, --expected-revision N      publish only over revision N (0: none yet)
  -r, --request-id ID            publish: makes a resend harmless
  -n, --dry-run                  publish: only tell what would change

Exit status: 0 ok, 1 failed, 2 wrong command line, 3 findings, 4 conflict,
5 refused, 6 not found, 7 unavailable and not done, 8 sent but not answered.
Check of a routing document: 0 nothing found, 1 warnings or differences only,
2 errors.
)";

auto
SplitWords(std::string_view aWords) -> std::vector<std::string>
{
  const auto space = aWords.find(' ');
  if (space == std::string_view::npos) {
    return { std::string(aWords) };
  }
  return { std::string(aWords.substr(0, space)),
           std::string(aWords.substr(space + 1)) };
}

auto
Matches(const Command& aCommand, const std::vector<std::string>& aWords) -> bool
{
  const auto words = SplitWords(aCommand.mWords);
  const auto operands = aCommand.mOperand.empty() ? 0U : 1U;
  return aWords.size() == words.size() + operands &&
         std::equal(words.begin(), words.end(), aWords.begin());
}

auto
FindCommand(const std::vector<std::string>& aWords) -> const Command*
{
  const auto* it =
    std::find_if(kCommands.begin(), kCommands.end(), [&](const auto& aCommand) {
      return Matches(aCommand, aWords);
    });
  return it == kCommands.end() ? nullptr : it;
}

auto
CheckAccess(const Options& aOptions, std::ostream& aErr) -> bool
{
  if (aOptions.mInstances.empty()) {
    aErr << "no instance; expected --instance IP:PORT or "
            "CUMINSLIP_INSTANCES\n";
  }
  if (aOptions.mKey.empty()) {
    aErr << "no key; expected --key-file FILE or CUMINSLIP_KEY_FILE\n";
  }
  return !aOptions.mInstances.empty() && !aOptions.mKey.empty();
}

} // namespace

namespace client {

auto
RunFetch(const Options& aOptions,
         const std::string& aMethod,
         const std::string& aPath,
         const std::vector<std::string>& aColumns,
         const Output& aOutput) -> ExitCode
{
  const auto answer = CallOperator(aOptions, aMethod, aPath, "");
  if (!IsSuccess(answer)) {
    return ReportFailure(aOptions, answer, aOutput);
  }
  if (aOptions.mIsJson) {
    *aOutput.mOut << answer.mResponse.mBody << "\n";
  } else {
    *aOutput.mOut << FormatForPeople(ParseBody(answer.mResponse), aColumns);
  }
  return ExitCode::Ok;
}

} // namespace client

auto
IsClientCommand(std::string_view aCommand) -> bool
{
  return std::any_of(
    kCommands.begin(), kCommands.end(), [&](const auto& aOther) {
      return SplitWords(aOther.mWords).front() == aCommand;
    });
}

auto
ClientUsage() -> std::string
{
  constexpr auto kHelpColumn = std::size_t{ 30 };
  auto text = std::string("Commands:\n");
  for (const auto& command : kCommands) {
    auto line = "  " + std::string(command.mWords);
    if (!command.mOperand.empty()) {
      line += " " + std::string(command.mOperand);
    }
    line.resize(std::max(line.size() + 1, kHelpColumn), ' ');
    text += line + std::string(command.mHelp) + "\n";
  }
  return text + kOptionsHelp;
}

auto
RunClientCommand(const std::vector<std::string>& aArguments,
                 std::ostream& aOut,
                 std::ostream& aErr,
                 const routingcheck::RoutingFormat& aFormat) -> ExitCode
{
  auto options =
    CollectOutcome<Options>([&] { return client::ParseOptions(aArguments); });
  if (!options.mValue) {
    aErr << FormatFindings(options.mFindings);
    return ExitCode::Usage;
  }
  options.mValue->mRoutingFormat = &aFormat;
  if (options.mValue->mWantsHelp) {
    aOut << ClientUsage();
    return ExitCode::Ok;
  }
  const auto* command = FindCommand(options.mValue->mWords);
  if (command == nullptr) {
    aErr << "unknown command or wrong operands\n" << ClientUsage();
    return ExitCode::Usage;
  }
  if (command->mNeedsInstance && !CheckAccess(*options.mValue, aErr)) {
    return ExitCode::Usage;
  }
  return command->mRun(*options.mValue, { &aOut, &aErr });
}

} // namespace cuminslip
