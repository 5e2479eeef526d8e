#pragma once

#include "control/controlcore.h"
#include "control/statemachine.h"
#include "peers/internal/diskthread.h"
#include "peers/types/leaderoutcome.h"

#include <memory>

namespace cuminslip {

/// How a proposal ended at this member.
struct ProposalResult
{
  LeaderOutcome mOutcome = LeaderOutcome::NotLeader;
  CommandResult mResult;

  auto operator==(const ProposalResult&) const -> bool = default;
};

using ProposalReply = std::function<void(const ProposalResult&)>;

/// What a control node needs of its task. All run on the peer thread, except
/// mPostToTask, which any thread calls.
struct ControlNodeHooks
{
  std::function<void(const OutgoingMessage&)> mSend;
  /// Templates whose revision is in force and on the disk.
  std::function<void(std::vector<StoredTemplate>)> mOnTemplates;
  /// Runs the function on the peer thread later.
  std::function<void(std::function<void()>)> mPostToTask;
  NowFunction mNow;
};

/// The control log of one control instance: core, state machine and disk.
/// Used on the peer thread only.
class ControlNode
{
public:
  ControlNode(CoreState aCore,
              ControlState aState,
              ControlStore aStore,
              ControlNodeHooks aHooks);
  ControlNode(const ControlNode&) = delete;
  auto operator=(const ControlNode&) -> ControlNode& = delete;
  ~ControlNode();

  auto Tick() -> void;

  /// Takes an encoded message of another member. Returns the encoded answer to
  /// its sender, if there is one at once; other messages are sent.
  auto Receive(std::string_view aMessage) -> std::string;

  /// Takes an answer that Receive of another member returned.
  auto ReceiveReply(std::string_view aMessage) -> void;

  /// Proposes an encoded command; those of one turn go in one batch.
  auto Propose(std::string aCommand, ProposalReply aReply) -> void;

  /// Takes a founding or membership input; returns the problem, if any.
  auto ChangeMembership(const CoreInput& aInput) -> std::string;

  auto Core() const -> const CoreState& { return mCore; }
  auto State() const -> const ControlState& { return mState; }
  auto Figures() const -> const StoreCounters& { return mFigures; }

  /// Why the disk stopped; empty while it works.
  auto StorageFailure() const -> const std::string& { return mFailure; }

  auto IsLeader() const -> bool;
  auto HasLease() const -> bool;
  auto LeaderInstance() const -> InstanceId;
  auto LeaderAddress() const -> std::string;

private:
  struct PendingProposal
  {
    Term mTerm = 0;
    ProposalReply mReply;
  };

  auto Feed(const CoreInput& aInput) -> std::string;
  auto SendOrReturn(const OutgoingMessage& aMessage) -> void;
  auto Restore(const Snapshot& aSnapshot) -> void;
  auto Apply(const std::vector<LogEntry>& aEntries) -> void;
  auto AnswerProposal(const LogEntry& aEntry, const CommandResult& aResult)
    -> void;
  auto TakePlaces(const std::vector<ProposalPosition>& aPlaces) -> void;
  auto FailPending() -> void;
  auto TakeReport(const DiskReport& aReport) -> void;
  auto FlushProposals() -> void;
  auto AnnounceTemplates() -> void;
  auto TakeSnapshotIfDue() -> void;
  auto LogCoreEvent(const CoreEvent& aEvent) -> void;

  ControlNodeHooks mHooks;
  CoreState mCore;
  ControlState mState;
  ControlLimits mBounds;
  StoreCounters mFigures;
  std::string mFailure;
  /// Commit floor asked for, and on the disk; revision announced.
  Revision mFloorWanted = 0;
  Revision mFloorDone = 0;
  Revision mAnnounced = 0;
  std::uint64_t mNextToken = 1;
  /// Sender of the message being received, and the answer to it.
  std::optional<MemberId> mReplyTo;
  std::string mReply;
  std::vector<Proposal> mQueue;
  std::map<std::uint64_t, ProposalReply> mReplies;
  std::map<Revision, PendingProposal> mPending;
  /// Tells a late disk report that this object is gone.
  std::shared_ptr<bool> mIsAlive = std::make_shared<bool>(true);
  std::unique_ptr<DiskThread> mDisk;
};

/// Opens the data folder of a control instance. Fails with Findings.
auto
OpenControlNode(const std::string& aFolder,
                const InstanceId& aInstance,
                const std::string& aAddress,
                ControlNodeHooks aHooks)
  -> leaf::result<std::unique_ptr<ControlNode>>;

} // namespace cuminslip
