#pragma once

#include "endpoints/types/announcement.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// What is known of an engine's prefix cache from its events. Not thread safe.
namespace cuminslip::endpoints {

/// Prefixes by a hash of their text. Bounded: the oldest are dropped.
struct PrefixIndex
{
  std::unordered_map<std::uint64_t, std::int64_t> mTokens;
  std::deque<std::uint64_t> mOrder;
  std::uint64_t mNextSequence = 0;
  bool mHasStarted = false;
  /// Documents in a row that left events missing.
  int mGapDocuments = 0;
};

/// Documents with a gap after which the missing events are given up.
inline constexpr int kMaxGapDocuments = 8;

/// Takes in events up to the first gap, skipping those already seen. Returns
/// the first missing event's number. Once the gap has lasted for
/// kMaxGapDocuments, all that was known is dropped, since evictions may have
/// been missed, and the index goes on behind the gap.
auto
ApplyCacheEvents(PrefixIndex& aIndex,
                 const CacheEvents& aEvents,
                 std::size_t aMaxPrefixes) -> std::optional<std::uint64_t>;

/// Tokens of the longest prefix in aPrefixHashes that is known.
auto
LongestPrefix(const PrefixIndex& aIndex,
              const std::vector<std::string>& aPrefixHashes) -> std::int64_t;

} // namespace cuminslip::endpoints
