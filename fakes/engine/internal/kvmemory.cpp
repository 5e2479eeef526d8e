#include "fakes/engine/kvmemory.h"

#include "fakes/engine/answertext.h"

#include <algorithm>

namespace cuminslip::fakes {

namespace {

auto
IdleKey(const std::string& aHash, const CacheBlock& aBlock)
{
  return std::pair(std::pair(aBlock.mLastUse, -aBlock.mPrefixTokens), aHash);
}

auto
AddEvent(KvMemory& aMemory,
         bool aIsStored,
         const std::string& aHash,
         std::int64_t aTokens,
         TimePoint aNow) -> void
{
  aMemory.mEvents.push_back(
    { aMemory.mNextEvent++, aIsStored, aHash, aTokens, aNow });
}

auto
EvictOne(KvMemory& aMemory, TimePoint aNow) -> void
{
  const auto hash = aMemory.mIdle.begin()->second;
  aMemory.mIdle.erase(aMemory.mIdle.begin());
  const auto it = aMemory.mBlocks.find(hash);
  AddEvent(aMemory, false, hash, it->second.mPrefixTokens, aNow);
  aMemory.mBlocks.erase(it);
}

auto
AddUser(KvMemory& aMemory, const std::string& aHash, CacheBlock& aBlock) -> void
{
  if (aBlock.mUsers == 0) {
    aMemory.mIdle.erase(IdleKey(aHash, aBlock));
  }
  aBlock.mUsers += 1;
}

} // namespace

auto
CountUsed(const KvMemory& aMemory) -> std::int64_t
{
  const auto inUse = aMemory.mBlocks.size() - aMemory.mIdle.size();
  return aMemory.mPrivate + (static_cast<std::int64_t>(inUse) * kBlockTokens);
}

auto
CountFree(const KvMemory& aMemory) -> std::int64_t
{
  return aMemory.mTotal - CountUsed(aMemory);
}

auto
ClaimTokens(KvMemory& aMemory, std::int64_t aTokens, TimePoint aNow) -> bool
{
  if (aTokens > CountFree(aMemory)) {
    return false;
  }
  const auto total = [&] {
    return aMemory.mPrivate + aTokens +
           (static_cast<std::int64_t>(aMemory.mBlocks.size()) * kBlockTokens);
  };
  while (total() > aMemory.mTotal) {
    EvictOne(aMemory, aNow);
  }
  aMemory.mPrivate += aTokens;
  return true;
}

auto
ReleaseTokens(KvMemory& aMemory, std::int64_t aTokens) -> void
{
  aMemory.mPrivate -= aTokens;
}

auto
CountCachedBlocks(const KvMemory& aMemory,
                  const std::vector<std::string>& aHashes,
                  std::size_t aMost) -> std::size_t
{
  const auto most = std::min(aMost, aHashes.size());
  auto count = std::size_t{ 0 };
  while (count < most && aMemory.mBlocks.contains(aHashes[count])) {
    ++count;
  }
  return count;
}

auto
UseBlocks(KvMemory& aMemory,
          const std::vector<std::string>& aHashes,
          std::size_t aBegin,
          std::size_t aEnd) -> void
{
  for (auto i = aBegin; i < aEnd; ++i) {
    AddUser(aMemory, aHashes[i], aMemory.mBlocks.at(aHashes[i]));
  }
}

auto
LeaveBlocks(KvMemory& aMemory,
            const std::vector<std::string>& aHashes,
            std::size_t aCount) -> void
{
  const auto use = ++aMemory.mUseCounter;
  for (auto i = std::size_t{ 0 }; i < aCount; ++i) {
    auto& block = aMemory.mBlocks.at(aHashes[i]);
    block.mUsers -= 1;
    block.mLastUse = use;
    if (block.mUsers == 0) {
      aMemory.mIdle.insert(IdleKey(aHashes[i], block));
    }
  }
}

auto
StoreBlocks(KvMemory& aMemory,
            const std::vector<std::string>& aHashes,
            std::size_t aBegin,
            std::size_t aEnd,
            TimePoint aNow) -> void
{
  for (auto i = aBegin; i < aEnd; ++i) {
    const auto& hash = aHashes[i];
    aMemory.mPrivate -= kBlockTokens;
    const auto [it, isNew] = aMemory.mBlocks.try_emplace(hash);
    if (!isNew) {
      AddUser(aMemory, hash, it->second);
      continue;
    }
    it->second.mParent = i == 0 ? std::string{} : aHashes[i - 1];
    it->second.mPrefixTokens = static_cast<std::int64_t>(i + 1) * kBlockTokens;
    it->second.mUsers = 1;
    AddEvent(aMemory, true, hash, it->second.mPrefixTokens, aNow);
  }
}

auto
ListPrefix(const KvMemory& aMemory, const std::string& aPrefix)
  -> std::vector<std::string>
{
  auto hashes = std::vector<std::string>{};
  auto hash = aPrefix;
  while (!hash.empty()) {
    const auto it = aMemory.mBlocks.find(hash);
    if (it == aMemory.mBlocks.end()) {
      return {};
    }
    hashes.push_back(hash);
    hash = it->second.mParent;
  }
  std::reverse(hashes.begin(), hashes.end());
  return hashes;
}

} // namespace cuminslip::fakes
