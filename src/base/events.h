#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

/// Numbered log events, written as JSON lines by Boost.Log. The catalogue is
/// docs/EVENTS.md. Prompt text, keys and answers are never field values.
namespace cuminslip {

enum class Severity : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error
};

/// A kind of event. Each module defines its own as inline constants named
/// k...Event with numbers from its own range; see docs/EVENTS.md.
struct Event
{
  int mNumber;
  std::string_view mName;
  Severity mSeverity;
};

/// One named value of an event.
struct EventField
{
  std::string_view mName;
  std::variant<std::string, std::int64_t, double, bool> mValue;

  EventField(std::string_view aName, std::string aValue);
  EventField(std::string_view aName, std::string_view aValue);
  EventField(std::string_view aName, const char* aValue);
  EventField(std::string_view aName, bool aValue);
  EventField(std::string_view aName, double aValue);
  EventField(std::string_view aName, std::int64_t aValue);
  EventField(std::string_view aName, std::uint64_t aValue);
  EventField(std::string_view aName, int aValue);
  EventField(std::string_view aName, unsigned aValue);
};

/// Sends log lines to aFile, or to standard output when it is empty. Lines
/// below aLowest are dropped. Call once, before other threads start.
auto
StartLog(const std::string& aInstance,
         const std::string& aFile,
         Severity aLowest) -> void;

/// Says how many lines were dropped before it, since the reader of standard
/// output was too slow.
inline constexpr auto kLogLinesDroppedEvent =
  Event{ 1007, "log_lines_dropped", Severity::Warning };

/// Writes the lines that still wait, and no more after them. Call once, when
/// other threads have stopped.
auto
StopLog() -> void;

/// Writes one line; nothing before StartLog. Never waits for the reader of
/// standard output: lines are dropped and counted instead. Thread safe.
auto
LogEvent(const Event& aEvent, std::initializer_list<EventField> aFields)
  -> void;

/// The JSON line of an event without time and instance, as LogEvent writes it.
auto
FormatEvent(const Event& aEvent, std::initializer_list<EventField> aFields)
  -> std::string;

} // namespace cuminslip
