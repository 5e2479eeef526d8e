#include "peers/peertask.h"

#include "control/controlcodec.h"
#include "peers/internal/endpointdirectory.h"
#include "peers/internal/joining.h"
#include "peers/internal/peerthread.h"
#include "peers/internal/proposer.h"
#include "peers/internal/revisionreports.h"

namespace cuminslip {

namespace {

/// Share of a lease, in percent, that clock drift may cost.
constexpr auto kLeaseDriftPercent = 10;

auto
GrantOf(const CommandResult& aResult, TimePoint aAskedAt, LogMillis aDuration)
  -> LeaseGrant
{
  const auto share = 100 - kLeaseDriftPercent;
  const auto usable =
    Millis(static_cast<std::int64_t>(aDuration)) * share / 100;
  const auto isHeld = aResult.mStatus == CommandStatus::Accepted;
  return { isHeld,
           aResult.mRevision,
           isHeld ? aAskedAt + usable : TimePoint{},
           aResult.mHolder };
}

auto
CheckSettings(const PeerSettings& aSettings) -> Findings
{
  auto findings = Findings{};
  if (aSettings.mPeerKey.empty()) {
    AddFinding(findings, { {}, "peer_key", "is empty", "a shared secret" });
  }
  if (aSettings.mControlInstances.empty()) {
    AddFinding(findings,
               { {}, "control_instances", "is empty", "at least one" });
  }
  return findings;
}

/// The handle: passes each call to the peer thread.
class PeerTaskHandle final : public PeerTask
{
public:
  PeerTaskHandle(PeerSettings aSettings, PeerCallbacks aCallbacks)
    : mThread(std::move(aSettings), std::move(aCallbacks))
  {
  }

  auto Start() -> Findings { return mThread.Start(); }

  auto Propose(Command aCommand, CommandReply aReply) -> void override
  {
    mThread.Post(
      [command = EncodeCommand(aCommand),
       reply = NoQuorumReply(std::move(aReply))](PeerContext& aItem) {
        ProposeCommand(aItem, command, reply);
      });
  }

  auto AcquireLease(LeaseCommand aLease,
                    std::function<void(const LeaseGrant&)> aReply)
    -> void override
  {
    // NOTE: the lease counts from before the leader can have granted it.
    const auto askedAt = MonotonicNow();
    const auto duration = aLease.mDuration;
    Propose(std::move(aLease),
            [askedAt, duration, reply = std::move(aReply)](
              const CommandResult& aResult) {
              reply(GrantOf(aResult, askedAt, duration));
            });
  }

  auto ReadTemplates(std::function<void(const TemplateReading&)> aReply)
    -> void override
  {
    mThread.Post(
      [reply = MakeOnceReply<TemplateReading>(std::move(aReply), {})](
        PeerContext& aItem) { ReadCurrentTemplates(aItem, reply); });
  }

  auto ReadHistory(AccountId aAccount,
                   std::function<void(const TemplateReading&)> aReply)
    -> void override
  {
    mThread.Post(
      [account = std::move(aAccount),
       reply = MakeOnceReply<TemplateReading>(std::move(aReply), {})](
        PeerContext& aItem) { ReadAccountHistory(aItem, account, reply); });
  }

  auto FetchWork(AccountId aAccount, std::string aWork, CommandReply aReply)
    -> void override
  {
    mThread.Post([key = AccountKey{ std::move(aAccount), std::move(aWork) },
                  reply = NoQuorumReply(std::move(aReply))](
                   PeerContext& aItem) { FetchFromLeader(aItem, key, reply); });
  }

  auto TakeNotice(directory::EndpointNotice aNotice,
                  std::function<void(bool)> aReply) -> void override
  {
    mThread.Post(
      [notice = std::move(aNotice),
       reply = MakeOnceReply<bool>(std::move(aReply), false)](
        PeerContext& aItem) { reply->Send(HearNotice(aItem, notice)); });
  }

  auto AddControls(std::vector<PeerInstance> aControls) -> void override
  {
    mThread.Post([controls = std::move(aControls)](PeerContext& aItem) {
      for (const auto& it : controls) {
        aItem.mLearntControls.emplace(it.mAddress, it);
      }
    });
  }

  auto ChangeMembership(MembershipRequest aRequest,
                        std::function<void(const MembershipReply&)> aReply)
    -> void override
  {
    mThread.Post([request = std::move(aRequest),
                  reply = MakeOnceReply<MembershipReply>(
                    std::move(aReply), { "the change was not carried out" })](
                   PeerContext& aItem) {
      ChangeMembershipAtLeader(aItem, request, reply);
    });
  }

  auto ReportRevisions(std::function<void(const RevisionReport&)> aReply)
    -> void override
  {
    mThread.Post([reply = MakeOnceReply<RevisionReport>(std::move(aReply), {})](
                   PeerContext& aItem) { CollectReports(aItem, reply); });
  }

  auto SendToPeer(std::string aAddress, std::string aBytes) -> void override
  {
    mThread.Post([address = std::move(aAddress),
                  bytes = std::move(aBytes)](PeerContext& aItem) {
      aItem.mLinks.SendBytes(address, bytes);
    });
  }

  auto Status() const -> PeerStatus override { return mThread.Status(); }

private:
  static auto NoQuorumReply(CommandReply aReply)
    -> OnceReplyPointer<CommandResult>
  {
    return MakeOnceReply<CommandResult>(std::move(aReply),
                                        { CommandStatus::NoQuorum });
  }

  PeerThread mThread;
};

} // namespace

auto
StartPeerTask(PeerSettings aSettings, PeerCallbacks aCallbacks)
  -> leaf::result<std::unique_ptr<PeerTask>>
{
  auto findings = CheckSettings(aSettings);
  if (!IsEmpty(findings)) {
    return leaf::new_error(findings);
  }
  auto task = std::make_unique<PeerTaskHandle>(std::move(aSettings),
                                               std::move(aCallbacks));
  findings = task->Start();
  if (!IsEmpty(findings)) {
    return leaf::new_error(findings);
  }
  return std::unique_ptr<PeerTask>(std::move(task));
}

} // namespace cuminslip
