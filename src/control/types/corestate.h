#pragma once

#include "control/types/controlmessage.h"
#include "control/types/snapshot.h"
#include "control/types/voterecord.h"

#include <deque>
#include <optional>
#include <set>

/// State of one member of the control log, as a plain value.
namespace cuminslip {

struct CoreOptions
{
  Millis mHeartbeat{ 400 };
  /// Minimum election timeout. A follower grants no vote for this long after it
  /// heard from a leader, and a leader steps down after this long without a
  /// quorum.
  Millis mElectionMin{ 1600 };
  Millis mElectionMax{ 3200 };
  /// Margin for clock drift, in percent, by which a lease is shortened.
  int mDriftPercent = 10;
  std::size_t mMaxMessageBytes = std::size_t{ 512 } * 1024;
  std::size_t mSnapshotPieceBytes = std::size_t{ 256 } * 1024;
  /// Limits, in entries and in payload bytes, of the log that stays in memory
  /// although the latest snapshot covers it, for slow followers.
  std::size_t mTailEntries = 256;
  std::size_t mTailBytes = std::size_t{ 2 } * 1024 * 1024;
  /// Payload bytes of uncommitted entries above which proposals are refused as
  /// Overloaded.
  std::size_t mMaxPendingBytes = std::size_t{ 16 } * 1024 * 1024;

  auto operator==(const CoreOptions&) const -> bool = default;
};

enum class CoreRole : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  /// The disk can't be trusted; the member ignores all input.
  Halted
};

/// The log in memory, without the compacted entries.
struct CoreLog
{
  /// Index and term before the first entry kept.
  Revision mBaseIndex = 0;
  Term mBaseTerm = 0;
  std::deque<LogEntry> mEntries;
  std::size_t mBytes = 0;
};

/// Replication state of another member, kept by the leader.
struct Progress
{
  Revision mNext = 1;
  Revision mMatch = 0;
  /// Sends one request at a time until a match is found.
  bool mIsProbing = true;
  /// When the latest request that it acknowledged was sent.
  TimePoint mLastAckedSendTime{};
  std::uint64_t mBoot = 0;
  bool mIsDiskFull = false;
  /// Its disk lost acknowledged entries; does not count towards a quorum.
  bool mIsUntrusted = false;
  /// Index of the snapshot being sent, 0 for none, and the next byte to send.
  Revision mSnapshotIndex = 0;
  std::uint64_t mSnapshotOffset = 0;
};

/// A write that is not durable yet, and what waits for it.
struct PendingWrite
{
  std::uint64_t mId = 0;
  /// Last log index that this write makes durable.
  Revision mDurableTo = 0;
  /// Term of this member's vote for itself that the write makes durable; 0 for
  /// none.
  Term mOwnVoteTerm = 0;
  std::vector<OutgoingMessage> mMessages;
};

/// A membership and the log index of its entry or snapshot.
struct IndexedMembership
{
  Revision mIndex = 0;
  Membership mMembership;
};

struct CoreState
{
  CoreOptions mOptions;
  InstanceId mInstance;
  std::string mAddress;
  VoteRecord mVote;
  CoreLog mLog;
  Snapshot mSnapshot;
  /// Oldest first; never empty. The last one is in effect.
  std::vector<IndexedMembership> mMemberships{ IndexedMembership{} };

  Revision mCommit = 0;
  Revision mApplied = 0;
  Revision mDurable = 0;
  /// Highest commit index received from a leader.
  Revision mLeaderCommit = 0;
  std::uint64_t mLastWrite = 0;
  std::deque<PendingWrite> mPendingWrites;
  bool mIsDiskFull = false;

  CoreRole mRole = CoreRole::Follower;
  MemberId mLeader = 0;
  TimePoint mLeaderContact{};
  TimePoint mElectionDeadline{};
  std::set<MemberId> mVotes;
  std::uint64_t mRandom = 0;
  /// When a quorum was last known to be reachable, by the local clock; none if
  /// it never was.
  std::optional<TimePoint> mQuorumContact;

  /// The fields up to mClockBase are valid on the leader only.
  std::map<MemberId, Progress> mProgress;
  Revision mTermStart = 0;
  TimePoint mLeaderSince{};
  TimePoint mNextHeartbeat{};
  LogMillis mClockBase = 0;

  /// Snapshot being received.
  SnapshotPiece mIncoming;
};

} // namespace cuminslip
