#pragma once

#include "control/types/command.h"
#include "control/types/storedtemplate.h"

#include <deque>
#include <map>
#include <set>

/// The replicated state: what the commands of the log add up to.
namespace cuminslip {

/// Bounds of the replicated state. The same on every member.
struct ControlBounds
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

  auto operator==(const ControlBounds&) const -> bool = default;
};

/// First answer to a published change, kept for resends.
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

/// A non-idempotent call.
struct RunRecord
{
  std::string mFingerprint;
  std::string mToken;
  RunState mState = RunState::Claimed;
  std::string mAnswer;
  LogMillis mClaimedAt = 0;
  /// When a claim that has not finished counts as unknown.
  LogMillis mUnknownAt = 0;

  auto operator==(const RunRecord&) const -> bool = default;
};

struct LeaseRecord
{
  std::string mHolder;
  /// Log position of the acquisition; grows with each.
  std::uint64_t mFencing = 0;
  LogMillis mExpiresAt = 0;

  auto operator==(const LeaseRecord&) const -> bool = default;
};

/// Submitted work. Its bytes are the request, then also the result.
struct WorkRecord
{
  std::string mFingerprint;
  std::uint64_t mTotalBytes = 0;
  std::string mRequest;
  /// Token of the present or last holder.
  std::string mToken;
  LogMillis mLeaseUntil = 0;
  std::uint64_t mResultBytes = 0;
  std::string mResult;
  bool mIsFinished = false;
  /// Log position of the submission.
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

/// A record with the clock that its expiry counts from.
struct DatedKey
{
  LogMillis mClock = 0;
  AccountKey mKey;

  auto operator<=>(const DatedKey&) const = default;
};

struct ControlState
{
  Revision mApplied = 0;
  LogMillis mClock = 0;
  std::map<AccountId, StoredTemplate> mTemplates;
  /// Newest last, the one in force included.
  std::map<AccountId, std::deque<StoredTemplate>> mHistory;
  std::map<AccountKey, PublishRecord> mPublishes;
  std::map<AccountKey, RunRecord> mRuns;
  std::map<std::string, LeaseRecord> mLeases;
  std::map<AccountKey, WorkRecord> mWorks;

  /// The members below follow from those above.
  std::set<DatedKey> mPublishOrder;
  std::set<DatedKey> mRunOrder;
  std::size_t mAnswerBytes = 0;
  std::size_t mWorkBytes = 0;
  /// No work expires before.
  LogMillis mNextWorkExpiry = 0;

  auto operator==(const ControlState&) const -> bool = default;
};

} // namespace cuminslip
