#include "base/events.h"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <streambuf>
#include <string>

using namespace cuminslip;

namespace {

/// Takes bytes only once it is released.
class StoppedReader : public std::streambuf
{
public:
  auto Release() -> void
  {
    const auto lock = std::lock_guard(mMutex);
    mIsReleased = true;
    mChanged.notify_all();
  }

  auto Text() -> std::string
  {
    const auto lock = std::lock_guard(mMutex);
    return mText;
  }

protected:
  auto overflow(int aByte) -> int override
  {
    auto lock = std::unique_lock(mMutex);
    mChanged.wait(lock, [this] { return mIsReleased; });
    mText += static_cast<char>(aByte);
    return aByte;
  }

  auto xsputn(const char* aBytes, std::streamsize aCount)
    -> std::streamsize override
  {
    auto lock = std::unique_lock(mMutex);
    mChanged.wait(lock, [this] { return mIsReleased; });
    mText.append(aBytes, static_cast<std::size_t>(aCount));
    return aCount;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsReleased = false;
  std::string mText;
};

auto
CountOf(const std::string& aText, const std::string& aPart) -> std::size_t
{
  auto n = std::size_t{ 0 };
  for (auto i = aText.find(aPart); i != std::string::npos;
       i = aText.find(aPart, i + 1)) {
    ++n;
  }
  return n;
}

/// What all log_lines_dropped lines say together.
auto
SumOfDropped(const std::string& aText) -> std::size_t
{
  constexpr auto kField = std::string_view("\"lines\":");
  auto sum = std::size_t{ 0 };
  for (auto i = aText.find(kField); i != std::string::npos;
       i = aText.find(kField, i + 1)) {
    sum += std::stoul(aText.substr(i + kField.size()));
  }
  return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoppedReaderTests)

/// Returns at all only because no line waits for the reader.
BOOST_AUTO_TEST_CASE(LinesAreDroppedAndCountedInsteadOfWaitedFor)
{
  constexpr auto kEvent = Event{ 1, "burst", Severity::Info };
  constexpr auto kLines = std::size_t{ 20000 };
  auto reader = StoppedReader{};
  auto* former = std::cout.rdbuf(&reader);
  StartLog("i", "", Severity::Info);
  for (auto i = std::size_t{ 0 }; i < kLines; ++i) {
    LogEvent(kEvent, { { "line", i } });
  }
  reader.Release();
  auto lines = kLines;
  while (CountOf(reader.Text(), "log_lines_dropped") == 0) {
    LogEvent(kEvent, { { "line", ++lines } });
  }
  StopLog();
  std::cout.rdbuf(former);
  const auto text = reader.Text();
  const auto written = CountOf(text, "\"burst\"");

  BOOST_TEST(written < kLines);
  BOOST_TEST(written + SumOfDropped(text) == lines);
  LogEvent(kEvent, {});
  BOOST_TEST(reader.Text() == text, "nothing comes after the stop");
}

BOOST_AUTO_TEST_SUITE_END()
