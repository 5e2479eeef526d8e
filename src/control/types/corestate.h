#pragma once

#include "control/types/controlmessage.h"
#include "control/types/snapshot.h"
#include "control/types/voterecord.h"

#include <deque>
#include <optional>
#include <set>

/// State of one member of the control log, a plain value.
namespace cuminslip {

struct CoreOptions
{
  Millis mHeartbeat{ 400 };
  /// A follower grants no vote for this long after hearing from a leader, and
  /// a leader without a quorum for this long steps down.
  Millis mElectionMin{ 1600 };
  Millis mElectionMax{ 3200 };
  /// Share of a lease, in percent, that clock drift may cost.
  int mDriftPercent = 10;
  std::size_t mMaxMessageBytes = std::size_t{ 512 } * 1024;
  std::size_t mSnapshotPieceBytes = std::size_t{ 256 } * 1024;
  /// Entries and bytes kept behind a snapshot for slow followers.
  std::size_t mTailEntries = 256;
  std::size_t mTailBytes = std::size_t{ 2 } * 1024 * 1024;
  /// Bytes of entries that may wait to be committed.
  std::size_t mMaxPendingBytes = std::size_t{ 16 } * 1024 * 1024;

  auto operator==(const CoreOptions&) const -> bool = default;
};

enum class CoreRole : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  /// The disk can't be trusted: takes no part.
  Halted
};

/// The log in memory, without what was compacted.
struct CoreLog
{
  /// Index and term before the first entry kept.
  Revision mBaseIndex = 0;
  Term mBaseTerm = 0;
  std::deque<LogEntry> mEntries;
  std::size_t mBytes = 0;
};

/// What a leader knows of another member.
struct Progress
{
  Revision mNext = 1;
  Revision mMatch = 0;
  /// One request at a time until a match is found.
  bool mIsProbing = true;
  /// When the latest acknowledged request was sent.
  TimePoint mLastAckedSendTime{};
  std::uint64_t mBoot = 0;
  bool mIsDiskFull = false;
  /// Its disk was found to have lost entries; counts towards no quorum.
  bool mIsUntrusted = false;
  /// Snapshot on its way, 0 for none, and the next byte to send.
  Revision mSnapshotIndex = 0;
  std::uint64_t mSnapshotOffset = 0;
};

/// A write given to the disk, and what waits for it.
struct PendingWrite
{
  std::uint64_t mId = 0;
  Revision mDurableTo = 0;
  /// Term of the own vote that this write makes durable; 0 for none.
  Term mOwnVoteTerm = 0;
  std::vector<OutgoingMessage> mMessages;
};

/// A membership and the entry that brought it; 0 when from a snapshot.
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
  /// Highest commit index that a leader told of.
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
  /// When a quorum was last known to be reached, by this clock; none if never.
  std::optional<TimePoint> mQuorumContact;

  /// Leader only.
  std::map<MemberId, Progress> mProgress;
  Revision mTermStart = 0;
  TimePoint mLeaderSince{};
  TimePoint mNextHeartbeat{};
  LogMillis mClockBase = 0;

  /// Snapshot being received.
  SnapshotPiece mIncoming;
};

} // namespace cuminslip
