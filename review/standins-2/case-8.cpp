#include "fleet.h"

#include <random>

/// Another writer sends pings for a service that no configuration names, from
/// the addresses of the runners. They name no runner to use, and the others
/// must hold, so that the service recovers after the final fault.
namespace {

using namespace review;

constexpr auto kRunners = 6;
constexpr auto kRequests = 60;
constexpr auto kDown = Millis(1300);
/// recovery_s of the site.
constexpr auto kRecovery = Millis(12000);
constexpr auto kPingsAfter = Millis(4000);

auto
Configuration() -> std::string
{
  return R"({"version":1,"routes":[{"name":"work","host":"case.example",)"
         R"("path_prefix":"/task/","kind":"idempotent",)"
         R"("timeout_ms":2000,"target_latency_ms":300,"priority":1,)"
         R"("service":"service-a","max_attempts":2,"public":false}],)"
         R"("services":[{"name":"service-a","health_path":"/healthz",)"
         R"("max_conns":274,"protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"tenant","api_keys":["key"],"priority":1}]})";
}

/// Returns how many of the requests are served.
auto
SendRequests(Fleet& aFleet, const std::string& aPhase) -> int
{
  static auto sRandom = std::mt19937_64(std::random_device{}());
  auto served = 0;
  for (auto n = 0; n < kRequests; ++n) {
    char id[32];
    std::snprintf(
      id, sizeof(id), "%016llx", static_cast<unsigned long long>(sRandom()));
    const auto answer =
      Call(CallerAddress(aFleet, n % aFleet.mEntries),
           std::string("GET /task/15/item HTTP/1.1\r\nHost: case.example\r\n") +
             "X-Attempt-Id: " + id +
             "\r\nX-Request-Deadline-Ms: 2000\r\n"
             "Authorization: Bearer key\r\n\r\n",
           Millis(3000));
    const auto status = StatusOf(answer);
    Note(aFleet,
         aPhase + " sent " + id + " answered " + std::to_string(status));
    served += status == 200 && answer->mIsWhole ? 1 : 0;
    std::this_thread::sleep_for(Millis(50));
  }
  Note(aFleet,
       aPhase + ": " + std::to_string(served) + " of " +
         std::to_string(kRequests) + " served");
  return served;
}

auto
StartInstances(Fleet& aFleet, bool aMayFound) -> void
{
  for (auto n = 0; n < aFleet.mControls; ++n) {
    StartInstance(aFleet, true, n, aMayFound);
  }
  for (auto n = 0; n < aFleet.mEntries; ++n) {
    StartInstance(aFleet, false, n, aMayFound);
  }
}

auto
StartAll(Fleet& aFleet) -> bool
{
  StartInstances(aFleet, true);
  if (!PutConfiguration(aFleet, Configuration(), Millis(15000)) ||
      !WaitForReadiness(aFleet, Millis(15000))) {
    return false;
  }
  for (auto n = 0; n < kRunners; ++n) {
    const auto name = "a-" + std::to_string(n);
    StartRunner(aFleet, RunnerAddress(aFleet, n), name, "service-a", ZoneOf(n));
    if (!WaitForLine(aFleet, { name + " ", "registered" }, Millis(5000))) {
      return false;
    }
  }
  std::this_thread::sleep_for(Millis(3000));
  return true;
}

/// The final fault: all processes are killed and are back after a second.
auto
KillInstances(Fleet& aFleet) -> void
{
  auto names = std::vector<std::string>{};
  for (auto n = 0; n < aFleet.mControls; ++n) {
    names.push_back("control-" + std::to_string(n));
  }
  for (auto n = 0; n < aFleet.mEntries; ++n) {
    names.push_back("entry-" + std::to_string(n));
  }
  Note(aFleet, "all processes of the system are killed");
  Kill(aFleet, names);
  std::this_thread::sleep_for(kDown);
  StartInstances(aFleet, false);
  Note(aFleet, "all processes of the system are started");
}

/// Sends one ping for each runner's address, of a service that is not named.
auto
SendForeignPings(Fleet& aFleet) -> void
{
  const auto born = std::chrono::duration_cast<Millis>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  for (auto n = 0; n < kRunners; ++n) {
    const auto body = R"({"service":"host-monitor","address":")" +
                      Format(RunnerAddress(aFleet, n)) + R"(","zone":")" +
                      ZoneOf(n) +
                      R"(","version":"v1","slots":1,"state":"ready",)"
                      R"("cold_remaining_ms":0,"born":)" +
                      std::to_string(born) + R"(,"sequence":1})";
    const auto answer =
      Call(ControlAddress(aFleet, n % aFleet.mControls),
           "PUT /api/instances/monitor-" + std::to_string(n) +
             " HTTP/1.1\r\nHost: control\r\n"
             "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body,
           Millis(1000));
    Note(aFleet,
         "ping of another writer " + body + " answered " +
           std::to_string(StatusOf(answer)));
  }
}

auto
Run(Fleet& aFleet) -> int
{
  constexpr auto kQuarter = 4;
  if (!StartAll(aFleet) ||
      SendRequests(aFleet, "before") * kQuarter < kRequests) {
    Note(aFleet, "could not run: the fleet does not serve");
    return 2;
  }
  KillInstances(aFleet);
  const auto back = Clock::now();
  std::this_thread::sleep_for(kPingsAfter);
  if (HasTrouble()) {
    SendForeignPings(aFleet);
  }
  std::this_thread::sleep_until(back + kRecovery);
  const auto served = SendRequests(aFleet, "after");
  return served * kQuarter < kRequests ? 1 : 0;
}

} // namespace

auto
main(int aCount, char** aWords) -> int
{
  if (aCount != 3) {
    std::fputs("usage: case-8 ROOT RECORD\n", stderr);
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
