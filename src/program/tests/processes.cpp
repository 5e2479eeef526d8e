#include "program/tests/processes.h"

#include "base/digest.h"
#include "wire/eventloop.h"
#include "wire/httpclient.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <thread>

namespace cuminslip::program::testing {

namespace {

namespace json = boost::json;

constexpr auto kMaxAnswer = std::size_t{ 16 } * 1024 * 1024;
constexpr auto kStandinPorts = std::size_t{ 6 };
constexpr auto kPeerKey = "peer-key-of-the-process-tests";

auto
FreePorts(std::size_t aCount) -> std::vector<int>
{
  auto ports = std::vector<int>{};
  auto sockets = std::vector<int>{};
  while (ports.size() < aCount) {
    const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto length = socklen_t{ sizeof(address) };
    const auto isBound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    BOOST_REQUIRE(isBound);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    sockets.push_back(fd);
    ports.push_back(ntohs(address.sin_port));
  }
  for (const auto fd : sockets) {
    close(fd);
  }
  return ports;
}

auto
Spawn(const std::vector<std::string>& aWords, const std::string& aLog) -> pid_t
{
  auto words = std::vector<char*>{};
  for (const auto& word : aWords) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  auto actions = posix_spawn_file_actions_t{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDERR_FILENO, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  auto pid = pid_t{ 0 };
  const auto result =
    posix_spawn(&pid, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  BOOST_REQUIRE_MESSAGE(result == 0, aWords[0] << " could not be started");
  return pid;
}

auto
KillNow(Process& aProcess) -> void
{
  if (aProcess.mPid == 0) {
    return;
  }
  kill(aProcess.mPid, SIGKILL);
  waitpid(aProcess.mPid, nullptr, 0);
  aProcess.mPid = 0;
}

auto
DomainOf(std::size_t aInstance) -> std::string
{
  constexpr auto kDomains = std::size_t{ 3 };
  return "poa-" + std::to_string(aInstance % kDomains + 1);
}

auto
Local(int aPort) -> std::string
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace

Deployment::Deployment(std::size_t aInstances, std::size_t aControls)
  : mControls(aControls)
  , mProcesses(aInstances)
{
  auto name = std::string("/tmp/cuminslip-program-XXXXXX");
  mFolder = mkdtemp(name.data());
  const auto ports = FreePorts(aInstances * 5 + kStandinPorts);
  for (auto i = std::size_t{ 0 }; i < aInstances; ++i) {
    const auto n = i * 5;
    mPorts.push_back(
      { ports[n], ports[n + 1], ports[n + 2], ports[n + 3], ports[n + 4] });
  }
  mStandinPorts.assign(ports.end() - kStandinPorts, ports.end());
  std::ofstream(mFolder / "peer.key") << kPeerKey;
  for (auto i = std::size_t{ 0 }; i < aInstances; ++i) {
    WriteSettings(i);
  }
}

Deployment::~Deployment()
{
  for (auto& process : mProcesses) {
    KillNow(process);
  }
  KillNow(mStandins);
  // NOTE: settings, logs and data of a failed run are wanted for the search.
  if (std::getenv("CUMINSLIP_KEEP_TEST_FILES") == nullptr) {
    std::filesystem::remove_all(mFolder);
  }
}

auto
Deployment::WriteSettings(std::size_t aInstance) const -> void
{
  auto file = std::ofstream(mFolder / (Name(aInstance) + ".yaml"));
  const auto& ports = mPorts[aInstance];
  const auto isControl = aInstance < mControls;
  file << "instance: " << Name(aInstance)
       << "\nfailure_domain: " << DomainOf(aInstance)
       << "\nregion: porto-alegre\nroles: "
       << (isControl ? "[entry, control]" : "[entry]") << "\nlisten:\n"
       << "  caller: " << Local(ports.mCaller)
       << "\n  operator: " << Local(ports.mOperator)
       << "\n  endpoint: " << Local(ports.mEndpoint)
       << "\n  platform: " << Local(ports.mPlatform)
       << "\n  peer: " << Local(ports.mPeer) << "\ncontrol_instances:\n";
  for (auto i = std::size_t{ 0 }; i < mControls; ++i) {
    file << "  - { id: " << Name(i) << ", address: " << Local(mPorts[i].mPeer)
         << ", failure_domain: " << DomainOf(i) << " }\n";
  }
  file << "domain_instances:\n";
  for (auto i = std::size_t{ 0 }; i < mPorts.size(); ++i) {
    if (i != aInstance && DomainOf(i) == DomainOf(aInstance)) {
      file << "  - { id: " << Name(i) << ", address: " << Local(mPorts[i].mPeer)
           << " }\n";
    }
  }
  if (isControl) {
    file << "data_folder: " << (mFolder / ("data-" + Name(aInstance))).string()
         << "\n";
  }
  file << "limits: { stop_time: 20 s }\nkeys:\n  callers:\n    - { sha256: "
       << Sha256Hex("caller") << ", account: desconto-certo }\n"
       << "  operators:\n    - { sha256: " << Sha256Hex("operator")
       << ", name: ana }\n  endpoints:\n    - { sha256: "
       << Sha256Hex("endpoint")
       << ", name: engines }\n  peer_file: " << (mFolder / "peer.key").string()
       << "\n";
}

auto
Deployment::WriteScenario() const -> void
{
  auto file = std::ofstream(mFolder / "standins.yaml");
  file << "time_scale: 4\ncontrol: " << Local(mStandinPorts[0])
       << "\nengines:\n";
  const auto announceTo = [&](std::size_t aDomain) {
    auto text = std::string{};
    for (auto i = aDomain; i < mPorts.size(); i += 3) {
      text +=
        (text.empty() ? "\"" : ", \"") + Local(mPorts[i].mEndpoint) + "\"";
    }
    return "[" + text + "]";
  };
  for (auto i = std::size_t{ 0 }; i < 3 && i < mPorts.size(); ++i) {
    file << "  - { name: engine-" << i + 1 << ", address: \""
         << Local(mStandinPorts[i + 1]) << "\", failure_domain: " << DomainOf(i)
         << ", region: porto-alegre, announce_to: " << announceTo(i)
         << ", endpoint_key: endpoint, models: [{ model: drafter, version: "
            "\"3\" }] }\n";
  }
  file << "services:\n  - { name: counter-1, service: counter, address: \""
       << Local(mStandinPorts[4])
       << "\", failure_domain: poa-1, region: porto-alegre, announce_to: "
       << announceTo(0) << ", endpoint_key: endpoint }\n";
}

auto
Deployment::Start(std::size_t aInstance) -> void
{
  const auto name = Name(aInstance);
  mProcesses[aInstance].mPid =
    Spawn({ CUMINSLIP_BINARY_DIR "/src/program/cuminslip",
            "serve",
            "--settings",
            (mFolder / (name + ".yaml")).string() },
          (mFolder / (name + ".log")).string());
}

auto
Deployment::StartAll() -> void
{
  for (auto i = std::size_t{ 0 }; i < mProcesses.size(); ++i) {
    Start(i);
  }
}

auto
Deployment::StartStandins() -> void
{
  WriteScenario();
  mStandins.mPid =
    Spawn({ CUMINSLIP_BINARY_DIR "/fakes/program/cuminslip-standin",
            "all",
            "--settings",
            (mFolder / "standins.yaml").string() },
          (mFolder / "standins.log").string());
}

auto
Deployment::Signal(std::size_t aInstance, int aSignal) -> void
{
  kill(mProcesses[aInstance].mPid, aSignal);
}

auto
Deployment::Kill(std::size_t aInstance) -> void
{
  KillNow(mProcesses[aInstance]);
}

auto
Deployment::StopGracefully(std::size_t aInstance) -> int
{
  Signal(aInstance, SIGTERM);
  auto status = 0;
  waitpid(mProcesses[aInstance].mPid, &status, 0);
  mProcesses[aInstance].mPid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

auto
Deployment::EraseDisk(std::size_t aInstance) -> void
{
  std::filesystem::remove_all(mFolder / ("data-" + Name(aInstance)));
}

auto
Deployment::IsRunning(std::size_t aInstance) const -> bool
{
  return mProcesses[aInstance].mPid != 0;
}

auto
Deployment::Ports(std::size_t aInstance) const -> const InstancePorts&
{
  return mPorts[aInstance];
}

auto
Deployment::Name(std::size_t aInstance) const -> std::string
{
  return "entry-" + std::to_string(aInstance + 1);
}

auto
Deployment::Count() const -> std::size_t
{
  return mPorts.size();
}

auto
Deployment::StandinControlPort() const -> int
{
  return mStandinPorts[0];
}

auto
Deployment::EnginePort(std::size_t aEngine) const -> int
{
  return mStandinPorts[aEngine + 1];
}

auto
Deployment::Folder() const -> std::filesystem::path
{
  return mFolder;
}

auto
Deployment::Operators(const std::vector<std::size_t>& aInstances) const
  -> std::string
{
  auto text = std::string{};
  for (const auto i : aInstances) {
    text += (text.empty() ? "" : ",") + Local(mPorts[i].mOperator);
  }
  return text;
}

auto
Call(int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aKey,
     const std::string& aBody,
     wire::Headers aHeaders) -> wire::HttpResponse
{
  const auto loop = wire::CreateEventLoop();
  const auto client = wire::CreateHttpClient(*loop);
  auto call = wire::HttpCall{};
  call.mAddress = { "127.0.0.1", aPort };
  call.mRequest = { aMethod, aPath, "", std::move(aHeaders), aBody };
  call.mRequest.mHeaders.push_back({ "authorization", "Bearer " + aKey });
  auto answer = wire::HttpResponse{ 0, {}, "" };
  auto isDone = false;
  wire::FetchResponse(
    *client,
    call,
    kMaxAnswer,
    [&](wire::CallEnd aEnd, const wire::HttpResponse& aResponse) {
      isDone = true;
      if (aEnd == wire::CallEnd::Complete) {
        answer = aResponse;
      }
    });
  while (!isDone) {
    wire::RunLoopOnce(*loop, Millis(50));
  }
  return answer;
}

auto
WaitUntil(const std::function<bool()>& aCheck, int aSeconds) -> bool
{
  const auto limit = MonotonicNow() + Seconds(aSeconds);
  while (MonotonicNow() < limit) {
    if (aCheck()) {
      return true;
    }
    std::this_thread::sleep_for(Millis(50));
  }
  return false;
}

auto
NumberedTemplate(int aNumber) -> std::string
{
  return "account: desconto-certo\nregions: [porto-alegre]\nfailure_domains: "
         "[poa-1, poa-2, poa-3]\nmodel: drafter\nversion: \"3\"\nwork_kinds:\n"
         "  - { name: check, priority: urgent, deadline: 20 s, queue_time: 8 "
         "s, "
         "first_token: 1 s }\n  - { name: submit, deadline: 30 s, queue_time: "
         "10 s, first_token: 2 s, idempotent: false, service: counter }\n"
         "length_classes:\n  - { name: short, max_tokens: 4000 }\n  - { name: "
         "long, max_tokens: 1000000 }\nlimits: { waiting_requests: " +
         std::to_string(aNumber) + " }\n";
}

auto
Publish(const Deployment& aDeployment,
        std::size_t aInstance,
        int aNumber,
        std::uint64_t aExpected,
        const std::string& aRequestId) -> wire::HttpResponse
{
  const auto body =
    json::serialize(json::object{ { "expected_revision", aExpected },
                                  { "request_id", aRequestId },
                                  { "document", NumberedTemplate(aNumber) } });
  return Call(aDeployment.Ports(aInstance).mOperator,
              "PUT",
              "/operator/v1/templates/desconto-certo",
              "operator",
              body);
}

auto
RevisionAt(const Deployment& aDeployment, std::size_t aInstance)
  -> std::uint64_t
{
  const auto answer = Call(aDeployment.Ports(aInstance).mOperator,
                           "GET",
                           "/operator/v1/templates/desconto-certo",
                           "operator");
  return answer.mStatus == 200
           ? static_cast<std::uint64_t>(NumberOf(answer.mBody, "revision"))
           : 0;
}

auto
NumberOf(const std::string& aBody, const std::string& aName) -> std::int64_t
{
  auto ec = json::error_code{};
  const auto value = json::parse(aBody, ec);
  if (ec || !value.is_object()) {
    return 0;
  }
  const auto* number = value.as_object().if_contains(aName);
  return number != nullptr && number->is_int64() ? number->as_int64() : 0;
}

} // namespace cuminslip::program::testing
