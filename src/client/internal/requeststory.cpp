#include "client/requeststory.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace cuminslip::client {

namespace {

namespace json = boost::json;

/// Fields that a story line has members for, or that say nothing in it.
constexpr auto kOwnFields =
  std::array<std::string_view, 6>{ "time_ms", "instance", "name",
                                   "event",   "severity", "request" };

struct ParsedLine
{
  StoryLine mLine;
  json::object mFields;
};

auto
TextOf(const json::object& aFields, std::string_view aName) -> std::string
{
  const auto* value = aFields.if_contains(aName);
  if (value == nullptr) {
    return "?";
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

auto
ParseLine(json::object aFields) -> ParsedLine
{
  auto line = StoryLine{};
  const auto* time = aFields.if_contains("time_ms");
  line.mTimeMillis = time && time->is_int64() ? time->get_int64() : 0;
  line.mInstance = TextOf(aFields, "instance");
  line.mName = TextOf(aFields, "name");
  for (const auto& [name, value] : aFields) {
    const auto key = std::string_view(name);
    if (std::find(kOwnFields.begin(), kOwnFields.end(), key) !=
        kOwnFields.end()) {
      continue;
    }
    line.mFields += (line.mFields.empty() ? "" : " ") + std::string(key) + "=" +
                    TextOf(aFields, key);
  }
  return { std::move(line), std::move(aFields) };
}

/// Returns true for the end of a request at the instance that it was sent
/// through: the caller knows only that of the first one.
auto
IsForOther(const json::object& aFields) -> bool
{
  const auto* relayed = aFields.if_contains("relayed");
  return relayed != nullptr && relayed->is_bool() && relayed->as_bool();
}

auto
FindLast(const std::vector<ParsedLine>& aLines, std::string_view aName)
  -> const json::object*
{
  const auto it =
    std::find_if(aLines.rbegin(), aLines.rend(), [&](const auto& aItem) {
      return aItem.mLine.mName == aName && !IsForOther(aItem.mFields);
    });
  return it == aLines.rend() ? nullptr : &it->mFields;
}

/// The failed sending behind an end, if there was one.
auto
FailedSend(const std::vector<ParsedLine>& aLines) -> std::string
{
  const auto* failed = FindLast(aLines, "forward_send_failed");
  if (failed == nullptr) {
    return {};
  }
  return "; at " + TextOf(*failed, "endpoint") + ": " +
         TextOf(*failed, "reason") + " " + TextOf(*failed, "sent_ms_ago") +
         " ms after it was sent (ran: " + TextOf(*failed, "ran") + ")";
}

auto
DeliveredCause(const std::vector<ParsedLine>& aLines,
               const json::object& aDelivered) -> std::string
{
  auto cause = "answered by " + TextOf(aDelivered, "endpoint") +
               " with status " + TextOf(aDelivered, "status") + " after " +
               TextOf(aDelivered, "total_ms") + " ms";
  if (TextOf(aDelivered, "events") != "0") {
    cause += ", first event after " + TextOf(aDelivered, "first_event_ms") +
             " ms, longest pause " + TextOf(aDelivered, "longest_pause_ms") +
             " ms";
  }
  if (const auto* placed = FindLast(aLines, "forward_placed")) {
    cause += "; placed " + TextOf(*placed, "reason");
    if (placed->contains("first_event_ms")) {
      cause += ", predicted " + TextOf(*placed, "first_event_ms") + " ms";
    }
  }
  if (const auto* given = FindLast(aLines, "claim_given_up")) {
    cause += "; other instances took its engines, " + TextOf(*given, "claims") +
             " times over";
  }
  if (FindLast(aLines, "forward_waits") != nullptr) {
    cause += "; it had waited for engines";
  }
  if (const auto* relayed = FindLast(aLines, "forward_relayed")) {
    cause += "; sent through " + TextOf(*relayed, "relay");
  }
  return cause + FailedSend(aLines);
}

/// Returns a number of milliseconds of a log line, or -1.
auto
NumberOf(const json::object& aFields, std::string_view aName) -> double
{
  const auto* value = aFields.if_contains(aName);
  return value != nullptr && value->is_number() ? value->to_number<double>()
                                                : -1;
}

/// Tells what would have had to be different for a long prompt that was refused
/// by a forecast of free engines; empty for other refusals.
auto
ForecastCause(const json::object& aRefused) -> std::string
{
  const auto engines = NumberOf(aRefused, "engines");
  const auto ahead = NumberOf(aRefused, "work_ahead_ms");
  if (engines < 0 || ahead < 0) {
    return {};
  }
  const auto busy = NumberOf(aRefused, "engines_busy_ms");
  const auto start = std::lround(busy + ahead / std::max(engines, 1.0));
  const auto startBy = NumberOf(aRefused, "start_by_ms");
  const auto needed =
    startBy < 0 ? std::string("its prefill alone exceeded the time it had left")
                : "it would have waited if it could start after at most " +
                    TextOf(aRefused, "start_by_ms") + " ms";
  return "; it needed " + TextOf(aRefused, "engine_ms") + " engine ms, with " +
         TextOf(aRefused, "work_ahead_ms") + " engine ms ahead of it on " +
         TextOf(aRefused, "engines") +
         " engines, and would have started after " + std::to_string(start) +
         " ms; " + needed;
}

auto
TellCause(const std::vector<ParsedLine>& aLines) -> std::string
{
  if (const auto* it = FindLast(aLines, "forward_delivered")) {
    return DeliveredCause(aLines, *it);
  }
  if (const auto* it = FindLast(aLines, "forward_refused")) {
    return "refused, and has not run: " + TextOf(*it, "reason") + " after " +
           TextOf(*it, "age_ms") + " ms, with routing version " +
           TextOf(*it, "version") + ForecastCause(*it) + FailedSend(aLines);
  }
  if (const auto* it = FindLast(aLines, "forward_cut")) {
    return "cut after " + TextOf(*it, "events") +
           " events: " + TextOf(*it, "reason") + FailedSend(aLines);
  }
  if (const auto* it = FindLast(aLines, "forward_failed")) {
    return "failed, and may have run: " + TextOf(*it, "reason") + " after " +
           TextOf(*it, "age_ms") + " ms" + FailedSend(aLines);
  }
  if (const auto* it = FindLast(aLines, "forward_caller_gone")) {
    return "the caller left after " + TextOf(*it, "age_ms") + " ms and " +
           TextOf(*it, "events") + " events, while " + TextOf(*it, "endpoint") +
           " had it" + FailedSend(aLines);
  }
  return aLines.empty()
           ? "no line: it reached no process whose log this is, or its lines "
             "are missing"
           : "no end: the process ended first, or its last lines are missing";
}

} // namespace

auto
TellRequest(std::string_view aLog, std::string_view aRequest) -> RequestStory
{
  auto story = RequestStory{};
  auto lines = std::vector<ParsedLine>{};
  while (!aLog.empty()) {
    const auto end = std::min(aLog.find('\n'), aLog.size());
    const auto text = aLog.substr(0, end);
    aLog.remove_prefix(std::min(end + 1, aLog.size()));
    if (text.empty()) {
      continue;
    }
    auto ec = json::error_code{};
    const auto value = json::parse(text, ec);
    if (ec || !value.is_object()) {
      ++story.mUnreadable;
      continue;
    }
    if (TextOf(value.get_object(), "request") == aRequest) {
      lines.push_back(ParseLine(value.get_object()));
    }
  }
  std::stable_sort(
    lines.begin(), lines.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mLine.mTimeMillis < aRight.mLine.mTimeMillis;
    });
  story.mCause = TellCause(lines);
  for (auto& it : lines) {
    story.mLines.push_back(std::move(it.mLine));
  }
  return story;
}

} // namespace cuminslip::client
