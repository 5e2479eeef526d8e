#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splits a stream of server-sent events into complete events. Pure; not thread
/// safe.
namespace cuminslip::forwarding {

struct EventSplitter
{
  /// Bytes of the last, incomplete event.
  std::string mRest;
};

struct StreamEvent
{
  /// All bytes of the event, including the empty line at its end.
  std::string mBytes;
  /// Value of the id field, if it is a number.
  std::optional<std::uint64_t> mId;

  auto operator==(const StreamEvent&) const -> bool = default;
};

/// Appends the next bytes of the stream and returns the events that they
/// complete.
auto
SplitEvents(EventSplitter& aSplitter, std::string_view aPiece)
  -> std::vector<StreamEvent>;

/// Returns true if the bytes of the incomplete event are more than comments and
/// empty lines, so that a stream that ends here lost something.
auto
EndsInsideEvent(const EventSplitter& aSplitter) -> bool;

} // namespace cuminslip::forwarding
