#include "policy/internal/waitaccounts.h"

#include <algorithm>
#include <limits>

namespace cuminslip {

namespace {

constexpr double kLeastWeight = 0.001;
constexpr double kMicrosPerSecond = 1e6;

/// The first live entry of one account and WaitPool.
struct PoolHead
{
  const AccountWait* mAccount = nullptr;
  WaitPool mPool;
  WaitOrder mOrder;
  const WaitEntry* mEntry = nullptr;
};

/// Calls CanStart and skips the pools for which it already returned false.
class StartCheck
{
public:
  explicit StartCheck(const CanStart& aCanStart)
    : mCanStart(aCanStart)
  {
  }

  auto Check(const PoolHead& aHead) -> bool
  {
    if (std::find(mClosed.begin(), mClosed.end(), aHead.mPool) !=
        mClosed.end()) {
      return false;
    }
    if (mCanStart(*aHead.mEntry)) {
      return true;
    }
    mClosed.push_back(aHead.mPool);
    return false;
  }

private:
  const CanStart& mCanStart;
  std::vector<WaitPool> mClosed;
};

auto
LeastVirtualTime(const WaitQueue& aQueue) -> double
{
  auto least = std::numeric_limits<double>::infinity();
  for (const auto& [id, account] : aQueue.mAccounts) {
    if (account.mRequests > 0) {
      least = std::min(least, account.mVirtualTime);
    }
  }
  return std::max(aQueue.mVirtualTime,
                  least == std::numeric_limits<double>::infinity() ? 0 : least);
}

auto
CollectHeads(const WaitQueue& aQueue, TimePoint aNow) -> std::vector<PoolHead>
{
  auto heads = std::vector<PoolHead>{};
  for (const auto& [accountId, account] : aQueue.mAccounts) {
    for (const auto& [pool, entries] : account.mPools) {
      const auto isLive = [&](const auto& aItem) {
        return aQueue.mEntries.at(aItem.second).mEntry.mExpires > aNow;
      };
      const auto it = std::find_if(entries.begin(), entries.end(), isLive);
      if (it != entries.end()) {
        heads.push_back({ &account,
                          pool,
                          it->first,
                          &aQueue.mEntries.at(it->second).mEntry });
      }
    }
  }
  return heads;
}

auto
FindUrgent(const WaitQueue& aQueue,
           std::vector<PoolHead> aHeads,
           StartCheck& aCheck) -> std::optional<Head>
{
  const auto limit =
    LeastVirtualTime(aQueue) + aQueue.mSettings.mUrgentCreditTokens;
  std::erase_if(aHeads, [&](const PoolHead& aHead) {
    return aHead.mOrder.mRank != 0 || aHead.mAccount->mVirtualTime > limit;
  });
  std::sort(aHeads.begin(),
            aHeads.end(),
            [](const PoolHead& aLeft, const PoolHead& aRight) {
              return aLeft.mOrder < aRight.mOrder;
            });
  for (const auto& head : aHeads) {
    if (aCheck.Check(head)) {
      const auto isUrgent = head.mEntry->mPriority == Priority::Urgent;
      return Head{ head.mEntry->mId,
                   isUrgent ? StartReason::Urgent : StartReason::LittleSlack };
    }
  }
  return std::nullopt;
}

auto
FindFair(std::vector<PoolHead> aHeads, StartCheck& aCheck)
  -> std::optional<Head>
{
  std::sort(aHeads.begin(),
            aHeads.end(),
            [](const PoolHead& aLeft, const PoolHead& aRight) {
              const auto left = aLeft.mAccount->mVirtualTime;
              const auto right = aRight.mAccount->mVirtualTime;
              return left != right ? left < right
                                   : aLeft.mOrder < aRight.mOrder;
            });
  for (const auto& head : aHeads) {
    if (aCheck.Check(head)) {
      return Head{ head.mEntry->mId, StartReason::FairShare };
    }
  }
  return std::nullopt;
}

/// Returns the tokens of an account that may precede a new entry: those of the
/// same and of more urgent ranks in its WaitPool.
auto
TokensBefore(const AccountWait& aAccount, const WaitEntry& aEntry) -> double
{
  auto tokens = std::int64_t{ 0 };
  const auto pool = aAccount.mTokens.find(aEntry.mPool);
  if (pool == aAccount.mTokens.end()) {
    return 0.0;
  }
  for (auto rank = 0; rank <= static_cast<int>(aEntry.mPriority); ++rank) {
    tokens += pool->second.at(static_cast<std::size_t>(rank));
  }
  return static_cast<double>(tokens);
}

} // namespace

auto
OpenAccount(WaitQueue& aQueue, const AccountId& aAccount, double aWeight)
  -> AccountWait&
{
  auto& account = aQueue.mAccounts[aAccount];
  account.mWeight = std::max(aWeight, kLeastWeight);
  if (account.mRequests == 0) {
    account.mVirtualTime =
      std::max(account.mVirtualTime, LeastVirtualTime(aQueue));
  }
  return account;
}

auto
CloseIdleAccounts(WaitQueue& aQueue) -> void
{
  aQueue.mVirtualTime = LeastVirtualTime(aQueue);
  if (aQueue.mEntries.empty()) {
    // NOTE: while nothing waits, use by one account takes nothing from others.
    aQueue.mAccounts.clear();
    return;
  }
  std::erase_if(aQueue.mAccounts, [&](const auto& aItem) {
    return aItem.second.mRequests == 0 &&
           aItem.second.mVirtualTime <= aQueue.mVirtualTime;
  });
}

auto
FindLargestHolder(const WaitQueue& aQueue) -> const AccountWait*
{
  const AccountWait* largest = nullptr;
  auto most = 0.0;
  const auto& settings = aQueue.mSettings;
  for (const auto& [id, account] : aQueue.mAccounts) {
    const auto share = static_cast<double>(account.mRequests) /
                         static_cast<double>(settings.mMaxRequests) +
                       static_cast<double>(account.mBytes) /
                         static_cast<double>(settings.mMaxBytes);
    if (share / account.mWeight > most) {
      most = share / account.mWeight;
      largest = &account;
    }
  }
  return largest;
}

auto
FindHead(const WaitQueue& aQueue, TimePoint aNow, const CanStart& aCanStart)
  -> std::optional<Head>
{
  const auto heads = CollectHeads(aQueue, aNow);
  auto check = StartCheck(aCanStart);
  const auto urgent = FindUrgent(aQueue, heads, check);
  return urgent ? urgent : FindFair(heads, check);
}

auto
ChargeAccount(WaitQueue& aQueue,
              const AccountId& aAccount,
              double aWeight,
              std::int64_t aTokens) -> void
{
  const auto isKnown = aQueue.mAccounts.contains(aAccount);
  if (aQueue.mEntries.empty() || (aTokens < 0 && !isKnown)) {
    return;
  }
  auto& account = OpenAccount(aQueue, aAccount, aWeight);
  account.mVirtualTime += static_cast<double>(aTokens) / account.mWeight;
  CloseIdleAccounts(aQueue);
}

auto
MayStartAtOnce(const WaitQueue& aQueue, const WaitEntry& aEntry) -> bool
{
  const auto mine = static_cast<int>(aEntry.mPriority);
  return std::none_of(
    aQueue.mAccounts.begin(), aQueue.mAccounts.end(), [&](const auto& aItem) {
      const auto pool = aItem.second.mPools.find(aEntry.mPool);
      return pool != aItem.second.mPools.end() &&
             pool->second.begin()->first.mRank <= mine;
    });
}

auto
IsOverShare(const WaitQueue& aQueue, const AccountId& aAccount) -> bool
{
  const auto it = aQueue.mAccounts.find(aAccount);
  return it != aQueue.mAccounts.end() &&
         it->second.mVirtualTime >
           LeastVirtualTime(aQueue) + aQueue.mSettings.mUrgentCreditTokens;
}

auto
PredictWait(const WaitQueue& aQueue, const WaitEntry& aEntry) -> Micros
{
  if (aQueue.mTokensPerSecond <= 0) {
    return Micros(0);
  }
  const auto own = aQueue.mAccounts.find(aEntry.mAccount);
  const auto isWaiting = own != aQueue.mAccounts.end();
  const auto mine = (isWaiting ? TokensBefore(own->second, aEntry) : 0.0) +
                    static_cast<double>(aEntry.mCostTokens);
  const auto perWeight = mine / std::max(aEntry.mWeight, kLeastWeight);
  auto before = isWaiting ? mine : 0.0;
  for (const auto& [id, account] : aQueue.mAccounts) {
    if (id != aEntry.mAccount) {
      before +=
        std::min(TokensBefore(account, aEntry), perWeight * account.mWeight);
    }
  }
  before -= isWaiting ? static_cast<double>(aEntry.mCostTokens) : 0.0;
  return Micros(static_cast<std::int64_t>(before / aQueue.mTokensPerSecond *
                                          kMicrosPerSecond));
}

} // namespace cuminslip
