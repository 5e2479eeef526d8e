#include "client/internal/answers.h"
#include "client/internal/commands.h"
#include "client/requeststory.h"
#include "documents/readfile.h"

#include <boost/json.hpp>

#include <iostream>
#include <iterator>

namespace cuminslip::client {

namespace {

namespace json = boost::json;

/// All logs named, or standard input. Fails with Findings.
auto
ReadLogs(const std::vector<std::string>& aFiles) -> leaf::result<std::string>
{
  if (aFiles.empty()) {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  auto logs = std::string{};
  for (const auto& it : aFiles) {
    BOOST_LEAF_AUTO(text, documents::ReadFile(it));
    logs += text + "\n";
  }
  return logs;
}

auto
ToJson(const RequestStory& aStory) -> std::string
{
  auto lines = json::array{};
  for (const auto& it : aStory.mLines) {
    lines.push_back(json::object{ { "time_ms", it.mTimeMillis },
                                  { "instance", it.mInstance },
                                  { "name", it.mName },
                                  { "fields", it.mFields } });
  }
  return json::serialize(json::object{ { "lines", lines },
                                       { "unreadable", aStory.mUnreadable },
                                       { "cause", aStory.mCause } });
}

auto
PrintForPeople(const RequestStory& aStory, std::ostream& aOut) -> void
{
  for (const auto& it : aStory.mLines) {
    aOut << "+" << it.mTimeMillis - aStory.mLines.front().mTimeMillis << " ms "
         << it.mInstance << " " << it.mName << " " << it.mFields << "\n";
  }
  if (aStory.mUnreadable > 0) {
    aOut << aStory.mUnreadable << " lines could not be read\n";
  }
  aOut << aStory.mCause << "\n";
}

} // namespace

auto
RunExplain(const Options& aOptions, const Output& aOutput) -> ExitCode
{
  const auto logs =
    CollectOutcome<std::string>([&] { return ReadLogs(aOptions.mLogFiles); });
  if (!logs.mValue) {
    return ReportFindings(aOptions, logs.mFindings, aOutput);
  }
  const auto story = TellRequest(*logs.mValue, aOptions.mWords.at(1));
  if (aOptions.mIsJson) {
    *aOutput.mOut << ToJson(story) << "\n";
  } else {
    PrintForPeople(story, *aOutput.mOut);
  }
  return story.mLines.empty() ? ExitCode::NotFound : ExitCode::Ok;
}

} // namespace cuminslip::client
