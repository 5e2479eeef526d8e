#include "fleet.h"

#include <atomic>
#include <mutex>
#include <random>

/// Callers of one entry instance read large answers slowly. Its process must
/// stay within its memory, or requests that runners work on are lost with it.
namespace {

using namespace review;

/// As the answers of the earlier review's case of slow readers, within what an
/// instance takes (8 MiB).
constexpr auto kAnswerBytes = std::size_t{ 7 } * 1024 * 1024;
/// Callers that ask for one such answer each, within five seconds: 112 MB a
/// second, less than the machine's link (link_mbps 1000).
constexpr auto kCallers = 80;
constexpr auto kSpread = Millis(5000);
/// A slow caller has the whole answer after 12 s, within its time limit and the
/// route's timeout of 15 s.
constexpr auto kSlowBytesPerSecond = 6e5;
constexpr auto kReceiveBuffer = 65536;
constexpr auto kBackgroundClients = 20;
/// memory_mb of the site's edge machines.
constexpr auto kMemoryMib = 260L;
constexpr auto kRestartDelay = Millis(500);
constexpr auto kWatchInterval = Millis(20);
/// LOST: more than three times.
constexpr auto kAllowedLosses = 3;

struct Traffic
{
  Fleet& mFleet;
  std::mutex mMutex;
  std::atomic<bool> mIsStopping = false;
  std::atomic<long> mPeakMib = 0;
  std::atomic<int> mKills = 0;
  /// Ids of requests whose kept channel ended without a whole answer.
  std::vector<std::string> mEnded;
  std::map<std::string, int> mReaders;
};

auto
Configuration() -> std::string
{
  return R"({"version":1,"routes":[{"name":"work","host":"case.example",)"
         R"("path_prefix":"/task/","kind":"non_idempotent",)"
         R"("timeout_ms":15000,"target_latency_ms":1000,"priority":1,)"
         R"("service":"service-a","max_attempts":2,"public":false}],)"
         R"("services":[{"name":"service-a","health_path":"/healthz",)"
         R"("max_conns":274,"protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"tenant","api_keys":["key"],"priority":1}]})";
}

auto
MakeId() -> std::string
{
  static thread_local auto sRandom = std::mt19937_64(std::random_device{}());
  char id[32];
  std::snprintf(
    id, sizeof(id), "%016llx", static_cast<unsigned long long>(sRandom()));
  return id;
}

auto
HeadOf(const std::string& aId, const std::string& aPath, std::size_t aBody)
  -> std::string
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " + aId +
         "\r\nX-Request-Deadline-Ms: 15000\r\nAuthorization: Bearer key\r\n"
         "Content-Length: " +
         std::to_string(aBody) + "\r\n\r\n";
}

/// Sends small requests on a kept channel, one after the other.
auto
SendSmall(Traffic& aTraffic) -> void
{
  const auto body = std::string(600, 's');
  while (!aTraffic.mIsStopping) {
    const auto fd = Connect(CallerAddress(aTraffic.mFleet, 0), Millis(11000));
    if (fd < 0) {
      std::this_thread::sleep_for(Millis(50));
      continue;
    }
    auto reader = Reader(fd);
    while (!aTraffic.mIsStopping) {
      const auto id = MakeId();
      if (!SendAll(fd, HeadOf(id, "/task/300/small", body.size()) + body)) {
        break;
      }
      const auto answer = reader.Read(true);
      if (!answer || !answer->mIsWhole) {
        const auto lock = std::lock_guard(aTraffic.mMutex);
        aTraffic.mEnded.push_back(id);
        break;
      }
      std::this_thread::sleep_for(Millis(20));
    }
    close(fd);
  }
}

/// Asks for one large answer and reads it, paced if the disruption is on.
auto
ReadLarge(Traffic& aTraffic, Millis aBegin) -> void
{
  std::this_thread::sleep_for(aBegin);
  const auto id = MakeId();
  const auto fd = Connect(CallerAddress(aTraffic.mFleet, 0), Millis(15000));
  setsockopt(
    fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof(kReceiveBuffer));
  auto outcome = std::string("no connection");
  if (fd >= 0 &&
      SendAll(
        fd, HeadOf(id, "/task/15/large/" + std::to_string(kAnswerBytes), 0))) {
    const auto begin = Clock::now();
    auto got = std::size_t{ 0 };
    char buf[32768];
    outcome = "cut";
    for (auto n = recv(fd, buf, sizeof(buf), 0); n > 0;
         n = recv(fd, buf, sizeof(buf), 0)) {
      const auto isRefused =
        got == 0 && std::string_view(buf, 12) != "HTTP/1.1 200";
      got += static_cast<std::size_t>(n);
      if (isRefused || got >= kAnswerBytes) {
        outcome = isRefused ? std::string(buf + 9, 3) : "whole";
        break;
      }
      if (HasTrouble()) {
        std::this_thread::sleep_until(
          begin + std::chrono::duration_cast<Clock::duration>(
                    std::chrono::duration<double>(static_cast<double>(got) /
                                                  kSlowBytesPerSecond)));
      }
    }
  }
  if (fd >= 0) {
    close(fd);
  }
  const auto lock = std::lock_guard(aTraffic.mMutex);
  ++aTraffic.mReaders[outcome];
}

