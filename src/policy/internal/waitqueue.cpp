#include "policy/waitqueue.h"

#include "policy/admission.h"
#include "policy/internal/waitaccounts.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminslip {

namespace {

constexpr int kUrgentRank = 0;
constexpr double kRateGain = 0.1;

auto
ValueCredit(double aValue, const WaitQueueSettings& aSettings) -> Micros
{
  const auto doublings = std::log2(std::max(1.0, aValue));
  return std::chrono::duration_cast<Micros>(aSettings.mSlackPerValueDoubling *
                                            doublings);
}

auto
TokensOf(AccountWait& aAccount,
         const WaitEntry& aEntry,
         const WaitOrder& aOrder) -> std::int64_t&
{
  return aAccount.mTokens[aEntry.mPool].at(
    static_cast<std::size_t>(aOrder.mRank));
}

auto
Store(WaitQueue& aQueue, WaitEntry aEntry) -> void
{
  const auto sequence = aQueue.mNextSequence++;
  const auto order = WaitOrder{ static_cast<int>(aEntry.mPriority),
                                aEntry.mLatestStart -
                                  ValueCredit(aEntry.mValue, aQueue.mSettings),
                                sequence };
  auto& account = OpenAccount(aQueue, aEntry.mAccount, aEntry.mWeight);
  account.mRequests += 1;
  account.mBytes += aEntry.mBytes;
  account.mPools[aEntry.mPool].emplace(order, aEntry.mId);
  TokensOf(account, aEntry, order) += aEntry.mCostTokens;
  aQueue.mBytes += aEntry.mBytes;
  aQueue.mCostTokens += aEntry.mCostTokens;
  aQueue.mExpiries.insert({ aEntry.mExpires, sequence, aEntry.mId });
  if (order.mRank != kUrgentRank) {
    aQueue.mPromotions.insert(
      { aEntry.mLatestStart - aQueue.mSettings.mPromotionSlack,
        sequence,
        aEntry.mId });
  }
  const auto id = aEntry.mId;
  aQueue.mEntries.emplace(id, StoredEntry{ std::move(aEntry), order });
}

auto
PromoteDue(WaitQueue& aQueue, TimePoint aNow) -> void
{
  while (!aQueue.mPromotions.empty() &&
         aQueue.mPromotions.begin()->mTime <= aNow) {
    const auto due = *aQueue.mPromotions.begin();
    aQueue.mPromotions.erase(aQueue.mPromotions.begin());
    auto& stored = aQueue.mEntries.at(due.mId);
    auto& account = aQueue.mAccounts.at(stored.mEntry.mAccount);
    auto& pool = account.mPools.at(stored.mEntry.mPool);
    pool.erase(stored.mOrder);
    const auto tokens = stored.mEntry.mCostTokens;
    TokensOf(account, stored.mEntry, stored.mOrder) -= tokens;
    stored.mOrder.mRank = kUrgentRank;
    TokensOf(account, stored.mEntry, stored.mOrder) += tokens;
    pool.emplace(stored.mOrder, due.mId);
  }
}

auto
HasRoom(const WaitQueue& aQueue, const WaitEntry& aEntry) -> bool
{
  const auto& settings = aQueue.mSettings;
  const auto requests = static_cast<std::int64_t>(aQueue.mEntries.size());
  return requests < settings.mMaxRequests &&
         aQueue.mBytes + aEntry.mBytes <= settings.mMaxBytes;
}

/// Returns true if aLeft is displaced before aRight.
auto
IsDisplacedBefore(const WaitEntry& aLeft, const WaitEntry& aRight) -> bool
{
  if (aLeft.mValue != aRight.mValue) {
    return aLeft.mValue < aRight.mValue;
  }
  const auto isLeftUrgent = aLeft.mPriority == Priority::Urgent;
  const auto isRightUrgent = aRight.mPriority == Priority::Urgent;
  if (isLeftUrgent != isRightUrgent) {
    return isRightUrgent;
  }
  return aLeft.mLatestStart > aRight.mLatestStart;
}

/// Finds an entry to displace in favour of aEntry, in the account that holds
/// most for its weight. If that is the account of aEntry, only an entry that is
/// displaced before aEntry.
auto
FindEntryToDisplace(const WaitQueue& aQueue, const WaitEntry& aEntry)
  -> std::optional<RequestId>
{
  const auto* largest = FindLargestHolder(aQueue);
  if (largest == nullptr) {
    return std::nullopt;
  }
  const auto own = aQueue.mAccounts.find(aEntry.mAccount);
  const auto isOwn = own != aQueue.mAccounts.end() && &own->second == largest;
  const StoredEntry* victim = nullptr;
  for (const auto& [pool, entries] : largest->mPools) {
    for (const auto& [order, id] : entries) {
      const auto& stored = aQueue.mEntries.at(id);
      if (victim == nullptr ||
          IsDisplacedBefore(stored.mEntry, victim->mEntry)) {
        victim = &stored;
      }
    }
  }
  const auto gives =
    victim != nullptr && (!isOwn || IsDisplacedBefore(victim->mEntry, aEntry));
  return gives ? std::optional(victim->mEntry.mId) : std::nullopt;
}

auto
LearnRate(WaitQueue& aQueue, const WaitEntry& aEntry, TimePoint aNow) -> void
{
  if (aQueue.mLastStart && aNow > *aQueue.mLastStart) {
    const auto seconds =
      std::chrono::duration<double>(aNow - *aQueue.mLastStart).count();
    const auto rate = static_cast<double>(aEntry.mCostTokens) / seconds;
    // NOTE: averages harmonically, since the times between starts are what
    // varies.
    aQueue.mTokensPerSecond =
      aQueue.mTokensPerSecond <= 0 || rate <= 0
        ? rate
        : 1.0 /
            ((1.0 - kRateGain) / aQueue.mTokensPerSecond + kRateGain / rate);
  }
  aQueue.mLastStart = aNow;
}

} // namespace

