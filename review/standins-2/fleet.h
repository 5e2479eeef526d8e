#pragma once

#include "net.h"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

/// The platform's part of a case: starts instances of the project and runners
/// as separate processes with settings like those of a small deployment.
namespace review {

/// Ports of each instance, which has a loopback address of its own.
struct Ports
{
  int mPeer = 0;
  int mOperator = 0;
  int mCaller = 0;
  int mPlatform = 0;
  int mRelay = 0;
  int mRunner = 0;
};

struct Process
{
  std::string mName;
  pid_t mId = 0;
};

struct Fleet
{
  std::filesystem::path mRoot;
  std::filesystem::path mFolder;
  std::filesystem::path mRecord;
  int mNet = 0;
  int mControls = 3;
  int mEntries = 3;
  Ports mPorts;
  std::vector<Process> mProcesses;
};

inline auto
Note(const Fleet& aFleet, const std::string& aLine) -> void
{
  std::ofstream(aFleet.mRecord, std::ios::app)
    << std::to_string(NowMillis()) + " case " + aLine + "\n";
}

inline auto
HostOf(const Fleet& aFleet, int aRow, int aNumber) -> std::string
{
  return "127." + std::to_string(aFleet.mNet) + "." + std::to_string(aRow) +
         "." + std::to_string(aNumber + 1);
}

inline auto
ControlAddress(const Fleet& aFleet, int aControl) -> Address
{
  return { HostOf(aFleet, 1, aControl), aFleet.mPorts.mOperator };
}

inline auto
CallerAddress(const Fleet& aFleet, int aEntry) -> Address
{
  return { HostOf(aFleet, 2, aEntry), aFleet.mPorts.mCaller };
}

inline auto
RunnerAddress(const Fleet& aFleet, int aRunner) -> Address
{
  return { HostOf(aFleet, 3, aRunner), aFleet.mPorts.mRunner };
}

inline auto
ZoneOf(int aNumber) -> std::string
{
  return std::string("zone-") + static_cast<char>('a' + aNumber % 3);
}

/// Chooses a loopback net and ports that are free on it.
inline auto
ChoosePlaces(Fleet& aFleet) -> bool
{
  constexpr auto kFirstPort = 23400;
  for (auto n = 0; n < 100; ++n) {
    aFleet.mNet = 100 + (static_cast<int>(getpid()) + n) % 100;
    const auto first = kFirstPort + 10 * n;
    aFleet.mPorts = { first,     first + 1, first + 2,
                      first + 3, first + 4, first + 5 };
    auto isFree = true;
    for (auto row = 1; row <= 3; ++row) {
      for (auto port = first; port <= first + 5; ++port) {
        const auto fd = Listen({ HostOf(aFleet, row, 0), port });
        isFree = isFree && fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
    if (isFree) {
      return true;
    }
  }
  return false;
}

inline auto
WriteSettings(const Fleet& aFleet, bool aIsControl, int aNumber, bool aMayFound)
  -> std::string
{
  const auto host = HostOf(aFleet, aIsControl ? 1 : 2, aNumber);
  const auto name =
    (aIsControl ? "control-" : "entry-") + std::to_string(aNumber);
  const auto at = [&](int aPort) { return Format({ host, aPort }); };
  const auto path = aFleet.mFolder / (name + ".yaml");
  auto file = std::ofstream(path);
  file << "instance: " << name << "\nfailure_domain: " << ZoneOf(aNumber)
       << "\nregion: region-a\nroles: [" << (aIsControl ? "control" : "entry")
       << "]\nadapter: platform\nlisten:\n  peer: " << at(aFleet.mPorts.mPeer)
       << "\n";
  if (aIsControl) {
    file << "  operator: " << at(aFleet.mPorts.mOperator)
         << "\n  platform: " << at(aFleet.mPorts.mPlatform)
         << "\ndata_folder: " << (aFleet.mFolder / (name + "-data")).string()
         << "\n";
  } else {
    file << "  caller: " << at(aFleet.mPorts.mCaller)
         << "\n  platform: " << at(aFleet.mPorts.mPlatform)
         << "\n  relay: " << at(aFleet.mPorts.mRelay) << "\n";
  }
  file << "discovery:\n  seeds:\n";
  for (auto n = 0; n < aFleet.mControls; ++n) {
    file << "    - " << Format(ControlAddress(aFleet, n)) << "\n";
  }
  file << "  peer_port: " << aFleet.mPorts.mPeer
       << "\n  may_found: " << (aMayFound ? "true" : "false")
       << "\n  heartbeat: 1200 ms\n"
          "retries:\n  ratio: 0.2\n  slack: 104\n  window: 10 s\n"
          "overload:\n  defer: true\n  order: true\n"
          "limits:\n  body: 5 MiB\n  memory: 260 MiB\n  connections: 3000\n"
          "  stop_time: 7 s\nkeys:\n  peer_file: deploy/peer.key\n"
          "log:\n  level: info\n";
  return path.string();
}

/// Starts a program in the root of the repository; its output goes to a file of
/// the temporary folder.
inline auto
Start(Fleet& aFleet,
      const std::string& aName,
      const std::vector<std::string>& aCommand) -> pid_t
{
  const auto log = (aFleet.mFolder / (aName + ".log")).string();
  const auto root = aFleet.mRoot.string();
  auto words = std::vector<char*>{};
  for (const auto& it : aCommand) {
    words.push_back(const_cast<char*>(it.c_str()));
  }
  words.push_back(nullptr);
  const auto id = fork();
  if (id == 0) {
    // NOTE: no process outlives the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (chdir(root.c_str()) != 0 ||
        freopen(log.c_str(), "a", stdout) == nullptr) {
      _exit(127);
    }
    dup2(STDOUT_FILENO, STDERR_FILENO);
    execv(words[0], words.data());
    _exit(127);
  }
  aFleet.mProcesses.push_back({ aName, id });
  return id;
}

/// Runs the command of the roles in the deploy file.
inline auto
StartInstance(Fleet& aFleet, bool aIsControl, int aNumber, bool aMayFound)
  -> void
{
  const auto settings = WriteSettings(aFleet, aIsControl, aNumber, aMayFound);
  Start(aFleet,
        (aIsControl ? "control-" : "entry-") + std::to_string(aNumber),
        { (aFleet.mRoot / "target/src/program/cuminslip").string(),
          "serve",
          "--settings",
          settings });
}

inline auto
StartRunner(Fleet& aFleet,
            const Address& aAddress,
            const std::string& aId,
            const std::string& aService,
            const std::string& aZone) -> void
{
  auto controls = std::string{};
  for (auto n = 0; n < aFleet.mControls; ++n) {
    controls += (n == 0 ? "" : ",") + Format(ControlAddress(aFleet, n));
  }
  Start(aFleet,
        aId,
        { (aFleet.mRoot / "target/review-2/runner").string(),
          Format(aAddress),
          aId,
          aService,
          aZone,
          controls,
          aFleet.mRecord.string() });
}

/// Sends SIGKILL to the processes of these names at the same moment.
inline auto
Kill(Fleet& aFleet, const std::vector<std::string>& aNames) -> void
{
  const auto isNamed = [&](const Process& aItem) {
    return std::find(aNames.begin(), aNames.end(), aItem.mName) != aNames.end();
  };
  for (const auto& it : aFleet.mProcesses) {
    if (isNamed(it)) {
      kill(it.mId, SIGKILL);
    }
  }
  for (const auto& it : aFleet.mProcesses) {
    if (isNamed(it)) {
      waitpid(it.mId, nullptr, 0);
    }
  }
  std::erase_if(aFleet.mProcesses, isNamed);
}

inline auto
KillAll(Fleet& aFleet) -> void
{
  auto names = std::vector<std::string>{};
  for (const auto& it : aFleet.mProcesses) {
    names.push_back(it.mName);
  }
  Kill(aFleet, names);
}

/// Sends a configuration to the control instances in turn until it is
/// acknowledged.
inline auto
PutConfiguration(const Fleet& aFleet, const std::string& aBody, Millis aLimit)
  -> bool
{
  const auto end = Clock::now() + aLimit;
  for (auto n = 0; Clock::now() < end; ++n) {
    const auto answer =
      Call(ControlAddress(aFleet, n % aFleet.mControls),
           "PUT /api/config HTTP/1.1\r\nHost: control\r\n"
           "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(aBody.size()) + "\r\n\r\n" + aBody,
           Millis(1000));
    if (StatusOf(answer) == 200) {
      return true;
    }
    std::this_thread::sleep_for(Millis(100));
  }
  return false;
}

inline auto
WaitForReadiness(const Fleet& aFleet, Millis aLimit) -> bool
{
  const auto end = Clock::now() + aLimit;
  for (auto n = 0; n < aFleet.mEntries;) {
    const auto answer = Call({ HostOf(aFleet, 2, n), aFleet.mPorts.mPlatform },
                             "GET /api/readyz HTTP/1.1\r\nHost: entry\r\n\r\n",
                             Millis(1000));
    if (StatusOf(answer) == 200) {
      ++n;
    } else if (Clock::now() > end) {
      return false;
    } else {
      std::this_thread::sleep_for(Millis(100));
    }
  }
  return true;
}

/// Lines of the record that hold all of these texts.
inline auto
FindLines(const Fleet& aFleet, const std::vector<std::string>& aTexts)
  -> std::vector<std::string>
{
  auto found = std::vector<std::string>{};
  auto file = std::ifstream(aFleet.mRecord);
  for (auto line = std::string{}; std::getline(file, line);) {
    const auto isFound =
      std::all_of(aTexts.begin(), aTexts.end(), [&](const auto& aText) {
        return line.find(aText) != std::string::npos;
      });
    if (isFound) {
      found.push_back(line);
    }
  }
  return found;
}

/// Waits until the record holds a line with all of these texts.
inline auto
WaitForLine(const Fleet& aFleet,
            const std::vector<std::string>& aTexts,
            Millis aLimit) -> bool
{
  const auto end = Clock::now() + aLimit;
  while (FindLines(aFleet, aTexts).empty()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Millis(50));
  }
  return true;
}

/// Makes a fleet from the words of a case: ROOT RECORD. The temporary folder is
/// removed by RemoveFolder.
inline auto
MakeFleet(const std::filesystem::path& aRoot,
          const std::filesystem::path& aRecord) -> std::optional<Fleet>
{
  auto fleet = Fleet{};
  fleet.mRoot = std::filesystem::absolute(aRoot);
  fleet.mRecord = std::filesystem::absolute(aRecord);
  auto name =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr || !ChoosePlaces(fleet)) {
    return std::nullopt;
  }
  fleet.mFolder = name;
  std::filesystem::remove(fleet.mRecord);
  return fleet;
}

inline auto
RemoveFolder(const Fleet& aFleet) -> void
{
  auto ec = std::error_code{};
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(aFleet.mFolder, ec);
  }
}

inline auto
HasTrouble() -> bool
{
  const auto* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
