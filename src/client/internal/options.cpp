#include "client/internal/options.h"

#include <popt.h>

#include <array>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace cuminslip::client {

namespace {

constexpr auto kInstancesVariable = "CUMINSLIP_INSTANCES";
constexpr auto kTrustVariable = "CUMINSLIP_TRUST";
constexpr auto kKeyFileVariable = "CUMINSLIP_KEY_FILE";

enum OptionValue
{
  InstanceOption = 1,
  KeyFileOption,
  TrustOption,
  AgainstOption,
  LogOption,
  JsonOption,
  DryRunOption,
  ExpectedRevisionOption,
  RequestIdOption,
  TimeoutOption,
  RetryDelayOption,
  HelpOption
};

constexpr auto
TextOption(const char* aName, char aShort, OptionValue aValue) -> poptOption
{
  return { aName, aShort, POPT_ARG_STRING, nullptr, aValue, nullptr, nullptr };
}

constexpr auto
Flag(const char* aName, char aShort, OptionValue aValue) -> poptOption
{
  return { aName, aShort, POPT_ARG_NONE, nullptr, aValue, nullptr, nullptr };
}

constexpr auto kOptionTable = std::array{
  TextOption("instance", 'i', InstanceOption),
  TextOption("key-file", 'k', KeyFileOption),
  TextOption("trust", 'c', TrustOption),
  TextOption("against", 'a', AgainstOption),
  TextOption("log", 'l', LogOption),
  Flag("json", 'j', JsonOption),
  Flag("dry-run", 'n', DryRunOption),
  TextOption("expected-revision", 'e', ExpectedRevisionOption),
  TextOption("request-id", 'r', RequestIdOption),
  TextOption("timeout-ms", 't', TimeoutOption),
  TextOption("retry-delay-ms", 'd', RetryDelayOption),
  Flag("help", 'h', HelpOption),
  poptOption{},
};

struct ContextDeleter
{
  auto operator()(poptContext aContext) const -> void
  {
    poptFreeContext(aContext);
  }
};
using ContextPtr =
  std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

auto
AddUsageFinding(Findings& aFindings,
                const std::string& aOption,
                const std::string& aProblem,
                const std::string& aExpected) -> void
{
  AddFinding(aFindings, { {}, aOption, aProblem, aExpected });
}

auto
AddInstances(Options& aOptions, const std::string& aText, Findings& aFindings)
  -> void
{
  auto list = std::istringstream(aText);
  for (auto item = std::string{}; std::getline(list, item, ',');) {
    const auto address = wire::ParseAddress(item);
    if (address) {
      aOptions.mInstances.push_back(*address);
    } else {
      AddUsageFinding(
        aFindings, "--instance", "is \"" + item + "\"", "IP:PORT");
    }
  }
}

auto
ParseCount(const std::string& aOption,
           const std::string& aText,
           Findings& aFindings) -> std::uint64_t
{
  auto value = std::uint64_t{ 0 };
  const auto* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc{} || rest != end) {
    AddUsageFinding(
      aFindings, aOption, "is \"" + aText + "\"", "a whole number");
  }
  return value;
}

auto
ApplyOption(Options& aOptions,
            int aOption,
            const std::string& aText,
            Findings& aFindings) -> void
{
  switch (aOption) {
    case InstanceOption:
      AddInstances(aOptions, aText, aFindings);
      return;
    case KeyFileOption:
      aOptions.mKeyFile = aText;
      return;
    case TrustOption:
      aOptions.mTrustFile = aText;
      return;
    case AgainstOption:
      aOptions.mAgainstFile = aText;
      return;
    case LogOption:
      aOptions.mLogFiles.push_back(aText);
      return;
    case JsonOption:
      aOptions.mIsJson = true;
      return;
    case DryRunOption:
      aOptions.mIsDryRun = true;
      return;
    case ExpectedRevisionOption:
      aOptions.mExpectedRevision =
        ParseCount("--expected-revision", aText, aFindings);
      return;
    case RequestIdOption:
      aOptions.mRequestId = aText;
      return;
    case TimeoutOption:
      aOptions.mRetry.mAttemptTimeout =
        Millis(ParseCount("--timeout-ms", aText, aFindings));
      return;
    case RetryDelayOption:
      aOptions.mRetry.mFirstDelay =
        Millis(ParseCount("--retry-delay-ms", aText, aFindings));
      return;
    default:
      aOptions.mWantsHelp = true;
  }
}

