#pragma once

#include "fakes/engine/types/enginemessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Memory of a stand-in engine, counted in tokens: private to streams and
/// holdings, or in shared blocks of cached prompt prefixes. Not thread safe.
namespace cuminslip::fakes {

/// A cached block; its hash covers the prompt up to and with the block.
struct CacheBlock
{
  std::string mParent;
  std::int64_t mPrefixTokens = 0;
  std::int64_t mUsers = 0;
  std::uint64_t mLastUse = 0;

  auto operator==(const CacheBlock&) const -> bool = default;
};

struct KvMemory
{
  std::int64_t mTotal = 0;
  std::int64_t mPrivate = 0;
  std::map<std::string, CacheBlock> mBlocks;
  /// Blocks without users, the one to evict next first: least recently used,
  /// and of those the longest prefix.
  std::set<std::pair<std::pair<std::uint64_t, std::int64_t>, std::string>>
    mIdle;
  std::uint64_t mUseCounter = 0;
  std::uint64_t mNextEvent = 1;
  std::vector<CacheEvent> mEvents;
};

/// Tokens in use by streams, holdings and blocks that have users.
auto
CountUsed(const KvMemory& aMemory) -> std::int64_t;

/// Tokens that a claim can get, by eviction if needed.
auto
CountFree(const KvMemory& aMemory) -> std::int64_t;

/// Takes private tokens, evicting idle blocks. False, and nothing changed,
/// when they can't be had.
auto
ClaimTokens(KvMemory& aMemory, std::int64_t aTokens, TimePoint aNow) -> bool;

/// Gives back private tokens. Precondition: they were claimed.
auto
ReleaseTokens(KvMemory& aMemory, std::int64_t aTokens) -> void;

/// Number of leading hashes that are cached, at most aMost.
auto
CountCachedBlocks(const KvMemory& aMemory,
                  const std::vector<std::string>& aHashes,
                  std::size_t aMost) -> std::size_t;

/// Adds a user to each of the hashes from aBegin to aEnd. Precondition: they
/// are cached.
auto
UseBlocks(KvMemory& aMemory,
          const std::vector<std::string>& aHashes,
          std::size_t aBegin,
          std::size_t aEnd) -> void;

/// Removes a user from each of the first aCount hashes.
auto
LeaveBlocks(KvMemory& aMemory,
            const std::vector<std::string>& aHashes,
            std::size_t aCount) -> void;

/// Turns private tokens into cached blocks from aBegin to aEnd, each with one
/// more user; a block that is cached already frees its private tokens.
auto
StoreBlocks(KvMemory& aMemory,
            const std::vector<std::string>& aHashes,
            std::size_t aBegin,
            std::size_t aEnd,
            TimePoint aNow) -> void;

/// The hashes of a cached prefix from its first block on; empty when a block
/// of it is not cached.
auto
ListPrefix(const KvMemory& aMemory, const std::string& aPrefix)
  -> std::vector<std::string>;

} // namespace cuminslip::fakes