auto
ToText(EnqueueReason aReason) -> std::string_view
{
  switch (aReason) {
    case EnqueueReason::Accepted:
      return "accepted";
    case EnqueueReason::Expired:
      return "expired";
    case EnqueueReason::Duplicate:
      return "doubled";
    case EnqueueReason::AccountFull:
      return "account_full";
    case EnqueueReason::QueueFull:
      return "queue_full";
  }
  return "unknown";
}

auto
ToText(StartReason aReason) -> std::string_view
{
  switch (aReason) {
    case StartReason::Urgent:
      return "urgent";
    case StartReason::LittleSlack:
      return "little_slack";
    case StartReason::FairShare:
      return "fair_share";
  }
  return "unknown";
}

auto
BuildWaitEntry(const RequestFacts& aRequest,
               double aWeight,
               WaitPool aPool,
               Micros aPredictedTotal,
               TimePoint aNow) -> WaitEntry
{
  auto entry = WaitEntry{};
  entry.mId = aRequest.mId;
  entry.mAccount = aRequest.mAccount;
  entry.mWeight = aWeight;
  entry.mPriority = aRequest.mPriority;
  entry.mPool = aPool;
  entry.mCostTokens = ChargedTokens(aRequest);
  entry.mBytes = aRequest.mBodyBytes;
  entry.mValue = aRequest.mValue;
  entry.mEnqueued = aNow;
  entry.mExpires =
    std::min(aRequest.mArrived + aRequest.mQueueTime, aRequest.mDeadline);
  entry.mLatestStart = aRequest.mDeadline - aPredictedTotal;
  return entry;
}

