#pragma once

#include "wire/types/httpmessage.h"

#include <sys/types.h>

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

/// Real processes of the binary and the stand-ins on loopback, and blocking
/// calls to them.
namespace cuminslip::program::testing {

/// Where one instance listens.
struct InstancePorts
{
  int mCaller = 0;
  int mOperator = 0;
  int mEndpoint = 0;
  int mPlatform = 0;
  int mPeer = 0;
};

/// One process, killed when the test ends.
struct Process
{
  pid_t mPid = 0;
};

/// Instances in three failure domains, the first mControls of them with a data
/// folder, and stand-in endpoints.
class Deployment
{
public:
  Deployment(std::size_t aInstances, std::size_t aControls);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  auto operator=(const Deployment&) -> Deployment& = delete;

  auto Start(std::size_t aInstance) -> void;
  auto StartAll() -> void;
  /// Starts engines "engine-N", one a domain, and service "counter".
  auto StartStandins() -> void;

  auto Signal(std::size_t aInstance, int aSignal) -> void;
  /// Kills an instance at once.
  auto Kill(std::size_t aInstance) -> void;
  /// Sends SIGTERM and returns the exit status.
  auto StopGracefully(std::size_t aInstance) -> int;
  /// Empties the data folder of a stopped instance.
  auto EraseDisk(std::size_t aInstance) -> void;
  auto IsRunning(std::size_t aInstance) const -> bool;

  auto Ports(std::size_t aInstance) const -> const InstancePorts&;
  auto Name(std::size_t aInstance) const -> std::string;
  auto Count() const -> std::size_t;
  auto StandinControlPort() const -> int;
  auto EnginePort(std::size_t aEngine) const -> int;
  auto Folder() const -> std::filesystem::path;

  /// Operator addresses of the given instances, for --instance.
  auto Operators(const std::vector<std::size_t>& aInstances) const
    -> std::string;

private:
  auto WriteSettings(std::size_t aInstance) const -> void;
  auto WriteScenario() const -> void;

  std::filesystem::path mFolder;
  std::vector<InstancePorts> mPorts;
  std::vector<int> mStandinPorts;
  std::size_t mControls;
  std::vector<Process> mProcesses;
  Process mStandins;
};

/// Calls and waits for the whole answer; status 0 when none came.
auto
Call(int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aKey,
     const std::string& aBody = {},
     wire::Headers aHeaders = {}) -> wire::HttpResponse;

/// Repeats aCheck until it holds; false when it never did within aSeconds.
/// Waits between the checks and proves nothing by time.
auto
WaitUntil(const std::function<bool()>& aCheck, int aSeconds = 30) -> bool;

/// Template of account "desconto-certo" whose only limit is marked with
/// aNumber, as YAML.
auto
NumberedTemplate(int aNumber) -> std::string;

/// Publishes over aExpected at instance aInstance; the answer's status and
/// body.
auto
Publish(const Deployment& aDeployment,
        std::size_t aInstance,
        int aNumber,
        std::uint64_t aExpected,
        const std::string& aRequestId) -> wire::HttpResponse;

/// Revision of the account's template as the instance tells; 0 when none.
auto
RevisionAt(const Deployment& aDeployment, std::size_t aInstance)
  -> std::uint64_t;

/// Member of a JSON object as a whole number; 0 when it is not there.
auto
NumberOf(const std::string& aBody, const std::string& aName) -> std::int64_t;

} // namespace cuminslip::program::testing
