#include "endpoints/eventstream.h"

#include "endpoints/internal/jsonreader.h"

#include <limits>

namespace cuminslip::endpoints {

namespace {

auto
ReadPieceNumber(const JsonReader& aReader, std::string_view aKey)
  -> std::int64_t
{
  return ReadInteger(aReader,
                     aKey,
                     Presence::Required,
                     0,
                     std::numeric_limits<std::int32_t>::max());
}

auto
DecodeEvent(const EventStreamParser& aParser) -> StreamEvent
{
  if (!aParser.mEventName.empty()) {
    return StreamMalformed{ "event of an unknown kind" };
  }
  auto findings = Findings{};
  const auto object =
    ParseObject(aParser.mData, aParser.mMaxEventBytes, findings);
  if (!object) {
    return StreamMalformed{ FormatFinding(findings.mItems.front()) };
  }
  const auto reader = JsonReader{ &*object, "", &findings };
  const auto attempt =
    AttemptId{ ReadIdText(reader, "attempt", Presence::Required) };
  const auto isEnd = ReadFlag(reader, "end") == true;
  auto event = StreamEvent{};
  if (isEnd) {
    event = StreamEnd{
      attempt,
      ReadPieceNumber(reader, "pieces"),
      ReadText(reader, "reason", Presence::Optional, aParser.mMaxEventBytes)
    };
  } else {
    const auto number = ReadPieceNumber(reader, "piece");
    FindMember(reader, "text", Presence::Required);
    event = StreamPiece{
      attempt,
      number,
      ReadText(reader, "text", Presence::Optional, aParser.mMaxEventBytes)
    };
  }
  if (!IsEmpty(findings)) {
    return StreamMalformed{ FormatFinding(findings.mItems.front()) };
  }
  return event;
}

auto
FieldValue(std::string_view aLine, std::size_t aNameLength) -> std::string_view
{
  auto value = aLine.substr(std::min(aNameLength + 1, aLine.size()));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

auto
FinishEvent(EventStreamParser& aParser, std::vector<StreamEvent>& aEvents)
  -> void
{
  if (aParser.mHasData) {
    aEvents.push_back(DecodeEvent(aParser));
  }
  aParser.mData.clear();
  aParser.mEventName.clear();
  aParser.mHasData = false;
}

auto
TakeLine(EventStreamParser& aParser, std::vector<StreamEvent>& aEvents) -> void
{
  auto line = std::string_view(aParser.mLine);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    FinishEvent(aParser, aEvents);
    return;
  }
  const auto nameLength = std::min(line.find(':'), line.size());
  const auto name = line.substr(0, nameLength);
  const auto value = FieldValue(line, nameLength);
  if (name.empty()) {
    aEvents.emplace_back(StreamComment{ std::string(value) });
    return;
  }
  if (name == "event") {
    aParser.mEventName = value;
    return;
  }
  if (name != "data") {
    return;
  }
  if (aParser.mHasData) {
    aParser.mData += '\n';
  }
  aParser.mData += value;
  aParser.mHasData = true;
}

auto
FailOversized(EventStreamParser& aParser, std::vector<StreamEvent>& aEvents)
  -> void
{
  aParser.mHasFailed = true;
  aParser.mLine = {};
  aParser.mData = {};
  aParser.mHasData = false;
  aEvents.emplace_back(StreamMalformed{ "event larger than allowed" });
}

} // namespace

auto
ParseStreamBytes(EventStreamParser& aParser, std::string_view aBytes)
  -> std::vector<StreamEvent>
{
  auto events = std::vector<StreamEvent>{};
  while (!aBytes.empty() && !aParser.mHasFailed) {
    const auto lineBreak = aBytes.find('\n');
    const auto part = aBytes.substr(0, lineBreak);
    const auto size = part.size() + aParser.mLine.size() + aParser.mData.size();
    if (size > aParser.mMaxEventBytes) {
      FailOversized(aParser, events);
      break;
    }
    aParser.mLine += part;
    if (lineBreak == std::string_view::npos) {
      break;
    }
    TakeLine(aParser, events);
    aParser.mLine.clear();
    aBytes.remove_prefix(lineBreak + 1);
  }
  return events;
}

auto
HasPartialEvent(const EventStreamParser& aParser) -> bool
{
  return !aParser.mLine.empty() || aParser.mHasData;
}

} // namespace cuminslip::endpoints
