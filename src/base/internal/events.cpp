#include "base/events.h"

#include <boost/core/null_deleter.hpp>
#include <boost/json.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <string>

namespace cuminslip {

namespace {

namespace json = boost::json;
namespace logging = boost::log;

using Logger = logging::sources::severity_logger_mt<int>;

BOOST_LOG_ATTRIBUTE_KEYWORD(SeverityAttribute, "Severity", int)

auto
InstanceName() -> std::string&
{
  static auto sName = std::string{};
  return sName;
}

auto
IsLogStarted() -> std::atomic<bool>&
{
  static auto sIsStarted = std::atomic<bool>{ false };
  return sIsStarted;
}

auto
GlobalLogger() -> Logger&
{
  static auto sLogger = Logger{};
  return sLogger;
}

auto
SeverityName(Severity aSeverity) -> std::string_view
{
  switch (aSeverity) {
    case Severity::Debug:
      return "debug";
    case Severity::Info:
      return "info";
    case Severity::Warning:
      return "warning";
    case Severity::Error:
      return "error";
  }
  return "unknown";
}

auto
WallClockMillis() -> std::int64_t
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

auto
ToObject(const Event& aEvent, std::initializer_list<EventField> aFields)
  -> json::object
{
  auto line = json::object{};
  line["event"] = aEvent.mNumber;
  line["name"] = aEvent.mName;
  line["severity"] = SeverityName(aEvent.mSeverity);
  for (const auto& field : aFields) {
    std::visit([&](const auto& aValue) { line[field.mName] = aValue; },
               field.mValue);
  }
  return line;
}

/// Counts the lines that a reader was too slow for.
auto
DroppedLines() -> std::atomic<std::uint64_t>&
{
  static auto sDropped = std::atomic<std::uint64_t>{ 0 };
  return sDropped;
}

/// Set when a line of this thread was dropped.
thread_local auto sHasDropped = false;

/// What the queue of lines does when it is full.
struct CountAndDrop
{
  // NOLINTBEGIN(readability-identifier-naming): names that Boost.Log calls
  template<class Lock>
  static auto on_overflow(const logging::record_view&, Lock&) -> bool
  {
    ++DroppedLines();
    sHasDropped = true;
    return false;
  }
  static auto on_queue_space_available() -> void {}
  static auto interrupt() -> void {}
  // NOLINTEND(readability-identifier-naming)
};

/// Lines that wait for the reader of standard output.
constexpr auto kQueuedLines = std::size_t{ 4096 };

using AsyncConsole = logging::sinks::asynchronous_sink<
  logging::sinks::text_ostream_backend,
  logging::sinks::bounded_fifo_queue<kQueuedLines, CountAndDrop>>;

auto
ConsoleSink() -> boost::shared_ptr<AsyncConsole>&
{
  static auto sSink = boost::shared_ptr<AsyncConsole>{};
  return sSink;
}

/// Writes to standard output on a thread of its own.
auto
StartConsoleLog() -> void
{
  const auto backend =
    boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  backend->auto_flush(true);
  ConsoleSink() = boost::make_shared<AsyncConsole>(backend);
  ConsoleSink()->set_formatter(logging::expressions::stream
                               << logging::expressions::smessage);
  logging::core::get()->add_sink(ConsoleSink());
}

auto
WriteEvent(const Event& aEvent, std::initializer_list<EventField> aFields)
  -> void
{
  auto record = GlobalLogger().open_record(
    logging::keywords::severity = static_cast<int>(aEvent.mSeverity));
  if (!record) {
    return;
  }
  auto line = ToObject(aEvent, aFields);
  line["time_ms"] = WallClockMillis();
  line["instance"] = InstanceName();
  auto stream = logging::record_ostream(record);
  stream << json::serialize(line);
  stream.flush();
  GlobalLogger().push_record(std::move(record));
}

} // namespace

EventField::EventField(std::string_view aName, std::string aValue)
  : mName(aName)
  , mValue(std::move(aValue))
{
}

EventField::EventField(std::string_view aName, std::string_view aValue)
  : mName(aName)
  , mValue(std::string(aValue))
{
}

EventField::EventField(std::string_view aName, const char* aValue)
  : mName(aName)
  , mValue(std::string(aValue))
{
}

EventField::EventField(std::string_view aName, bool aValue)
  : mName(aName)
  , mValue(aValue)
{
}

EventField::EventField(std::string_view aName, double aValue)
  : mName(aName)
  , mValue(aValue)
{
}

EventField::EventField(std::string_view aName, std::int64_t aValue)
  : mName(aName)
  , mValue(aValue)
{
}

EventField::EventField(std::string_view aName, std::uint64_t aValue)
  : mName(aName)
  , mValue(static_cast<std::int64_t>(aValue))
{
}

EventField::EventField(std::string_view aName, int aValue)
  : mName(aName)
  , mValue(std::int64_t{ aValue })
{
}

EventField::EventField(std::string_view aName, unsigned aValue)
  : mName(aName)
  , mValue(std::int64_t{ aValue })
{
}

auto
StartLog(const std::string& aInstance,
         const std::string& aFile,
         Severity aLowest) -> void
{
  namespace keywords = logging::keywords;
  InstanceName() = aInstance;
  if (aFile.empty()) {
    StartConsoleLog();
  } else {
    logging::add_file_log(keywords::file_name = aFile,
                          keywords::open_mode = std::ios::app,
                          keywords::auto_flush = true,
                          keywords::format = "%Message%");
  }
  logging::core::get()->set_filter(SeverityAttribute >=
                                   static_cast<int>(aLowest));
  IsLogStarted() = true;
}

auto
StopLog() -> void
{
  IsLogStarted() = false;
  if (const auto sink = std::exchange(ConsoleSink(), nullptr)) {
    logging::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
  }
}

auto
LogEvent(const Event& aEvent, std::initializer_list<EventField> aFields) -> void
{
  if (!IsLogStarted()) {
    return;
  }
  if (const auto dropped = DroppedLines().load(); dropped > 0) {
    sHasDropped = false;
    WriteEvent(kLogLinesDroppedEvent, { { "lines", dropped } });
    // NOTE: where this line was dropped too, the next one says it.
    DroppedLines() -= sHasDropped ? 1 : dropped;
  }
  WriteEvent(aEvent, aFields);
}

auto
FormatEvent(const Event& aEvent, std::initializer_list<EventField> aFields)
  -> std::string
{
  return json::serialize(ToObject(aEvent, aFields));
}

} // namespace cuminslip
