#pragma once

#include "control/types/command.h"
#include "control/types/storedtemplate.h"

#include <deque>
#include <map>
#include <set>

/// The replicated state that results from applying the log's commands.
namespace cuminslip {

/// Limits of the replicated state. All members must use the same values.
struct ControlLimits
{
  std::size_t mMaxDocumentBytes = std::size_t{ 256 } * 1024;
  std::size_t mMaxRoutingBytes = std::size_t{ 4 } * 1024 * 1024;
  std::size_t mMaxAccounts = 4096;
  std::size_t mHistoryPerAccount = 8;
  std::size_t mMaxPublishRecords = 20000;
  LogMillis mPublishRetention = LogMillis{ 24 } * 3600 * 1000;
  std::size_t mMaxRuns = 200000;
  std::size_t mMaxAnswerBytes = std::size_t{ 64 } * 1024;
  std::size_t mMaxAllAnswerBytes = std::size_t{ 32 } * 1024 * 1024;
  LogMillis mRunRetention = LogMillis{ 24 } * 3600 * 1000;
  std::size_t mMaxLeases = 256;
  std::size_t mMaxWorks = 10000;
  std::size_t mMaxWorkBytes = std::size_t{ 8 } * 1024 * 1024;
  std::size_t mMaxAllWorkBytes = std::size_t{ 64 } * 1024 * 1024;
  LogMillis mMaxWorkRetention = LogMillis{ 48 } * 3600 * 1000;
  std::size_t mMaxNameBytes = 512;

  auto operator==(const ControlLimits&) const -> bool = default;
};

/// First result of a publish command, returned again when it is resent.
struct PublishRecord
{
  std::uint64_t mFingerprint = 0;
  CommandStatus mStatus = CommandStatus::Invalid;
  Revision mRevision = 0;
  LogMillis mClock = 0;

  auto operator==(const PublishRecord&) const -> bool = default;
};

enum class RunState : std::uint8_t
{
  Claimed,
  Finished,
  Unknown
};

/// A non-idempotent call that runs at most once.
struct RunRecord
{
  std::string mFingerprint;
  std::string mToken;
  RunState mState = RunState::Claimed;
  std::string mAnswer;
  LogMillis mClaimedAt = 0;
  /// Log clock from which an unfinished run counts as unknown.
  LogMillis mUnknownAt = 0;

  auto operator==(const RunRecord&) const -> bool = default;
};

struct LeaseRecord
{
  std::string mHolder;
  /// Fencing number: log index of the acquisition, higher with each one.
  std::uint64_t mFencing = 0;
  LogMillis mExpiresAt = 0;

  auto operator==(const LeaseRecord&) const -> bool = default;
};

/// Submitted work with the bytes stored so far of its request and then of its
/// result.
struct WorkRecord
{
  std::string mFingerprint;
  std::uint64_t mTotalBytes = 0;
  std::string mRequest;
  /// Token of the current or last holder.
  std::string mToken;
  LogMillis mLeaseUntil = 0;
  std::uint64_t mResultBytes = 0;
  std::string mResult;
  bool mIsFinished = false;
  /// Log index of the submission; older work is taken first.
  Revision mOrder = 0;
  LogMillis mExpiresAt = 0;

  auto operator==(const WorkRecord&) const -> bool = default;
};

/// A name within one client account.
struct AccountKey
{
  AccountId mAccount;
  std::string mName;

  auto operator<=>(const AccountKey&) const = default;
};

/// Key of a record and the log clock from which its retention counts.
struct TimestampedKey
{
  LogMillis mClock = 0;
  AccountKey mKey;

  auto operator<=>(const TimestampedKey&) const = default;
};

struct ControlState
{
  Revision mApplied = 0;
  LogMillis mClock = 0;
  std::map<AccountId, StoredTemplate> mTemplates;
  /// Newest last, including the current one.
  std::map<AccountId, std::deque<StoredTemplate>> mHistory;
  std::map<AccountKey, PublishRecord> mPublishes;
  std::map<AccountKey, RunRecord> mRuns;
  std::map<std::string, LeaseRecord> mLeases;
  std::map<AccountKey, WorkRecord> mWorks;

  /// Derived from the fields above and not stored in snapshots: indexes by
  /// age, and totals in bytes.
  std::set<TimestampedKey> mPublishOrder;
  std::set<TimestampedKey> mRunOrder;
  std::size_t mAnswerBytes = 0;
  std::size_t mWorkBytes = 0;
  /// No work expires before this log clock.
  LogMillis mNextWorkExpiry = 0;

  auto operator==(const ControlState&) const -> bool = default;
};

} // namespace cuminslip