/// Resident memory of a process in MiB, 0 if there is none.
auto
ResidentMib(pid_t aProcess) -> long
{
  constexpr auto kKibPerMib = 1024;
  auto file = std::ifstream("/proc/" + std::to_string(aProcess) + "/status");
  for (auto line = std::string{}; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::atol(line.c_str() + 6) / kKibPerMib;
    }
  }
  return 0;
}

auto
IdOf(const Fleet& aFleet, const std::string& aName) -> pid_t
{
  for (const auto& it : aFleet.mProcesses) {
    if (it.mName == aName) {
      return it.mId;
    }
  }
  return 0;
}

/// The platform: "A process that uses more than memory_mb is killed", and one
/// that ends is restarted after a short delay.
auto
WatchMemory(Traffic& aTraffic) -> void
{
  auto& fleet = aTraffic.mFleet;
  while (!aTraffic.mIsStopping) {
    const auto used = ResidentMib(IdOf(fleet, "entry-0"));
    aTraffic.mPeakMib = std::max(aTraffic.mPeakMib.load(), used);
    if (used > kMemoryMib) {
      Note(fleet,
           "entry-0 uses " + std::to_string(used) +
             " MiB and is killed by the platform");
      ++aTraffic.mKills;
      Kill(fleet, { "entry-0" });
      std::this_thread::sleep_for(kRestartDelay);
      StartInstance(fleet, false, 0, false);
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

auto
StartAll(Fleet& aFleet) -> bool
{
  for (auto n = 0; n < aFleet.mControls; ++n) {
    StartInstance(aFleet, true, n, true);
  }
  for (auto n = 0; n < aFleet.mEntries; ++n) {
    StartInstance(aFleet, false, n, true);
  }
  if (!PutConfiguration(aFleet, Configuration(), Millis(15000)) ||
      !WaitForReadiness(aFleet, Millis(15000))) {
    return false;
  }
  for (auto n = 0; n < 3; ++n) {
    const auto name = "a-" + std::to_string(n);
    StartRunner(aFleet, RunnerAddress(aFleet, n), name, "service-a", ZoneOf(n));
    if (!WaitForLine(aFleet, { name + " ", "registered" }, Millis(5000))) {
      return false;
    }
  }
  std::this_thread::sleep_for(Millis(3000));
  return true;
}

/// Returns how many requests a runner had begun whose channel then ended
/// without a whole answer.
auto
CountLost(const Traffic& aTraffic) -> int
{
  auto lost = 0;
  for (const auto& id : aTraffic.mEnded) {
    const auto hasRun =
      !FindLines(aTraffic.mFleet, { "service-a run " + id }).empty();
    Note(aTraffic.mFleet,
         "the channel of " + id + " ended without an answer; the request " +
           (hasRun ? "had been passed on" : "had not been passed on"));
    lost += hasRun ? 1 : 0;
  }
  return lost;
}

auto
Run(Fleet& aFleet) -> int
{
  if (!StartAll(aFleet)) {
    Note(aFleet, "could not run: the fleet does not serve");
    return 2;
  }
  auto traffic = Traffic{ aFleet, {}, false, 0, 0, {}, {} };
  auto watcher = std::thread([&] { WatchMemory(traffic); });
  auto threads = std::vector<std::thread>{};
  for (auto n = 0; n < kBackgroundClients; ++n) {
    threads.emplace_back([&] { SendSmall(traffic); });
  }
  std::this_thread::sleep_for(Millis(4000));
  Note(aFleet, std::to_string(kCallers) + " callers of large answers begin");
  auto readers = std::vector<std::thread>{};
  for (auto n = 0; n < kCallers; ++n) {
    readers.emplace_back(
      [&, n] { ReadLarge(traffic, kSpread * n / kCallers); });
  }
  for (auto& it : readers) {
    it.join();
  }
  std::this_thread::sleep_for(Millis(2000));
  traffic.mIsStopping = true;
  for (auto& it : threads) {
    it.join();
  }
  watcher.join();
  for (const auto& [outcome, count] : traffic.mReaders) {
    Note(aFleet, std::to_string(count) + " large answers: " + outcome);
  }
  const auto lost = CountLost(traffic);
  Note(aFleet,
       "peak " + std::to_string(traffic.mPeakMib.load()) + " MiB, killed " +
         std::to_string(traffic.mKills.load()) + " times, " +
         std::to_string(lost) + " requests lost");
  return lost > kAllowedLosses ? 1 : 0;
}

} // namespace

auto
main(int aCount, char** aWords) -> int
{
  if (aCount != 3) {
    std::fputs("usage: case-10 ROOT RECORD\n", stderr);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  auto fleet = MakeFleet(aWords[1], aWords[2]);
  if (!fleet) {
    return 2;
  }
  const auto result = Run(*fleet);
  KillAll(*fleet);
  Note(*fleet, "exit " + std::to_string(result));
  RemoveFolder(*fleet);
  return result;
}
