#include "forwarding/eventsplitter.h"

#include <charconv>

namespace cuminslip::forwarding {

namespace {

/// Returns the position after the empty line that ends the first event, or
/// npos. Searches from aFrom.
auto
FindEventEnd(std::string_view aBytes, std::size_t aFrom) -> std::size_t
{
  for (auto i = aBytes.find('\n', aFrom); i != std::string_view::npos;
       i = aBytes.find('\n', i + 1)) {
    const auto rest = aBytes.substr(i + 1);
    if (rest.starts_with('\n')) {
      return i + 2;
    }
    if (rest.starts_with("\r\n")) {
      return i + 3;
    }
  }
  return std::string_view::npos;
}

auto
ReadEventId(std::string_view aEvent) -> std::optional<std::uint64_t>
{
  constexpr auto kField = std::string_view("id:");
  auto id = std::optional<std::uint64_t>{};
  for (auto begin = std::size_t{ 0 }; begin < aEvent.size();) {
    const auto end = std::min(aEvent.find('\n', begin), aEvent.size());
    auto line = aEvent.substr(begin, end - begin);
    begin = end + 1;
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    auto number = std::uint64_t{ 0 };
    const auto [rest, ec] =
      std::from_chars(line.data(), line.data() + line.size(), number);
    if (ec == std::errc{}) {
      id = number;
    }
  }
  return id;
}

} // namespace

auto
SplitEvents(EventSplitter& aSplitter, std::string_view aPiece)
  -> std::vector<StreamEvent>
{
  // NOTE: the empty line may start in the bytes of the previous pieces.
  constexpr auto kOverlap = std::size_t{ 3 };
  auto from = aSplitter.mRest.size() > kOverlap
                ? aSplitter.mRest.size() - kOverlap
                : std::size_t{ 0 };
  aSplitter.mRest += aPiece;
  auto events = std::vector<StreamEvent>{};
  auto begin = std::size_t{ 0 };
  while (true) {
    const auto end = FindEventEnd(aSplitter.mRest, std::max(from, begin));
    if (end == std::string_view::npos) {
      break;
    }
    auto bytes = aSplitter.mRest.substr(begin, end - begin);
    const auto id = ReadEventId(bytes);
    events.push_back({ std::move(bytes), id });
    begin = end;
    from = end;
  }
  aSplitter.mRest.erase(0, begin);
  return events;
}

auto
EndsInsideEvent(const EventSplitter& aSplitter) -> bool
{
  auto rest = std::string_view(aSplitter.mRest);
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    if (end == std::string_view::npos) {
      return true;
    }
    const auto line = rest.substr(0, end);
    if (!line.empty() && line != "\r" && !line.starts_with(':')) {
      return true;
    }
    rest.remove_prefix(end + 1);
  }
  return false;
}

} // namespace cuminslip::forwarding
