#pragma once

#include "control/controlcore.h"

/// Internal functions of Step that its source files share.
namespace cuminslip {

/// State of one call of Step. The references outlive it.
struct StepContext
{
  CoreState& mState;
  CoreOutput& mOutput;
  TimePoint mNow;
  /// What this step makes durable, and the messages to send afterwards.
  DiskWrite mWrite;
  std::vector<OutgoingMessage> mDeferredMessages;
  bool mIsVoteDirty = false;
};

// Messages.

auto
MakeMessage(const StepContext& aContext, MemberId aTo, ControlBody aBody)
  -> ControlMessage;

/// Sends a message without waiting for pending writes.
auto
SendNow(StepContext& aContext, const Member& aTo, ControlBody aBody) -> void;

/// Replies once the present state is durable.
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

/// True if this member leads or heard from a leader within the minimum election
/// timeout, so that the leader may still hold its lease.
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

/// Sends each member the entries that it lacks.
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

/// Send time of the latest request that a quorum has acknowledged.
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

/// Promotes learners that have caught up, removes the members they replace, and
/// promotes or removes spares. Starts at most one membership change.
auto
AdvanceMembership(StepContext& aContext) -> void;

// Detection of old or damaged disks.

/// Checks the sender's boot identity. False when the message must be dropped.
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
