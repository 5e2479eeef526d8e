#pragma once

#include "control/types/corestate.h"

/// Inputs and outputs of a step of the control core.
namespace cuminslip {

struct TickInput
{};

struct MessageInput
{
  ControlMessage mMessage;
};

/// All writes up to mId are durable, including their folder entries.
struct DiskDoneInput
{
  std::uint64_t mId = 0;
};

/// Reports whether the disk has run out of space.
struct DiskSpaceInput
{
  bool mIsFull = false;
};

/// Creates a new control log with this member as its only voter. Precondition:
/// the member belongs to no control log.
struct BootstrapInput
{
  ClusterId mCluster = 0;
  FailureDomainId mFailureDomain;
  /// Other instances that may join without an operator.
  std::vector<InstanceId> mExpected;
};

/// One proposed command. mToken is returned in its ProposalPosition.
struct Proposal
{
  std::uint64_t mToken = 0;
  std::string mPayload;
};

struct ProposeInput
{
  std::vector<Proposal> mProposals;
};

enum class JoinRule : std::uint8_t
{
  /// Only instances named when the log was created may join.
  Expected,
  /// An operator adds the instance.
  Operator,
  /// Any control instance may join as a spare. A member that returns with an
  /// emptied disk replaces its former identity.
  Automatic
};

/// Adds a member, at the request of its instance or of an operator.
struct AddMemberInput
{
  Member mMember;
  JoinRule mRule = JoinRule::Expected;
};

/// Replaces the current member of the same instance with mMember.
struct ReplaceMemberInput
{
  Member mMember;
};

struct RemoveMemberInput
{
  InstanceId mInstance;
};

/// Encoded state of the state machine as of mIndex, for log compaction.
struct SnapshotInput
{
  Revision mIndex = 0;
  std::shared_ptr<const std::string> mState;
};

using CoreInput = std::variant<TickInput,
                               MessageInput,
                               DiskDoneInput,
                               DiskSpaceInput,
                               BootstrapInput,
                               ProposeInput,
                               AddMemberInput,
                               ReplaceMemberInput,
                               RemoveMemberInput,
                               SnapshotInput>;

/// Changes to make durable, in this order: vote, snapshot, truncation, entries.
/// Messages, votes and commits that depend on them wait for the DiskDoneInput.
struct DiskWrite
{
  std::uint64_t mId = 0;
  std::optional<VoteRecord> mVote;
  std::optional<Snapshot> mSnapshot;
  /// Entries from this index on are discarded; 0 for none.
  Revision mTruncateFrom = 0;
  /// The snapshot replaces the whole log.
  bool mIsLogReplaced = false;
  std::vector<LogEntry> mEntries;
};

enum class ProposalStatus : std::uint8_t
{
  Appended,
  NotLeader,
  DiskFull,
  /// Too many bytes wait to be committed.
  Overloaded,
  /// Not all instances named when the log was created are voters yet. A command
  /// accepted now could be lost by fewer failures than planned.
  NotJoined
};

struct ProposalPosition
{
  std::uint64_t mToken = 0;
  ProposalStatus mProposalStatus = ProposalStatus::NotLeader;
  Revision mIndex = 0;
  Term mTerm = 0;
};

enum class CoreEventKind : std::uint8_t
{
  ElectionStarted,
  LeaderElected,
  SteppedDown,
  MembershipChanged,
  SnapshotInstalled,
  MemberUntrusted,
  Halted
};

/// An event for the caller to log.
struct CoreEvent
{
  CoreEventKind mKind = CoreEventKind::ElectionStarted;
  Term mTerm = 0;
  MemberId mMember = 0;
  std::string mReason;
};

struct CoreOutput
{
  std::vector<OutgoingMessage> mMessages;
  std::vector<DiskWrite> mWrites;
  /// Replaces the state machine's state before mCommitted is applied.
  std::optional<Snapshot> mRestore;
  std::vector<LogEntry> mCommitted;
  std::vector<ProposalPosition> mProposalPositions;
  std::vector<CoreEvent> mEvents;
  /// Why a membership change was refused; empty if it was started.
  std::string mMembershipProblem;
};

struct StepResult
{
  CoreState mState;
  CoreOutput mOutput;
};

} // namespace cuminslip
