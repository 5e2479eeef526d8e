#include "fleet.h"

#include <atomic>
#include <mutex>
#include <random>

/// Many users send large bodies at once to one entry instance. Its process must
/// stay within its memory, or requests that runners work on are lost with it.
namespace {

using namespace review;

/// As max_body_bytes of the configuration.
constexpr auto kBodyBytes = std::size_t{ 4194304 };
/// Uploads that begin within half a second, usually and in a burst: 2.8 times
/// as many, the largest burst of the site.
constexpr auto kUsualUploads = 30;
constexpr auto kBurstUploads = 84;
constexpr auto kSpread = Millis(500);
/// Each client sends a megabyte a second, so that all of them together use two
/// thirds of the machine's link (link_mbps 1000).
constexpr auto kBytesPerSecond = 1e6;
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
  std::map<int, int> mUploads;
};

auto
Configuration() -> std::string
{
  return R"({"version":1,"routes":[{"name":"work","host":"case.example",)"
         R"("path_prefix":"/task/","kind":"non_idempotent",)"
         R"("timeout_ms":10000,"target_latency_ms":1000,"priority":1,)"
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
         "\r\nX-Request-Deadline-Ms: 10000\r\nAuthorization: Bearer key\r\n"
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

/// Sends one large request, paced.
auto
SendLarge(Traffic& aTraffic, Millis aBegin) -> void
{
  std::this_thread::sleep_for(aBegin);
  const auto id = MakeId();
  const auto fd = Connect(CallerAddress(aTraffic.mFleet, 0), Millis(11000));
  const auto part = std::string(32768, 'l');
  auto isSent =
    fd >= 0 && SendAll(fd, HeadOf(id, "/task/300/large", kBodyBytes));
  const auto begin = Clock::now();
  for (auto sent = std::size_t{ 0 }; isSent && sent < kBodyBytes;) {
    isSent = SendAll(fd, part);
    sent += part.size();
    std::this_thread::sleep_until(
      begin +
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
        static_cast<double>(sent) / kBytesPerSecond)));
  }
  const auto answer = isSent ? Reader(fd).Read(true) : std::optional<Message>{};
  if (fd >= 0) {
    close(fd);
  }
  const auto lock = std::lock_guard(aTraffic.mMutex);
  ++aTraffic.mUploads[StatusOf(answer)];
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
  const auto uploads = HasTrouble() ? kBurstUploads : kUsualUploads;
  Note(aFleet, std::to_string(uploads) + " uploads begin");
  auto uploaders = std::vector<std::thread>{};
  for (auto n = 0; n < uploads; ++n) {
    uploaders.emplace_back(
      [&, n] { SendLarge(traffic, kSpread * n / uploads); });
  }
  for (auto& it : uploaders) {
    it.join();
  }
  std::this_thread::sleep_for(Millis(2000));
  traffic.mIsStopping = true;
  for (auto& it : threads) {
    it.join();
  }
  watcher.join();
  for (const auto& [status, count] : traffic.mUploads) {
    Note(aFleet,
         std::to_string(count) + " uploads answered " + std::to_string(status));
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
    std::fputs("usage: case-7 ROOT RECORD\n", stderr);
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