auto
Enqueue(WaitQueue& aQueue,
        WaitEntry aEntry,
        const AccountLimits& aLimits,
        TimePoint aNow) -> EnqueueResult
{
  if (aEntry.mExpires <= aNow) {
    return { EnqueueReason::Expired, {} };
  }
  if (aQueue.mEntries.contains(aEntry.mId)) {
    return { EnqueueReason::Duplicate, {} };
  }
  const auto own = aQueue.mAccounts.find(aEntry.mAccount);
  const auto requests =
    own == aQueue.mAccounts.end() ? 0 : own->second.mRequests;
  const auto bytes = own == aQueue.mAccounts.end() ? 0 : own->second.mBytes;
  if (requests >= aLimits.mMaxWaitingRequests ||
      bytes + aEntry.mBytes > aLimits.mMaxWaitingBytes) {
    return { EnqueueReason::AccountFull, {} };
  }
  if (aEntry.mBytes > aQueue.mSettings.mMaxBytes) {
    return { EnqueueReason::QueueFull, {} };
  }
  auto result = EnqueueResult{};
  while (!HasRoom(aQueue, aEntry)) {
    const auto victim = FindEntryToDisplace(aQueue, aEntry);
    if (!victim) {
      result.mReason = EnqueueReason::QueueFull;
      return result;
    }
    result.mDisplaced.push_back(*RemoveEntry(aQueue, *victim));
  }
  Store(aQueue, std::move(aEntry));
  return result;
}

auto
RemoveEntry(WaitQueue& aQueue, const RequestId& aRequest)
  -> std::optional<WaitEntry>
{
  const auto it = aQueue.mEntries.find(aRequest);
  if (it == aQueue.mEntries.end()) {
    return std::nullopt;
  }
  const auto entry = it->second.mEntry;
  const auto order = it->second.mOrder;
  auto& account = aQueue.mAccounts.at(entry.mAccount);
  account.mRequests -= 1;
  account.mBytes -= entry.mBytes;
  auto& pool = account.mPools.at(entry.mPool);
  pool.erase(order);
  TokensOf(account, entry, order) -= entry.mCostTokens;
  if (pool.empty()) {
    account.mPools.erase(entry.mPool);
    account.mTokens.erase(entry.mPool);
  }
  aQueue.mBytes -= entry.mBytes;
  aQueue.mCostTokens -= entry.mCostTokens;
  aQueue.mExpiries.erase({ entry.mExpires, order.mSequence, entry.mId });
  aQueue.mPromotions.erase(
    { entry.mLatestStart - aQueue.mSettings.mPromotionSlack,
      order.mSequence,
      entry.mId });
  aQueue.mEntries.erase(it);
  CloseIdleAccounts(aQueue);
  return entry;
}

auto
TakeNext(WaitQueue& aQueue, TimePoint aNow, const CanStart& aCanStart)
  -> std::optional<StartedEntry>
{
  PromoteDue(aQueue, aNow);
  const auto head = FindHead(aQueue, aNow, aCanStart);
  if (!head) {
    return std::nullopt;
  }
  auto entry = *RemoveEntry(aQueue, head->mId);
  ChargeAccount(aQueue, entry.mAccount, entry.mWeight, entry.mCostTokens);
  LearnRate(aQueue, entry, aNow);
  const auto waited = aNow - entry.mEnqueued;
  return StartedEntry{ std::move(entry), head->mReason, waited };
}

auto
TakeExpired(WaitQueue& aQueue, TimePoint aNow) -> std::vector<WaitEntry>
{
  auto expired = std::vector<WaitEntry>{};
  while (!aQueue.mExpiries.empty() && aQueue.mExpiries.begin()->mTime <= aNow) {
    const auto id = aQueue.mExpiries.begin()->mId;
    expired.push_back(*RemoveEntry(aQueue, id));
  }
  return expired;
}

auto
NextExpiry(const WaitQueue& aQueue) -> std::optional<TimePoint>
{
  return aQueue.mExpiries.empty()
           ? std::nullopt
           : std::optional(aQueue.mExpiries.begin()->mTime);
}

auto
OldestWait(const WaitQueue& aQueue, TimePoint aNow) -> Micros
{
  auto oldest = Micros(0);
  constexpr auto kPatientRank = static_cast<int>(Priority::Patient);
  for (const auto& [id, stored] : aQueue.mEntries) {
    if (stored.mOrder.mRank >= kPatientRank) {
      continue;
    }
    oldest = std::max(oldest, aNow - stored.mEntry.mEnqueued);
  }
  return oldest;
}

} // namespace cuminslip
