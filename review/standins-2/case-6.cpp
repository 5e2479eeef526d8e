#include "fleet.h"

#include <algorithm>
#include <random>

/// A runner crashes, the core's processes are killed and come back, and the
/// runner's address goes to a runner of another service. Long prompts of the
/// first service must not be read there.
namespace {

using namespace review;

constexpr auto kEnginesA = 4;
/// As PROTOCOL: the address of a runner that has ended may be assigned once
/// addr_reuse_s (2 s) has elapsed.
constexpr auto kAddressReuse = Millis(4000);
/// Longer than stable_window_ms (3 s) and config_apply_ms (2 s) together.
constexpr auto kSettling = Millis(6000);
constexpr auto kPrompts = 12;

auto
Configuration() -> std::string
{
  const auto engine = std::string(
    R"({"slots":16,"kv_capacity_tokens":315000,"kv_token_bytes":163840,)"
    R"("link_mbps":400000.0,"stride":51,"models":[{"name":"m"}],)"
    R"("step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,)"
    R"("read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,)"
    R"("report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,)"
    R"("delays":[],"usual":{"prompt":11108,"answer":1622},"hop_ms":0.05})");
  const auto service = [&](const std::string& aName) {
    return R"({"name":")" + aName +
           R"(","health_path":"/healthz","max_conns":274,"protocol":"h1",)"
           R"("tls":false,"engine":)" +
           engine + "}";
  };
  const auto route = [](const std::string& aName,
                        const std::string& aPrefix,
                        const std::string& aService,
                        const std::string& aTimes) {
    return R"({"name":")" + aName +
           R"(","host":"case.example","path_prefix":")" + aPrefix +
           R"(","kind":"streaming",)" + aTimes +
           R"(,"priority":1,"service":")" + aService +
           R"(","max_attempts":2,"public":false,"session_affinity":true,)"
           R"("resumable":true})";
  };
  const auto shortTimes = std::string(
    R"("timeout_ms":10000,"target_latency_ms":300,"target_gap_ms":250)");
  const auto longTimes = std::string(
    R"("timeout_ms":15000,"target_latency_ms":3000,"target_gap_ms":1000)");
  return R"({"version":1,"routes":[)" +
         route("short-a", "/a/", "service-a", shortTimes) + "," +
         route("long-a", "/a/long/", "service-a", longTimes) + "," +
         route("short-b", "/b/", "service-b", shortTimes) +
         R"(],"services":[)" + service("service-a") + "," +
         service("service-b") +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"tenant","api_keys":["key"],"priority":1}]})";
}

/// Sends a long prompt of service A and notes how it is answered.
auto
SendPrompt(Fleet& aFleet, int aEntry, const std::string& aPhase) -> int
{
  static auto sRandom = std::mt19937_64(std::random_device{}());
  char id[32];
  std::snprintf(
    id, sizeof(id), "%016llx", static_cast<unsigned long long>(sRandom()));
  const auto body = std::string(38000, 'p');
  Note(aFleet,
       aPhase + " sent " + id + " /a/long/prompt to entry " +
         std::to_string(aEntry));
  const auto answer =
    Call(CallerAddress(aFleet, aEntry),
         std::string("POST /a/long/prompt HTTP/1.1\r\nHost: case.example\r\n") +
           "X-Attempt-Id: " + id +
           "\r\nX-Model: m\r\nX-Token-Usage: 154000,800\r\n"
           "X-Prompt-Prefix: 5c1e07a2:40," +
           id +
           ":153960\r\nX-Request-Deadline-Ms: 15000\r\n"
           "Authorization: Bearer key\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body,
         Millis(16000));
  Note(aFleet,
       aPhase + " answered " + id + " " + std::to_string(StatusOf(answer)) +
         (answer && answer->mIsWhole ? " whole" : " not whole"));
  return StatusOf(answer);
}

auto
SendPrompts(Fleet& aFleet, const std::string& aPhase) -> int
{
  auto served = 0;
  for (auto n = 0; n < kPrompts; ++n) {
    served += SendPrompt(aFleet, n % aFleet.mEntries, aPhase) == 200 ? 1 : 0;
    std::this_thread::sleep_for(Millis(100));
  }
  return served;
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
  for (auto n = 0; n < kEnginesA; ++n) {
    StartRunner(aFleet,
                RunnerAddress(aFleet, n),
                "a-" + std::to_string(n),
                "service-a",
                ZoneOf(n));
  }
  StartRunner(
    aFleet, RunnerAddress(aFleet, kEnginesA), "b-0", "service-b", ZoneOf(0));
  for (auto n = 0; n < kEnginesA; ++n) {
    if (!WaitForLine(aFleet,
                     { "a-" + std::to_string(n) + " ", "registered" },
                     Millis(5000))) {
      return false;
    }
  }
  std::this_thread::sleep_for(Millis(3000));
  return true;
}

/// The disruption: one runner crashes for good, and the processes of the core
/// are killed at the same moment and are back within a second.
auto
Disrupt(Fleet& aFleet) -> void
{
  Note(aFleet, "runner a-3 crashes");
  Kill(aFleet, { "a-3" });
  std::this_thread::sleep_for(Millis(500));
  Note(aFleet, "the processes of the core are killed");
  Kill(aFleet, { "control-0", "control-1", "control-2" });
  for (auto n = 0; n < aFleet.mControls; ++n) {
    StartInstance(aFleet, true, n, false);
  }
  Note(aFleet, "the processes of the core are started");
}

auto
Run(Fleet& aFleet) -> int
{
  if (!StartAll(aFleet) || SendPrompts(aFleet, "before") < kPrompts) {
    Note(aFleet, "could not run: the fleet does not serve");
    return 2;
  }
  if (HasTrouble()) {
    Disrupt(aFleet);
  }
  std::this_thread::sleep_for(kAddressReuse);
  const auto address =
    RunnerAddress(aFleet, HasTrouble() ? kEnginesA - 1 : kEnginesA + 1);
  Note(aFleet, "runner b-1 of service-b starts at " + Format(address));
  StartRunner(aFleet, address, "b-1", "service-b", ZoneOf(0));
  if (!WaitForLine(aFleet, { "b-1 ", "registered" }, Millis(5000))) {
    Note(aFleet, "could not run: b-1 is not acknowledged");
    return 2;
  }
  std::this_thread::sleep_for(kSettling);
  const auto served = SendPrompts(aFleet, "after");
  const auto foreign = FindLines(aFleet, { " service-b part ", " /a/" }).size();
  Note(aFleet,
       std::to_string(kPrompts) + " prompts of service-a after the change, " +
         std::to_string(served) + " served; runners of service-b worked on " +
         std::to_string(foreign));
  return foreign > 0 ? 1 : 0;
}

} // namespace

auto
main(int aCount, char** aWords) -> int
{
  if (aCount != 3) {
    std::fputs("usage: case-6 ROOT RECORD\n", stderr);
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