auto
TakeOptionText(poptContext aContext) -> std::string
{
  auto* text = poptGetOptArg(aContext);
  if (text == nullptr) {
    return {};
  }
  auto copy = std::string(text);
  std::free(text);
  return copy;
}

auto
ReadVariable(const char* aName) -> std::string
{
  const auto* value = std::getenv(aName);
  return value == nullptr ? std::string{} : std::string(value);
}

auto
ReadKey(const std::string& aPath, Findings& aFindings) -> std::string
{
  auto file = std::ifstream(aPath);
  auto key = std::string{};
  if (!(file >> key)) {
    AddUsageFinding(
      aFindings, "--key-file", aPath + " can't be read", "a file with a key");
  }
  return key;
}

auto
ReadTrust(const std::string& aPath, Findings& aFindings) -> wire::TlsContextPtr
{
  const auto outcome = CollectOutcome<wire::TlsContextPtr>(
    [&] { return wire::LoadClientTls(aPath); });
  for (const auto& finding : outcome.mFindings.mItems) {
    AddFinding(aFindings, finding);
  }
  return outcome.mValue.value_or(nullptr);
}

auto
ApplyDefaults(Options& aOptions, Findings& aFindings) -> void
{
  if (aOptions.mInstances.empty()) {
    AddInstances(aOptions, ReadVariable(kInstancesVariable), aFindings);
  }
  if (aOptions.mKeyFile.empty()) {
    aOptions.mKeyFile = ReadVariable(kKeyFileVariable);
  }
  if (aOptions.mTrustFile.empty()) {
    aOptions.mTrustFile = ReadVariable(kTrustVariable);
  }
  if (!aOptions.mTrustFile.empty()) {
    aOptions.mTls = ReadTrust(aOptions.mTrustFile, aFindings);
  }
  if (!aOptions.mKeyFile.empty()) {
    aOptions.mKey = ReadKey(aOptions.mKeyFile, aFindings);
  }
}

auto
ReadWords(poptContext aContext) -> std::vector<std::string>
{
  auto words = std::vector<std::string>{};
  while (const auto* word = poptGetArg(aContext)) {
    words.emplace_back(word);
  }
  return words;
}

} // namespace

auto
ParseOptions(const std::vector<std::string>& aArguments)
  -> leaf::result<Options>
{
  auto arguments = std::vector<const char*>{ "cuminslip" };
  for (const auto& argument : aArguments) {
    arguments.push_back(argument.c_str());
  }
  arguments.push_back(nullptr);
  const auto context =
    ContextPtr(poptGetContext("cuminslip",
                              static_cast<int>(arguments.size()) - 1,
                              arguments.data(),
                              kOptionTable.data(),
                              0));
  auto options = Options{};
  auto findings = Findings{};
  auto option = 0;
  while ((option = poptGetNextOpt(context.get())) > 0) {
    ApplyOption(options, option, TakeOptionText(context.get()), findings);
  }
  if (option < -1) {
    AddUsageFinding(findings,
                    poptBadOption(context.get(), POPT_BADOPTION_NOALIAS),
                    poptStrerror(option),
                    "an option that --help lists");
  }
  options.mWords = ReadWords(context.get());
  ApplyDefaults(options, findings);
  if (!IsEmpty(findings)) {
    return leaf::new_error(findings);
  }
  return options;
}

} // namespace cuminslip::client
