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

/// Queue of requests that wait for an endpoint: weighted fair queueing between
/// client accounts; within an account ordered by urgency, slack and value.
namespace cuminslip {

struct WaitQueueSettings
{
  std::int64_t mMaxRequests = 10000;
  std::int64_t mMaxBytes = std::int64_t{ 1024 } * 1024 * 1024;
  /// Urgent work precedes the fair order while its account is at most this many
  /// tokens, for a weight of 1, ahead of the least served account.
  double mUrgentCreditTokens = 200000;
  /// Work of any priority counts as urgent this long before its latest start.
  Millis mPromotionSlack{ 5000 };
  /// Each doubling of the value reduces the slack by this much in the order.
  Millis mSlackPerValueDoubling{ 10000 };

  auto operator==(const WaitQueueSettings&) const -> bool = default;
};

/// Sort key of an entry within an account.
struct WaitOrder
{
  int mRank = 0;
  TimePoint mStartBy;
  std::uint64_t mSequence = 0;

  auto operator<=>(const WaitOrder&) const = default;
};

/// Waiting tokens, indexed by WaitOrder::mRank.
using TokensByRank = std::array<std::int64_t, 3>;

struct AccountWait
{
  double mWeight = 1.0;
  /// Virtual time of weighted fair queueing: advances by the tokens served
  /// divided by the weight.
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

/// Time at which an entry expires or is promoted.
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
  /// Moving average of the tokens started per second while requests wait.
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

/// Returns the name used in logs. Thread safe.
auto
ToText(EnqueueReason aReason) -> std::string_view;

struct EnqueueResult
{
  EnqueueReason mReason = EnqueueReason::Accepted;
  /// Requests that were displaced; the caller must refuse them now, even if the
  /// new one was not accepted.
  std::vector<WaitEntry> mDisplaced;

  auto operator==(const EnqueueResult&) const -> bool = default;
};

/// Builds the entry of a request. aPredictedTotal is the time from its start to
/// the end of the answer.
auto
BuildWaitEntry(const RequestFacts& aRequest,
               double aWeight,
               WaitPool aPool,
               Micros aPredictedTotal,
               TimePoint aNow) -> WaitEntry;

/// Adds an entry. While the whole queue is full, the least valuable entry of
/// the account that holds most of it for its weight is displaced. If that is
/// the account of aEntry, the displaced entry must have a lower value than
/// aEntry or, at the same value, be less urgent or else have a later latest
/// start.
auto
Enqueue(WaitQueue& aQueue,
        WaitEntry aEntry,
        const AccountLimits& aLimits,
        TimePoint aNow) -> EnqueueResult;

/// Returns true if an entry could start now; called for at most one entry of
/// each WaitPool in each account.
using CanStart = std::function<bool(const WaitEntry&)>;

enum class StartReason : std::uint8_t
{
  /// Urgent by its priority, within its account's credit.
  Urgent,
  /// Promoted because its latest start is near.
  LittleSlack,
  /// Its account is the least served one.
  FairShare
};

/// Returns the name used in logs. Thread safe.
auto
ToText(StartReason aReason) -> std::string_view;

struct StartedEntry
{
  WaitEntry mEntry;
  StartReason mReason = StartReason::FairShare;
  Micros mWaited{ 0 };

  auto operator==(const StartedEntry&) const -> bool = default;
};

/// Removes and returns the entry to start next; empty if no entry can start.
/// Expired entries are never returned.
auto
TakeNext(WaitQueue& aQueue, TimePoint aNow, const CanStart& aCanStart)
  -> std::optional<StartedEntry>;

/// Removes and returns the expired entries.
auto
TakeExpired(WaitQueue& aQueue, TimePoint aNow) -> std::vector<WaitEntry>;

/// Returns when TakeExpired is due next; empty if nothing waits.
auto
NextExpiry(const WaitQueue& aQueue) -> std::optional<TimePoint>;

/// Removes and returns an entry, for example if its caller disconnected.
auto
RemoveEntry(WaitQueue& aQueue, const RequestId& aRequest)
  -> std::optional<WaitEntry>;

/// Charges an account for work that started without waiting. A negative aTokens
/// refunds work that did not run.
auto
ChargeAccount(WaitQueue& aQueue,
              const AccountId& aAccount,
              double aWeight,
              std::int64_t aTokens) -> void;

/// Returns true if the request may start without waiting, because no entry of
/// the same or a more urgent rank waits in its WaitPool. Thread safe for a
/// constant queue.
auto
MayStartAtOnce(const WaitQueue& aQueue, const WaitEntry& aEntry) -> bool;

/// Returns true if the virtual time of the account is ahead of that of the
/// least served waiting account by more than mUrgentCreditTokens.
auto
IsOverShare(const WaitQueue& aQueue, const AccountId& aAccount) -> bool;

/// Predicts the wait of a new entry from the tokens ahead of it and the recent
/// rate of starts; 0 if no rate is known or nothing waits.
auto
PredictWait(const WaitQueue& aQueue, const WaitEntry& aEntry) -> Micros;

/// Returns the longest wait so far of the entries that are not patient or were
/// promoted because their latest start is near; 0 if there are none.
auto
OldestWait(const WaitQueue& aQueue, TimePoint aNow) -> Micros;

} // namespace cuminslip
