#pragma once

#include "base/clock.h"
#include "control/types/membership.h"

#include <variant>

/// Messages between the members of the control log.
namespace cuminslip {

/// Asks whether a vote would be given in mTerm; changes nothing.
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

/// Entries that follow mPreviousIndex; none in a heartbeat.
struct AppendRequest
{
  Revision mPreviousIndex = 0;
  Term mPreviousTerm = 0;
  std::vector<LogEntry> mEntries;
  Revision mCommit = 0;
  /// Sender's clock; comes back in the reply.
  TimePoint mSentAt{};
  /// Time since the sender was last known to reach a quorum.
  Millis mQuorumAge{ 0 };

  auto operator==(const AppendRequest&) const -> bool = default;
};

/// mMatch is the last index known to equal the leader's, or when not accepted
/// the last index where it may be.
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

/// mNextOffset is the first byte missing; the total when installed.
struct SnapshotReply
{
  Revision mIndex = 0;
  std::uint64_t mNextOffset = 0;
  TimePoint mSentAt{};

  auto operator==(const SnapshotReply&) const -> bool = default;
};

enum class RejectionReason : std::uint8_t
{
  /// A start of the same member was seen that is no earlier: its disk went
  /// back in time or was copied.
  OldDisk,
  /// Entries that the member had acknowledged are gone from its disk.
  LostEntries
};

/// Tells a member that its disk can't be trusted. mBoot is the boot that was
/// seen (OldDisk) or that is concerned (LostEntries).
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

/// One message with its sender's standing.
struct ControlMessage
{
  ClusterId mCluster = 0;
  MemberId mFrom = 0;
  MemberId mTo = 0;
  std::string mFromAddress;
  /// Identity of this start of the sender's disk.
  std::uint64_t mBoot = 0;
  Term mTerm = 0;
  /// Last index that the sender's disk holds.
  Revision mDurable = 0;
  bool mIsDiskFull = false;
  ControlBody mBody;

  auto operator==(const ControlMessage&) const -> bool = default;
};

/// A message with the address of its receiver.
struct OutgoingMessage
{
  std::string mAddress;
  ControlMessage mMessage;

  auto operator==(const OutgoingMessage&) const -> bool = default;
};

} // namespace cuminslip
