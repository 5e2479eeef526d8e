#include "net.h"

#include <atomic>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

/// A runner of a service, as the pages describe one: it registers with the
/// control instances, runs requests, and prefills parts of prompts for other
/// runners that list it in X-Helpers. Each process is one lifetime.
///
/// runner ADDRESS ID SERVICE ZONE CONTROL,CONTROL,... RECORD
namespace {

using namespace review;

constexpr auto kHeartbeat = Millis(1100);
constexpr auto kPingLimit = Millis(1000);
/// Work that depends on a runner that is gone stalls for this long.
constexpr auto kStall = Millis(1500);
constexpr auto kEvents = 16;
constexpr auto kEventPause = Millis(5);

struct Runner
{
  Address mAddress;
  std::string mId;
  std::string mService;
  std::string mZone;
  std::vector<Address> mControls;
  std::string mRecord;
  long mBorn = 0;
  std::mutex mMutex;
};

/// Appends a line to the record, which all runners of a run share.
auto
Record(Runner& aRunner, const std::string& aLine) -> void
{
  const auto lock = std::lock_guard(aRunner.mMutex);
  std::ofstream(aRunner.mRecord, std::ios::app)
    << std::to_string(NowMillis()) + " " + aRunner.mId + " " +
         aRunner.mService + " " + aLine + "\n";
}

auto
SplitAt(const std::string& aText, char aSeparator) -> std::vector<std::string>
{
  auto parts = std::vector<std::string>{};
  auto stream = std::istringstream(aText);
  for (auto part = std::string{}; std::getline(stream, part, aSeparator);) {
    parts.push_back(part);
  }
  return parts;
}

auto
Answer(int aSocket,
       int aStatus,
       const std::string& aHeaders,
       const std::string& aBody) -> bool
{
  return SendAll(
    aSocket,
    "HTTP/1.1 " + std::to_string(aStatus) + " status\r\n" + aHeaders +
      "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

/// Asks a listed runner to prefill its part. The interface between runners is
/// not on the pages; a runner that is asked does not check who asks, as
/// PROTOCOL says of tickets.
auto
AskHelper(Runner& aRunner,
          const std::string& aHelper,
          const Message& aRequest,
          const std::string& aPath) -> bool
{
  const auto address = ParseAddress(aHelper.substr(0, aHelper.find('/')));
  const auto answer =
    Call(address,
         "POST /part HTTP/1.1\r\nHost: runner\r\n"
         "X-Attempt-Id: " +
           HeaderOf(aRequest, "x-attempt-id") + "\r\nX-Path: " + aPath +
           "\r\nX-From: " + aRunner.mId + " of " + aRunner.mService +
           "\r\nContent-Length: 0\r\n\r\n",
         kStall);
  return StatusOf(answer) == 200;
}

auto
RunStream(Runner& aRunner, int aSocket, const Message& aRequest) -> bool
{
  const auto id = HeaderOf(aRequest, "x-attempt-id");
  auto isSent = SendAll(aSocket,
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                          "\r\nX-Response-Seal: " + aRunner.mId +
                          "\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n");
  const auto last = std::atoi(HeaderOf(aRequest, "last-event-id").c_str());
  for (auto n = last + 1; isSent && n <= kEvents; ++n) {
    const auto event = "id: " + std::to_string(n) + "\ndata: " + id + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    isSent = SendAll(aSocket, size + event + "\r\n");
    std::this_thread::sleep_for(kEventPause);
  }
  return isSent && SendAll(aSocket, "0\r\n\r\n");
}

/// Works for the time that the path names, /task/MILLIS/..., and answers whole;
/// for /task/MILLIS/large/BYTES with a body of that size.
auto
RunWork(Runner& aRunner, int aSocket, const Message& aRequest, long aMillis)
  -> bool
{
  std::this_thread::sleep_for(Millis(aMillis));
  const auto id = HeaderOf(aRequest, "x-attempt-id");
  constexpr auto kLarge = std::string_view("/large/");
  const auto large = aRequest.mFirstLine.find(kLarge);
  const auto bytes =
    large == std::string::npos
      ? std::size_t{ 0 }
      : std::strtoul(
          aRequest.mFirstLine.c_str() + large + kLarge.size(), nullptr, 10);
  return Answer(aSocket,
                200,
                "X-Attempt-Id: " + id + "\r\nX-Response-Seal: " + aRunner.mId +
                  "\r\n",
                "done " + id + std::string(bytes, 'a'));
}

auto
RunRequest(Runner& aRunner,
           int aSocket,
           const Message& aRequest,
           const std::string& aPath) -> bool
{
  const auto id = HeaderOf(aRequest, "x-attempt-id");
  const auto expected = HeaderOf(aRequest, "x-expect-instance");
  if (!expected.empty() && expected != aRunner.mId) {
    Record(aRunner, "421 " + id + " " + aPath + " expects " + expected);
    return Answer(aSocket, 421, "X-Instance-Id: " + aRunner.mId + "\r\n", "");
  }
  constexpr auto kWorkPath = std::string_view("/task/");
  if (aPath.starts_with(kWorkPath)) {
    Record(aRunner, "run " + id + " " + aPath);
    return RunWork(
      aRunner, aSocket, aRequest, std::atol(aPath.c_str() + kWorkPath.size()));
  }
  const auto helpers = HeaderOf(aRequest, "x-helpers");
  for (const auto& it : SplitAt(helpers, ',')) {
    if (!AskHelper(aRunner, it, aRequest, aPath)) {
      Record(aRunner, "503 " + id + " " + aPath + " helper " + it + " is gone");
      std::this_thread::sleep_for(kStall);
      return Answer(aSocket,
                    503,
                    "X-Attempt-Id: " + id +
                      "\r\nX-Not-Executed: 1\r\nAt-Server: " +
                      it.substr(0, it.find('/')) + "\r\n",
                    "");
    }
  }
  Record(aRunner,
         "run " + id + " " + aPath + " helpers " +
           (helpers.empty() ? "none" : helpers));
  return RunStream(aRunner, aSocket, aRequest);
}

auto
Handle(Runner& aRunner, int aSocket, const Message& aRequest) -> bool
{
  const auto words = SplitAt(aRequest.mFirstLine, ' ');
  if (words.size() < 2) {
    return false;
  }
  const auto& path = words[1];
  if (path == "/part") {
    Record(aRunner,
           "part " + HeaderOf(aRequest, "x-attempt-id") + " " +
             HeaderOf(aRequest, "x-path") + " for " +
             HeaderOf(aRequest, "x-from"));
    return Answer(aSocket, 200, "", "");
  }
  if (path == "/healthz") {
    return Answer(aSocket, 200, "X-Instance-Id: " + aRunner.mId + "\r\n", "");
  }
  if (path == "/api/report") {
    return Answer(aSocket,
                  200,
                  "Content-Type: application/json\r\n",
                  R"({"stage":"mixed","models":[{"name":"m","version":1,)"
                  R"("adapters":[]}],"busy":false,"sequence":0,)"
                  R"("num_waiting":0,"num_running":0,"kv_used":0,)"
                  R"("kv_total":315000,"handles":0,"tickets":[]})");
  }
  if (path == "/api/order") {
    Record(aRunner, "order " + aRequest.mBody);
    return Answer(
      aSocket, 200, "Content-Type: application/json\r\n", R"({"free":315000})");
  }
  return RunRequest(aRunner, aSocket, aRequest, path);
}

auto
Serve(Runner& aRunner, int aSocket) -> void
{
  const auto on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto reader = Reader(aSocket);
  while (auto request = reader.Read(false)) {
    if (!request->mIsWhole || !Handle(aRunner, aSocket, *request)) {
      break;
    }
  }
  close(aSocket);
}

/// Registers at each heartbeat with one control instance, the next one if the
/// first gives no acknowledgement.
auto
Ping(Runner& aRunner) -> void
{
  auto next = std::hash<std::string>{}(aRunner.mId);
  auto wasAcknowledged = false;
  for (auto sequence = 1;; ++sequence) {
    const auto body =
      R"({"service":")" + aRunner.mService + R"(","address":")" +
      Format(aRunner.mAddress) + R"(","zone":")" + aRunner.mZone +
      R"(","version":"v1","slots":16,"state":"ready",)"
      R"("cold_remaining_ms":0,"stage":"mixed","models":[{"name":"m",)"
      R"("version":1,"adapters":[]}],"born":)" +
      std::to_string(aRunner.mBorn) + R"(,"sequence":)" +
      std::to_string(sequence) + "}";
    for (auto n = std::size_t{ 0 }; n < aRunner.mControls.size(); ++n) {
      const auto& control =
        aRunner.mControls[(next + n) % aRunner.mControls.size()];
      const auto answer =
        Call(control,
             "PUT /api/instances/" + aRunner.mId +
               " HTTP/1.1\r\nHost: control\r\n"
               "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body,
             kPingLimit);
      if (StatusOf(answer) / 100 == 2) {
        if (!std::exchange(wasAcknowledged, true)) {
          Record(aRunner,
                 "registered at " + Format(aRunner.mAddress) + " with " +
                   Format(control));
        }
        break;
      }
    }
    ++next;
    std::this_thread::sleep_for(kHeartbeat);
  }
}

} // namespace

auto
main(int aCount, char** aWords) -> int
{
  constexpr auto kWords = 7;
  if (aCount != kWords) {
    std::fputs("usage: runner ADDRESS ID SERVICE ZONE CONTROLS RECORD\n",
               stderr);
    return 2;
  }
  auto runner = Runner{};
  runner.mAddress = ParseAddress(aWords[1]);
  runner.mId = aWords[2];
  runner.mService = aWords[3];
  runner.mZone = aWords[4];
  for (const auto& it : SplitAt(aWords[5], ',')) {
    runner.mControls.push_back(ParseAddress(it));
  }
  runner.mRecord = aWords[6];
  runner.mBorn = std::chrono::duration_cast<Millis>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  const auto listener = Listen(runner.mAddress);
  if (listener < 0) {
    std::fputs("the runner's address is taken\n", stderr);
    return 2;
  }
  std::thread([&runner] { Ping(runner); }).detach();
  while (true) {
    const auto accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted >= 0) {
      std::thread([&runner, accepted] { Serve(runner, accepted); }).detach();
    }
  }
}
