#pragma once

#include "base/clock.h"
#include "control/types/membership.h"

#include <variant>

/// Messages between the members of the control log.
namespace cuminslip {

/// Asks whether the receiver would grant a vote in mTerm, without changing its
/// term or vote.
struct PreVoteRequest
{
  Term mTerm = 0;
  Revision mLastIndex = 0;
  Term mLastTerm = 0;

  auto operator==(const PreVoteRequest&) const -> bool = default;
};

struct PreVoteReply
{
  Term mTerm = 0;
  bool mIsGranted = false;

  auto operator==(const PreVoteReply&) const -> bool = default;
};

struct VoteRequest
{
  Revision mLastIndex = 0;
  Term mLastTerm = 0;

  auto operator==(const VoteRequest&) const -> bool = default;
};

struct VoteReply
{
  bool mIsGranted = false;

  auto operator==(const VoteReply&) const -> bool = default;
};

/// Replicates the entries that follow mPreviousIndex. A heartbeat may have
/// none.
struct AppendRequest
{
  Revision mPreviousIndex = 0;
  Term mPreviousTerm = 0;
  std::vector<LogEntry> mEntries;
  Revision mCommit = 0;
  /// Sender's clock, returned in the reply.
  TimePoint mSentAt{};
  /// Time since the sender was last known to reach a quorum.
  Millis mQuorumAge{ 0 };

  auto operator==(const AppendRequest&) const -> bool = default;
};

/// mMatch is the last index known to match the leader's log or, when not
/// accepted, the last index where the logs may match.
struct AppendReply
{
  bool mIsAccepted = false;
  Revision mPreviousIndex = 0;
  Revision mMatch = 0;
  TimePoint mSentAt{};

  auto operator==(const AppendReply&) const -> bool = default;
};

/// A piece of the snapshot that covers the log up to mIndex.
struct SnapshotPiece
{
  Revision mIndex = 0;
  Term mTerm = 0;
  LogMillis mClock = 0;
  Membership mMembership;
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mOffset = 0;
  std::string mBytes;
  TimePoint mSentAt{};

  auto operator==(const SnapshotPiece&) const -> bool = default;
};

/// Reports the progress of a transfer; mNextOffset is the first missing byte.
struct SnapshotReply
{
  Revision mIndex = 0;
  std::uint64_t mNextOffset = 0;
  TimePoint mSentAt{};

  auto operator==(const SnapshotReply&) const -> bool = default;
};

enum class RejectionReason : std::uint8_t
{
  /// A boot of the same member was seen that is not older, so the disk was
  /// copied or restored from an older state.
  OldDisk,
  /// Entries that the member acknowledged are missing from its disk.
  LostEntries
};

/// Tells a member that its disk can't be trusted. mBoot is the latest boot seen
/// (OldDisk) or the boot that lost entries (LostEntries).
struct Rejection
{
  RejectionReason mReason = RejectionReason::OldDisk;
  std::uint64_t mBoot = 0;

  auto operator==(const Rejection&) const -> bool = default;
};

using ControlBody = std::variant<PreVoteRequest,
                                 PreVoteReply,
                                 VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotPiece,
                                 SnapshotReply,
                                 Rejection>;

/// One message with the sender's identity, term and disk state.
struct ControlMessage
{
  ClusterId mCluster = 0;
  MemberId mFrom = 0;
  MemberId mTo = 0;
  std::string mFromAddress;
  /// Identity of this start of the sender's disk.
  std::uint64_t mBoot = 0;
  Term mTerm = 0;
  /// Last log index that is durable on the sender.
  Revision mDurable = 0;
  bool mIsDiskFull = false;
  ControlBody mBody;

  auto operator==(const ControlMessage&) const -> bool = default;
};

/// A message with the receiver's network address.
struct OutgoingMessage
{
  std::string mAddress;
  ControlMessage mMessage;

  auto operator==(const OutgoingMessage&) const -> bool = default;
};

} // namespace cuminslip
