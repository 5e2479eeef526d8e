#include "program/ask.h"

#include "documents/readfile.h"
#include "wire/eventloop.h"
#include "wire/httpclient.h"

#include <boost/json.hpp>
#include <popt.h>

#include <memory>
#include <optional>
#include <ostream>

namespace cuminslip::program {

namespace {

namespace json = boost::json;

constexpr auto kExitFailed = 1;
constexpr auto kExitUsage = 2;
constexpr auto kDefaultMaxTokens = 32;
constexpr auto kTimeout = Seconds(24 * 3600);
constexpr auto kRound = Millis(100);

struct AskOptions
{
  wire::SocketAddress mAddress;
  std::string mKey;
  std::string mModel;
  std::string mKind;
  std::string mPrompt;
  int mMaxTokens = kDefaultMaxTokens;
};

/// Texts that popt allocates.
struct RawOptions
{
  char* mAddress = nullptr;
  char* mKeyFile = nullptr;
  char* mModel = nullptr;
  char* mKind = nullptr;
  char* mPrompt = nullptr;
  char* mPromptFile = nullptr;
  int mMaxTokens = kDefaultMaxTokens;
};

auto
TakeText(char* aText) -> std::string
{
  const auto owner = std::unique_ptr<char, decltype(&free)>(aText, free);
  return aText == nullptr ? std::string{} : std::string(aText);
}

/// The file's text; problems go to aErrors.
auto
ReadOrReport(const std::string& aPath, std::ostream& aErrors)
  -> std::optional<std::string>
{
  const auto outcome =
    CollectOutcome<std::string>([&] { return documents::ReadFile(aPath); });
  aErrors << FormatFindings(outcome.mFindings);
  return outcome.mValue;
}

auto
Trim(std::string aText) -> std::string
{
  while (!aText.empty() &&
         std::isspace(static_cast<unsigned char>(aText.back()))) {
    aText.pop_back();
  }
  return aText;
}

auto
FinishOptions(RawOptions aRaw, std::ostream& aErrors)
  -> std::optional<AskOptions>
{
  const auto address = TakeText(aRaw.mAddress);
  const auto keyFile = TakeText(aRaw.mKeyFile);
  const auto promptFile = TakeText(aRaw.mPromptFile);
  auto options = AskOptions{};
  options.mModel = TakeText(aRaw.mModel);
  options.mKind = TakeText(aRaw.mKind);
  options.mPrompt = TakeText(aRaw.mPrompt);
  options.mMaxTokens = aRaw.mMaxTokens;
  const auto parsed = wire::ParseAddress(address);
  const auto key =
    keyFile.empty() ? std::nullopt : ReadOrReport(keyFile, aErrors);
  if (!promptFile.empty()) {
    const auto prompt = ReadOrReport(promptFile, aErrors);
    if (!prompt) {
      return std::nullopt;
    }
    options.mPrompt = *prompt;
  }
  if (!parsed || !key || options.mModel.empty() || options.mPrompt.empty()) {
    aErrors << "ask needs --address IP:PORT, --key-file FILE, --model NAME and "
               "--prompt TEXT or --prompt-file FILE\n";
    return std::nullopt;
  }
  options.mAddress = *parsed;
  options.mKey = Trim(*key);
  return options;
}

auto
ParseOptions(const std::vector<std::string>& aArguments, std::ostream& aErrors)
  -> std::optional<AskOptions>
{
  auto raw = RawOptions{};
  const auto table = std::vector<poptOption>{
    { "address",
      'a',
      POPT_ARG_STRING,
      &raw.mAddress,
      0,
      "caller address",
      "IP:PORT" },
    { "key-file",
      'k',
      POPT_ARG_STRING,
      &raw.mKeyFile,
      0,
      "file with the caller key",
      "FILE" },
    { "model", 'm', POPT_ARG_STRING, &raw.mModel, 0, "model", "NAME" },
    { "kind", 0, POPT_ARG_STRING, &raw.mKind, 0, "kind of work", "NAME" },
    { "prompt", 'p', POPT_ARG_STRING, &raw.mPrompt, 0, "prompt", "TEXT" },
    { "prompt-file",
      'f',
      POPT_ARG_STRING,
      &raw.mPromptFile,
      0,
      "file with the prompt",
      "FILE" },
    { "max-tokens",
      0,
      POPT_ARG_INT,
      &raw.mMaxTokens,
      0,
      "longest answer",
      "COUNT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto words = std::vector<const char*>{ "cuminslip ask" };
  for (auto i = std::size_t{ 1 }; i < aArguments.size(); ++i) {
    words.push_back(aArguments[i].c_str());
  }
  auto* context = poptGetContext(
    nullptr, static_cast<int>(words.size()), words.data(), table.data(), 0);
  const auto result = poptGetNextOpt(context);
  const auto problem = std::string(poptStrerror(result));
  poptFreeContext(context);
  if (result < -1) {
    aErrors << "ask: " << problem << "\n";
    return std::nullopt;
  }
  return FinishOptions(raw, aErrors);
}

auto
BuildCall(const AskOptions& aOptions) -> wire::HttpCall
{
  auto call = wire::HttpCall{};
  call.mAddress = aOptions.mAddress;
  call.mTimeout = kTimeout;
  call.mRequest.mMethod = "POST";
  call.mRequest.mPath = "/v1/completions";
  call.mRequest.mHeaders = { { "authorization", "Bearer " + aOptions.mKey },
                             { "content-type", "application/json" } };
  if (!aOptions.mKind.empty()) {
    call.mRequest.mHeaders.push_back({ "x-cuminslip-kind", aOptions.mKind });
  }
  call.mRequest.mBody =
    json::serialize(json::object{ { "model", aOptions.mModel },
                                  { "prompt", aOptions.mPrompt },
                                  { "max_tokens", aOptions.mMaxTokens },
                                  { "stream", true } });
  return call;
}

/// What has come of an answer.
struct AnswerReader
{
  int mStatus = 0;
  std::string mBuffer;
  bool mIsComplete = false;
  std::optional<TimePoint> mFirstToken;
  std::int64_t mTokens = 0;
};

auto
ReadLine(AnswerReader& aReader, const std::string& aLine, std::ostream& aOut)
  -> void
{
  constexpr auto kData = std::string_view("data: ");
  if (!aLine.starts_with(kData)) {
    return;
  }
  const auto text = aLine.substr(kData.size());
  if (text == "[DONE]") {
    aReader.mIsComplete = true;
    return;
  }
  auto ec = json::error_code{};
  const auto value = json::parse(text, ec);
  const auto* piece = ec ? nullptr : value.find_pointer("/choices/0/text", ec);
  if (piece == nullptr || !piece->is_string()) {
    aOut << "\n" << text << "\n";
    return;
  }
  if (piece->as_string().empty()) {
    return;
  }
  if (!aReader.mFirstToken) {
    aReader.mFirstToken = MonotonicNow();
  }
  ++aReader.mTokens;
  aOut << piece->as_string().c_str() << std::flush;
}

auto
ReadBytes(AnswerReader& aReader, std::string_view aBytes, std::ostream& aOut)
  -> void
{
  aReader.mBuffer += aBytes;
  if (aReader.mStatus != 200) {
    return;
  }
  auto end = aReader.mBuffer.find('\n');
  while (end != std::string::npos) {
    ReadLine(aReader, aReader.mBuffer.substr(0, end), aOut);
    aReader.mBuffer.erase(0, end + 1);
    end = aReader.mBuffer.find('\n');
  }
}

auto
Report(const AnswerReader& aReader, TimePoint aStart, std::ostream& aOut) -> int
{
  if (!aReader.mIsComplete) {
    aOut << aReader.mBuffer << "\n[incomplete: status " << aReader.mStatus
         << "]\n";
    return kExitFailed;
  }
  const auto now = MonotonicNow();
  const auto first = aReader.mFirstToken.value_or(now);
  aOut << "\n[" << aReader.mTokens << " tokens; first after "
       << MillisBetween(aStart, first).count() << " ms, all after "
       << MillisBetween(aStart, now).count() << " ms]\n";
  return 0;
}

} // namespace

auto
RunAsk(const std::vector<std::string>& aArguments,
       std::ostream& aOut,
       std::ostream& aErrors) -> int
{
  const auto options = ParseOptions(aArguments, aErrors);
  if (!options) {
    return kExitUsage;
  }
  const auto loop = wire::CreateEventLoop();
  const auto client = wire::CreateHttpClient(*loop);
  auto reader = AnswerReader{};
  auto isEnded = false;
  auto handlers = wire::CallHandlers{};
  handlers.mOnHead = [&](int aStatus, const wire::Headers&) {
    reader.mStatus = aStatus;
  };
  handlers.mOnPiece = [&](std::string_view aBytes) {
    ReadBytes(reader, aBytes, aOut);
  };
  handlers.mOnEnd = [&](wire::CallEnd) { isEnded = true; };
  const auto start = MonotonicNow();
  wire::StartCall(*client, BuildCall(*options), std::move(handlers));
  while (!isEnded) {
    wire::RunLoopOnce(*loop, kRound);
  }
  return Report(reader, start, aOut);
}

} // namespace cuminslip::program
