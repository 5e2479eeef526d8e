#pragma once

#include "policy/types/requestfacts.h"
#include "policy/types/waitentry.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Requests that wait for an endpoint, in weighted fair shares of client
/// accounts, within an account by urgency, slack and value.
namespace cuminslip {

struct WaitQueueSettings
{
  std::int64_t mMaxRequests = 10000;
  std::int64_t mMaxBytes = std::int64_t{ 1024 } * 1024 * 1024;
  /// Urgent work goes before fair order while its account is at most this many
  /// tokens, for a weight of 1, ahead of the account served least.
  double mUrgentCreditTokens = 200000;
  /// Work of any priority counts as urgent when its latest start is this near.
  Millis mPromotionSlack{ 5000 };
  /// Each doubling of the value counts as so much less slack.
  Millis mSlackPerValueDoubling{ 10000 };

  auto operator==(const WaitQueueSettings&) const -> bool = default;
};

/// Order within an account.
struct WaitOrder
{
  int mRank = 0;
  TimePoint mStartBy;
  std::uint64_t mSequence = 0;

  auto operator<=>(const WaitOrder&) const = default;
};

/// Waiting tokens by WaitOrder::mRank.
using TokensByRank = std::array<std::int64_t, 3>;

struct AccountWait
{
  double mWeight = 1.0;
  /// Tokens served divided by the weight, on the queue's scale.
  double mVirtualTime = 0;
  std::int64_t mRequests = 0;
  std::int64_t mBytes = 0;
  std::map<WaitPool, std::map<WaitOrder, RequestId>> mPools;
  std::map<WaitPool, TokensByRank> mTokens;
};

struct StoredEntry
{
  WaitEntry mEntry;
  WaitOrder mOrder;
};

/// A point of time of an entry, for the timers.
struct EntryTime
{
  TimePoint mTime;
  std::uint64_t mSequence = 0;
  RequestId mId;

  auto operator<=>(const EntryTime&) const = default;
};

/// Owned by one task; not thread safe.
struct WaitQueue
{
  WaitQueueSettings mSettings;
  std::unordered_map<RequestId, StoredEntry> mEntries;
  std::map<AccountId, AccountWait> mAccounts;
  std::set<EntryTime> mExpiries;
  std::set<EntryTime> mPromotions;
  std::int64_t mBytes = 0;
  std::int64_t mCostTokens = 0;
  double mVirtualTime = 0;
  std::uint64_t mNextSequence = 0;
  /// Smoothed tokens started a second while requests wait.
  double mTokensPerSecond = 0;
  std::optional<TimePoint> mLastStart;
};

enum class EnqueueReason : std::uint8_t
{
  Accepted,
  Expired,
  Duplicate,
  AccountFull,
  QueueFull
};

/// Name for logs. Thread safe.
auto
ToText(EnqueueReason aReason) -> std::string_view;

struct EnqueueResult
{
  EnqueueReason mReason = EnqueueReason::Accepted;
  /// Requests that gave way and must be answered as refused now.
  std::vector<WaitEntry> mDisplaced;

  auto operator==(const EnqueueResult&) const -> bool = default;
};

/// Builds the entry of a request. aPredictedTotal is its time once started.
auto
BuildWaitEntry(const RequestFacts& aRequest,
               double aWeight,
               WaitPool aPool,
               Micros aPredictedTotal,
               TimePoint aNow) -> WaitEntry;

/// Adds an entry. When the whole queue is full, less valuable entries of the
/// accounts that hold most of it give way.
auto
Enqueue(WaitQueue& aQueue,
        WaitEntry aEntry,
        const AccountLimits& aLimits,
        TimePoint aNow) -> EnqueueResult;

/// Whether an entry could start now; called for at most one entry of each pool
/// and lane in each account.
using CanStart = std::function<bool(const WaitEntry&)>;

enum class StartReason : std::uint8_t
{
  /// Urgent by its priority, within its account's credit.
  Urgent,
  /// Its latest start is near.
  LittleSlack,
  /// Its account is the one served least.
  FairShare
};

/// Name for logs. Thread safe.
auto
ToText(StartReason aReason) -> std::string_view;

struct StartedEntry
{
  WaitEntry mEntry;
  StartReason mReason = StartReason::FairShare;
  Micros mWaited{ 0 };

  auto operator==(const StartedEntry&) const -> bool = default;
};

/// Removes and returns the entry to start next; none when no entry can. Entries
/// that have expired are never returned.
auto
TakeNext(WaitQueue& aQueue, TimePoint aNow, const CanStart& aCanStart)
  -> std::optional<StartedEntry>;

/// Removes and returns the entries whose time has run out.
auto
TakeExpired(WaitQueue& aQueue, TimePoint aNow) -> std::vector<WaitEntry>;

/// When TakeExpired is due next.
auto
NextExpiry(const WaitQueue& aQueue) -> std::optional<TimePoint>;

/// Removes an entry, for example when its caller went away.
auto
RemoveEntry(WaitQueue& aQueue, const RequestId& aRequest)
  -> std::optional<WaitEntry>;

/// Charges an account for work that started without waiting, or, negative,
/// gives back what did not run.
auto
ChargeAccount(WaitQueue& aQueue,
              const AccountId& aAccount,
              double aWeight,
              std::int64_t aTokens) -> void;

/// Whether a request of such an account and priority may start at once, as
/// nobody who waits in its pool comes before it. Thread safe for a constant
/// queue.
auto
MayStartAtOnce(const WaitQueue& aQueue, const WaitEntry& aEntry) -> bool;

/// Whether the account was served more than the one served least, by more than
/// the urgent credit.
auto
IsOverShare(const WaitQueue& aQueue, const AccountId& aAccount) -> bool;

/// Wait that a new request of the account can expect, from the tokens that go
/// before it and the recent rate of starts; 0 where nothing waits.
auto
PredictWait(const WaitQueue& aQueue, const WaitEntry& aEntry) -> Micros;

/// Wait so far of the oldest entry that is not patient, or is so no longer as
/// its latest start is near; 0 when there is none.
auto
OldestWait(const WaitQueue& aQueue, TimePoint aNow) -> Micros;

} // namespace cuminslip
