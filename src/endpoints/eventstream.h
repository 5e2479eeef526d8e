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
  /// Set once an event was too large; nothing is parsed after that.
  bool mHasFailed = false;
};

/// Parses the next bytes, cut anywhere, and returns the events that are whole.
auto
ParseStreamBytes(EventStreamParser& aParser, std::string_view aBytes)
  -> std::vector<StreamEvent>;

/// True if bytes of an unfinished event are waiting: the stream was cut there
/// when no more bytes come.
auto
HasPartialEvent(const EventStreamParser& aParser) -> bool;

} // namespace cuminslip::endpoints
