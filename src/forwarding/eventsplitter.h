#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Cuts a stream of server-sent events into whole events. Pure; not thread
/// safe.
namespace cuminslip::forwarding {

struct EventSplitter
{
  /// Bytes of an event that has not ended yet.
  std::string mRest;
};

struct StreamEvent
{
  /// All bytes of the event, the empty line at its end included.
  std::string mBytes;
  /// The number in its id field.
  std::optional<std::uint64_t> mId;

  auto operator==(const StreamEvent&) const -> bool = default;
};

/// Takes the next piece and returns the events that it completes.
auto
SplitEvents(EventSplitter& aSplitter, std::string_view aPiece)
  -> std::vector<StreamEvent>;

} // namespace cuminslip::forwarding
