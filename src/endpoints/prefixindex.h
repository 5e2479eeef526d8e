#pragma once

#include "endpoints/types/announcement.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// View of an engine's prefix cache, built from its cache events. Not thread
/// safe.
namespace cuminslip::endpoints {

/// Prefixes keyed by a hash of their text. When full, drops the oldest ones.
struct PrefixIndex
{
  std::unordered_map<std::uint64_t, std::int64_t> mTokens;
  std::deque<std::uint64_t> mOrder;
  std::uint64_t mNextSequence = 0;
  bool mHasStarted = false;
  /// Consecutive announcements after which events were still missing.
  int mGapAnnouncements = 0;
};

/// Consecutive announcements with a gap after which the missing events are
/// skipped.
inline constexpr int kMaxGapAnnouncements = 8;

/// Applies events up to the first gap, skipping those already seen. Returns the
/// number of the first missing event, if any. Once a gap has lasted for
/// kMaxGapAnnouncements announcements, clears the index, since evictions may
/// have been missed, and continues after the gap.
auto
ApplyCacheEvents(PrefixIndex& aIndex,
                 const CacheEvents& aEvents,
                 std::size_t aMaxPrefixes) -> std::optional<std::uint64_t>;

/// Tokens of the longest indexed prefix in aPrefixHashes; 0 if there is none.
/// Precondition: aPrefixHashes is ordered from the shortest to the longest.
auto
LongestPrefix(const PrefixIndex& aIndex,
              const std::vector<std::string>& aPrefixHashes) -> std::int64_t;

} // namespace cuminslip::endpoints
