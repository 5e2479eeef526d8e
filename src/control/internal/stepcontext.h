#pragma once

#include "control/controlcore.h"

/// Parts of the step function, shared between its files.
namespace cuminslip {

/// One step under way. The references outlive it.
struct StepContext
{
  CoreState& mState;
  CoreOutput& mOutput;
  TimePoint mNow;
  /// What this step makes durable, and the messages that wait for it.
  DiskWrite mWrite;
  std::vector<OutgoingMessage> mDeferredMessages;
  bool mIsVoteDirty = false;
};

// Messages.

auto
MakeMessage(const StepContext& aContext, MemberId aTo, ControlBody aBody)
  -> ControlMessage;

/// Sends at once.
auto
SendNow(StepContext& aContext, const Member& aTo, ControlBody aBody) -> void;

/// Answers once everything in memory now is on the disk.
auto
ReplyAfterWrite(StepContext& aContext,
                const ControlMessage& aTo,
                ControlBody aBody) -> void;

// The log.

auto
AppendEntries(StepContext& aContext, std::vector<LogEntry> aEntries) -> void;

auto
TruncateLog(StepContext& aContext, Revision aFrom) -> void;

auto
AdvanceCommit(StepContext& aContext, Revision aCommit) -> void;

auto
LastTerm(const CoreLog& aLog) -> Term;

/// Drops entries up to aIndex from memory.
auto
CompactLog(CoreState& aState, Revision aIndex) -> void;

// Elections.

auto
ResetElectionDeadline(StepContext& aContext) -> void;

auto
BecomeFollower(StepContext& aContext, Term aTerm, MemberId aLeader) -> void;

auto
StepDown(StepContext& aContext, const char* aReason) -> void;

auto
StartPreVote(StepContext& aContext) -> void;

auto
CountVotes(StepContext& aContext) -> void;

auto
HandleElectionMessage(StepContext& aContext, const ControlMessage& aMessage)
  -> bool;

/// True while a leader that may still hold its lease was heard of.
auto
IsLeaderProtected(const StepContext& aContext) -> bool;

// Replication.

auto
BecomeLeader(StepContext& aContext) -> void;

auto
TickLeader(StepContext& aContext) -> void;

auto
SendAppend(StepContext& aContext,
           const Member& aTo,
           Progress& aProgress,
           bool aIsHeartbeat) -> void;

/// Sends what each member lacks.
auto
BroadcastAppend(StepContext& aContext, bool aIsHeartbeat) -> void;

auto
AdvanceLeaderCommit(StepContext& aContext) -> void;

auto
HandleAppendRequest(StepContext& aContext,
                    const ControlMessage& aMessage,
                    const AppendRequest& aRequest) -> void;

auto
HandleAppendReply(StepContext& aContext,
                  const ControlMessage& aMessage,
                  const AppendReply& aReply) -> void;

auto
LeaderClock(const StepContext& aContext) -> LogMillis;

/// When the latest request acknowledged by a quorum was sent.
auto
QuorumAckTime(const CoreState& aState, TimePoint aNow) -> TimePoint;

auto
HandleProposals(StepContext& aContext, const ProposeInput& aInput) -> void;

// Snapshots.

auto
SendSnapshotPiece(StepContext& aContext, const Member& aTo, Progress& aProgress)
  -> void;

auto
HandleSnapshotPiece(StepContext& aContext,
                    const ControlMessage& aMessage,
                    const SnapshotPiece& aPiece) -> void;

auto
HandleSnapshotReply(StepContext& aContext,
                    const ControlMessage& aMessage,
                    const SnapshotReply& aReply) -> void;

auto
HandleSnapshotInput(StepContext& aContext, const SnapshotInput& aInput) -> void;

// Membership.

auto
HandleAddMember(StepContext& aContext, const AddMemberInput& aInput) -> void;

auto
HandleReplaceMember(StepContext& aContext, const ReplaceMemberInput& aInput)
  -> void;

auto
HandleRemoveMember(StepContext& aContext, const RemoveMemberInput& aInput)
  -> void;

auto
HandleBootstrap(StepContext& aContext, const BootstrapInput& aInput) -> void;

/// Promotes learners that have caught up and removes whom they replace.
auto
AdvanceMembership(StepContext& aContext) -> void;

// Trust.

/// Checks the sender's boot. False when the message is to be dropped.
auto
CheckBoot(StepContext& aContext, const ControlMessage& aMessage) -> bool;

auto
HandleRejection(StepContext& aContext, const Rejection& aRejection) -> void;

auto
AddEvent(StepContext& aContext,
         CoreEventKind aKind,
         MemberId aMember,
         std::string aReason) -> void;

} // namespace cuminslip
