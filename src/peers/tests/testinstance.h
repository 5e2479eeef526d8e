#pragma once

#include "peers/peertask.h"

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cuminslip {

/// A few instances in this process: control instances first, then instances
/// without a disk, each with its own failure domain name by position.
struct TestGroup
{
  static constexpr auto kPatience = std::chrono::seconds(30);

  struct Seen
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    Revision mRevision = 0;
    bool mHasFallen = false;
    std::set<std::string> mMessages;
    std::vector<directory::EntryInstance> mEntries;
  };

  std::vector<PeerSettings> mSettings;
  std::vector<std::unique_ptr<PeerTask>> mTasks;
  std::vector<std::unique_ptr<Seen>> mSeen;
  std::filesystem::path mFolder;

  explicit TestGroup(std::size_t aControls, std::size_t aOthers = 0)
  {
    auto name = std::string("/tmp/cuminslip-peers-XXXXXX");
    mFolder = ::mkdtemp(name.data());
    const auto ports = FreePorts(aControls + aOthers);
    for (auto n = std::size_t{ 0 }; n < aControls + aOthers; ++n) {
      auto settings = PeerSettings{};
      settings.mInstance = { "instance-" + std::to_string(n) };
      settings.mFailureDomain = { "domain-" + std::to_string(n % 3) };
      settings.mAddress = "127.0.0.1:" + std::to_string(ports[n]);
      settings.mPeerKey = "peer key";
      settings.mProposalTime = Millis(20000);
      if (n < aControls) {
        settings.mDataFolder = (mFolder / std::to_string(n)).string();
      }
      mSettings.push_back(settings);
      mTasks.push_back(nullptr);
      mSeen.push_back(std::make_unique<Seen>());
    }
    for (auto& it : mSettings) {
      for (auto n = std::size_t{ 0 }; n < mSettings.size(); ++n) {
        if (n < aControls) {
          it.mControlInstances.push_back(Instance(n));
        }
        if (mSettings[n].mFailureDomain == it.mFailureDomain) {
          it.mDomainInstances.push_back(Instance(n));
        }
      }
    }
  }

  ~TestGroup()
  {
    mTasks.clear();
    std::filesystem::remove_all(mFolder);
  }

  static auto FreePorts(std::size_t aCount) -> std::vector<int>
  {
    auto ports = std::vector<int>{};
    auto sockets = std::vector<int>{};
    for (auto n = std::size_t{ 0 }; n < aCount; ++n) {
      auto address = sockaddr_in{};
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      auto length = socklen_t{ sizeof(address) };
      if (::bind(socket, reinterpret_cast<sockaddr*>(&address), length) != 0) {
        continue;
      }
      ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
      ports.push_back(ntohs(address.sin_port));
      sockets.push_back(socket);
    }
    for (const auto it : sockets) {
      ::close(it);
    }
    return ports;
  }

  auto Instance(std::size_t aNumber) const -> PeerInstance
  {
    const auto& it = mSettings[aNumber];
    return { it.mInstance, it.mAddress, it.mFailureDomain };
  }

  auto Start(std::size_t aNumber) -> Findings
  {
    auto* seen = mSeen[aNumber].get();
    auto callbacks = PeerCallbacks{};
    callbacks.mOnTemplates = [seen](const TemplateUpdate& aUpdate) {
      const auto lock = std::lock_guard(seen->mMutex);
      seen->mHasFallen |= aUpdate.mRevision < seen->mRevision;
      seen->mRevision = aUpdate.mRevision;
      seen->mChanged.notify_all();
    };
    callbacks.mOnPeerMessage = [seen](const InstanceId&,
                                      const std::string& aBytes) {
      const auto lock = std::lock_guard(seen->mMutex);
      seen->mMessages.insert(aBytes);
      seen->mChanged.notify_all();
    };
    callbacks.mOnEntries =
      [seen](const std::vector<directory::EntryInstance>& aEntries) {
        const auto lock = std::lock_guard(seen->mMutex);
        seen->mEntries = aEntries;
      };
    auto outcome = CollectOutcome<std::unique_ptr<PeerTask>>(
      [&] { return StartPeerTask(mSettings[aNumber], callbacks); });
    if (outcome.mValue) {
      mTasks[aNumber] = std::move(*outcome.mValue);
    }
    return outcome.mFindings;
  }

  auto Stop(std::size_t aNumber) -> void { mTasks[aNumber].reset(); }

  auto Empty(std::size_t aNumber) -> void
  {
    std::filesystem::remove_all(*mSettings[aNumber].mDataFolder);
  }

  /// Calls a function with a reply and waits for it.
  template<class Value, class Function>
  static auto Await(Function aCall) -> Value
  {
    auto promise = std::make_shared<std::promise<Value>>();
    auto future = promise->get_future();
    aCall([promise](const Value& aValue) { promise->set_value(aValue); });
    return future.get();
  }

  auto Propose(std::size_t aNumber, Command aCommand) -> CommandResult
  {
    return Await<CommandResult>([&](auto aReply) {
      mTasks[aNumber]->Propose(std::move(aCommand), aReply);
    });
  }

  auto Publish(std::size_t aNumber,
               std::string aAccount,
               Revision aExpected,
               std::string aRequest,
               std::string aDocument) -> CommandResult
  {
    return Propose(aNumber,
                   PublishCommand{ { std::move(aAccount) },
                                   aExpected,
                                   { std::move(aRequest) },
                                   std::move(aDocument) });
  }

  auto ReadTemplates(std::size_t aNumber) -> TemplateReading
  {
    return Await<TemplateReading>(
      [&](auto aReply) { mTasks[aNumber]->ReadTemplates(aReply); });
  }

  auto Report(std::size_t aNumber) -> RevisionReport
  {
    return Await<RevisionReport>(
      [&](auto aReply) { mTasks[aNumber]->ReportRevisions(aReply); });
  }

  auto ChangeMembership(std::size_t aNumber, MembershipRequest aRequest)
    -> MembershipReply
  {
    return Await<MembershipReply>([&](auto aReply) {
      mTasks[aNumber]->ChangeMembership(aRequest, aReply);
    });
  }

  /// Polls until aIsTrue or the patience is over.
  template<class Function>
  static auto WaitUntil(Function aIsTrue) -> bool
  {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!aIsTrue()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
  }

  auto WaitForRevision(std::size_t aNumber, Revision aRevision) -> bool
  {
    auto& seen = *mSeen[aNumber];
    auto lock = std::unique_lock(seen.mMutex);
    return seen.mChanged.wait_for(
      lock, kPatience, [&] { return seen.mRevision >= aRevision; });
  }

  auto WaitForMessage(std::size_t aNumber, const std::string& aBytes) -> bool
  {
    auto& seen = *mSeen[aNumber];
    auto lock = std::unique_lock(seen.mMutex);
    return seen.mChanged.wait_for(
      lock, kPatience, [&] { return seen.mMessages.contains(aBytes); });
  }

  auto WaitUntilReady(std::size_t aNumber) -> bool
  {
    return WaitUntil([&] { return mTasks[aNumber]->Status().mIsReady; });
  }

  /// Waits until all members are voters and there are aCount of them.
  auto WaitForVoters(std::size_t aNumber, std::size_t aCount) -> bool
  {
    return WaitUntil([&] {
      const auto report = Report(aNumber);
      auto voters = std::size_t{ 0 };
      for (const auto& it : report.mMembership.mMembers) {
        voters += it.mRole == MemberRole::Voter ? 1 : 0;
      }
      return voters == aCount && report.mMembership.mMembers.size() == aCount &&
             report.mMembership.mExpected.empty();
    });
  }

  auto Leader() const -> std::size_t
  {
    for (auto n = std::size_t{ 0 }; n < mTasks.size(); ++n) {
      if (mTasks[n] && mTasks[n]->Status().mIsLeader) {
        return n;
      }
    }
    return mTasks.size();
  }
};

} // namespace cuminslip
