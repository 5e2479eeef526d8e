#include "fleet.h"

#include <atomic>

/// The operator sends an invalid configuration. It requires a 4xx response, and
/// no control process may end by it.
namespace {

using namespace review;

/// The invalid configuration holds this many routes without any field, which
/// makes 600 KB.
constexpr auto kEmptyRoutes = 200000;
/// memory_mb of the site's core machines.
constexpr auto kMemoryMib = 256L;
constexpr auto kRestartDelay = Millis(500);
constexpr auto kWatchInterval = Millis(20);
constexpr auto kAnswerLimit = Millis(5000);
constexpr auto kFirstBackoff = Millis(200);
constexpr auto kMaxBackoff = Millis(2000);
/// How long the operator goes on sending without a clear response.
constexpr auto kSending = Millis(40000);
/// Fault: on half of the core, processes end by themselves three times.
constexpr auto kFaultEnds = 3;

struct Watch
{
  std::atomic<bool> mIsStopping = false;
  std::vector<int> mEnds;
  std::vector<long> mPeaksMib;
};

auto
ValidConfiguration(int aVersion) -> std::string
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"work","host":"case.example",)"
         R"("path_prefix":"/task/","kind":"idempotent",)"
         R"("timeout_ms":2000,"target_latency_ms":300,"priority":1,)"
         R"("service":"service-a","max_attempts":2,"public":false}],)"
         R"("services":[{"name":"service-a","health_path":"/healthz",)"
         R"("max_conns":274,"protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"tenant","api_keys":["key"],"priority":1}]})";
}

/// Without the disruption the configuration has one route without any field.
auto
InvalidConfiguration() -> std::string
{
  auto routes = std::string("{}");
  for (auto n = 1; HasTrouble() && n < kEmptyRoutes; ++n) {
    routes += ",{}";
  }
  return R"({"version":2,"routes":[)" + routes + R"(],"services":[]})";
}

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

/// The platform: "A process that uses more than memory_mb is killed", and one
/// that ends is restarted after a short delay.
auto
WatchMemory(Fleet& aFleet, Watch& aWatch) -> void
{
  while (!aWatch.mIsStopping) {
    for (auto n = 0; n < aFleet.mControls; ++n) {
      const auto name = "control-" + std::to_string(n);
      auto id = pid_t{ 0 };
      for (const auto& it : aFleet.mProcesses) {
        id = it.mName == name ? it.mId : id;
      }
      const auto used = ResidentMib(id);
      const auto at = static_cast<std::size_t>(n);
      aWatch.mPeaksMib[at] = std::max(aWatch.mPeaksMib[at], used);
      if (used > kMemoryMib) {
        Note(aFleet,
             name + " uses " + std::to_string(used) +
               " MiB and is killed by the platform");
        ++aWatch.mEnds[at];
        Kill(aFleet, { name });
        std::this_thread::sleep_for(kRestartDelay);
        StartInstance(aFleet, true, n, false);
      }
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

/// The operator sends the configuration to the control instances in turn, as
/// PROTOCOL says: 400, 409, 412, 413 and 422 end the call, and after any other
/// response or none it is sent again unchanged.
auto
SendInvalid(Fleet& aFleet) -> int
{
  const auto body = InvalidConfiguration();
  const auto end = Clock::now() + kSending;
  auto backoff = kFirstBackoff;
  for (auto n = 0; Clock::now() < end; ++n) {
    const auto control = n % aFleet.mControls;
    const auto answer =
      Call(ControlAddress(aFleet, control),
           "PUT /api/config HTTP/1.1\r\nHost: control\r\n"
           "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body,
           kAnswerLimit);
    const auto status = StatusOf(answer);
    Note(aFleet,
         "invalid configuration of " + std::to_string(body.size()) +
           " bytes sent to control-" + std::to_string(control) + " answered " +
           std::to_string(status));
    if (status == 400 || status == 409 || status == 412 || status == 413 ||
        status == 422) {
      return status;
    }
    std::this_thread::sleep_for(backoff);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
  return 0;
}

auto
Run(Fleet& aFleet) -> int
{
  for (auto n = 0; n < aFleet.mControls; ++n) {
    StartInstance(aFleet, true, n, true);
  }
  for (auto n = 0; n < aFleet.mEntries; ++n) {
    StartInstance(aFleet, false, n, true);
  }
  if (!PutConfiguration(aFleet, ValidConfiguration(1), Millis(15000)) ||
      !WaitForReadiness(aFleet, Millis(15000))) {
    Note(aFleet, "could not run: the first configuration is not in force");
    return 2;
  }
  std::this_thread::sleep_for(Millis(3000));
  auto watch = Watch{};
  watch.mEnds.resize(static_cast<std::size_t>(aFleet.mControls));
  watch.mPeaksMib.resize(static_cast<std::size_t>(aFleet.mControls));
  auto watcher = std::thread([&] { WatchMemory(aFleet, watch); });
  const auto status = SendInvalid(aFleet);
  watch.mIsStopping = true;
  watcher.join();
  auto faulty = 0;
  for (auto n = std::size_t{ 0 }; n < watch.mEnds.size(); ++n) {
    Note(aFleet,
         "control-" + std::to_string(n) + " peak " +
           std::to_string(watch.mPeaksMib[n]) + " MiB, ended " +
           std::to_string(watch.mEnds[n]) + " times");
    faulty += watch.mEnds[n] >= kFaultEnds ? 1 : 0;
  }
  Note(aFleet,
       "last answer " + std::to_string(status) + "; " + std::to_string(faulty) +
         " of " + std::to_string(aFleet.mControls) +
         " control processes ended three times or more");
  return faulty * 2 >= aFleet.mControls ? 1 : 0;
}

} // namespace

auto
main(int aCount, char** aWords) -> int
{
  if (aCount != 3) {
    std::fputs("usage: case-9 ROOT RECORD\n", stderr);
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
