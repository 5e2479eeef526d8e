#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Tells what happened to one request from the log lines of all processes.
/// Pure.
namespace cuminslip::client {

/// A log line about the request.
struct StoryLine
{
  std::int64_t mTimeMillis = 0;
  std::string mInstance;
  std::string mName;
  /// The other fields, as "endpoint=e1 reason=packed".
  std::string mFields;

  auto operator==(const StoryLine&) const -> bool = default;
};

struct RequestStory
{
  /// In the order of time.
  std::vector<StoryLine> mLines;
  /// How it ended and why, in one sentence.
  std::string mCause;
  /// Lines read that are no log lines.
  std::size_t mUnreadable = 0;

  auto operator==(const RequestStory&) const -> bool = default;
};

/// Reads log lines, one JSON object each, and picks those of aRequest. Thread
/// safe.
auto
TellRequest(std::string_view aLog, std::string_view aRequest) -> RequestStory;

} // namespace cuminslip::client
