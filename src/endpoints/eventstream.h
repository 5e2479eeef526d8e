#pragma once

#include "endpoints/types/streamevent.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// Incremental parser of an engine's server-sent events.
namespace cuminslip::endpoints {

inline constexpr std::size_t kMaxStreamEventBytes = std::size_t{ 64 } * 1024;

/// State of one stream's parser; holds at most mMaxEventBytes of text. Not
/// thread safe.
struct EventStreamParser
{
  std::size_t mMaxEventBytes = kMaxStreamEventBytes;
  std::string mLine;
  std::string mData;
  std::string mEventName;
  bool mHasData = false;
  /// Set when an event exceeds mMaxEventBytes; later bytes are not parsed.
  bool mHasFailed = false;
};

/// Parses the next bytes, which may be split anywhere, and returns the complete
/// events.
auto
ParseStreamBytes(EventStreamParser& aParser, std::string_view aBytes)
  -> std::vector<StreamEvent>;

/// True if part of an event is buffered. If no more bytes come, the stream was
/// truncated there.
auto
HasPartialEvent(const EventStreamParser& aParser) -> bool;

} // namespace cuminslip::endpoints
