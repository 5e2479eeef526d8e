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

/// All writes up to mId are on the disk, their folder entries included.
struct DiskDoneInput
{
  std::uint64_t mId = 0;
};

/// Whether the disk takes more changes.
struct DiskSpaceInput
{
  bool mIsFull = false;
};

/// Founds a new control log with this member as the only one. Precondition:
/// the member belongs to none.
struct BootstrapInput
{
  ClusterId mCluster = 0;
  FailureDomainId mFailureDomain;
  /// Other instances that may join without an operator.
  std::vector<InstanceId> mExpected;
};

/// One proposed command. mToken comes back with its place.
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
  /// Only instances named when the log was founded may join.
  Expected,
  /// An operator adds the instance.
  Operator,
  /// Any control instance may join, as a spare; one that comes with an emptied
  /// disk takes its own former place.
  Automatic
};

/// An instance asks to join, or an operator adds one.
struct AddMemberInput
{
  Member mMember;
  JoinRule mRule = JoinRule::Expected;
};

/// Puts mMember in the place of the present member of the same instance.
struct ReplaceMemberInput
{
  Member mMember;
};

struct RemoveMemberInput
{
  InstanceId mInstance;
};

/// The state machine's state as of mIndex, for compaction.
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

/// What the disk is to make durable, in this order: vote, snapshot,
/// truncation, entries. Nothing that depends on it happens before.
struct DiskWrite
{
  std::uint64_t mId = 0;
  std::optional<VoteRecord> mVote;
  std::optional<Snapshot> mSnapshot;
  /// Entries from this index on are void; 0 for none.
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
  /// Too much waits to be committed.
  Overloaded,
  /// The log was founded and not all expected instances are voters yet: what
  /// was accepted now could be lost with fewer than planned.
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

/// Something worth a log line.
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
  /// Why a membership change was refused; empty when begun.
  std::string mMembershipProblem;
};

struct StepResult
{
  CoreState mState;
  CoreOutput mOutput;
};

} // namespace cuminslip
