#include "endpoints/prefixindex.h"

#include "base/digest.h"

#include <algorithm>

namespace cuminslip::endpoints {

namespace {

auto
Forget(PrefixIndex& aIndex) -> void
{
  aIndex.mTokens.clear();
  aIndex.mOrder.clear();
  aIndex.mGapAnnouncements = 0;
}

/// Starts at the first of aEvents, or at aNextSequence if there are none.
/// Earlier events are skipped.
auto
StartAt(PrefixIndex& aIndex,
        const std::vector<CacheEvent>& aEvents,
        std::uint64_t aNextSequence) -> void
{
  aIndex.mHasStarted = true;
  aIndex.mNextSequence =
    aEvents.empty() ? aNextSequence : aEvents.front().mSequence;
}

auto
DropOldest(PrefixIndex& aIndex, std::size_t aMaxPrefixes) -> void
{
  while (aIndex.mTokens.size() > aMaxPrefixes && !aIndex.mOrder.empty()) {
    aIndex.mTokens.erase(aIndex.mOrder.front());
    aIndex.mOrder.pop_front();
  }
  // NOTE: evicted prefixes stay in mOrder, so its size is limited separately.
  while (aIndex.mOrder.size() > 2 * aMaxPrefixes) {
    aIndex.mTokens.erase(aIndex.mOrder.front());
    aIndex.mOrder.pop_front();
  }
}

auto
ApplyEvent(PrefixIndex& aIndex,
           const CacheEvent& aEvent,
           std::size_t aMaxPrefixes) -> void
{
  const auto key = Checksum(aEvent.mPrefix);
  if (aEvent.mKind == CacheEventKind::Evicted) {
    aIndex.mTokens.erase(key);
    return;
  }
  aIndex.mTokens[key] = aEvent.mTokens;
  aIndex.mOrder.push_back(key);
  DropOldest(aIndex, aMaxPrefixes);
}

/// Applies aEvents, sorted by sequence, up to the first gap.
auto
ApplyWithoutGap(PrefixIndex& aIndex,
                const std::vector<CacheEvent>& aEvents,
                std::size_t aMaxPrefixes) -> void
{
  for (const auto& it : aEvents) {
    if (it.mSequence > aIndex.mNextSequence) {
      return;
    }
    if (it.mSequence == aIndex.mNextSequence) {
      ApplyEvent(aIndex, it, aMaxPrefixes);
      ++aIndex.mNextSequence;
    }
  }
}

} // namespace

auto
ApplyCacheEvents(PrefixIndex& aIndex,
                 const CacheEvents& aEvents,
                 std::size_t aMaxPrefixes) -> std::optional<std::uint64_t>
{
  auto events = aEvents.mEvents;
  std::sort(
    events.begin(), events.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mSequence < aRight.mSequence;
    });
  if (!aIndex.mHasStarted) {
    StartAt(aIndex, events, aEvents.mNextSequence);
  }
  if (aEvents.mNextSequence < aIndex.mNextSequence) {
    // NOTE: an outdated announcement; all its events were applied or skipped.
    return std::nullopt;
  }
  ApplyWithoutGap(aIndex, events, aMaxPrefixes);
  if (aIndex.mNextSequence >= aEvents.mNextSequence) {
    aIndex.mGapAnnouncements = 0;
    return std::nullopt;
  }
  ++aIndex.mGapAnnouncements;
  if (aIndex.mGapAnnouncements < kMaxGapAnnouncements) {
    return aIndex.mNextSequence;
  }
  Forget(aIndex);
  StartAt(aIndex, events, aEvents.mNextSequence);
  ApplyWithoutGap(aIndex, events, aMaxPrefixes);
  aIndex.mNextSequence = aEvents.mNextSequence;
  return std::nullopt;
}

auto
LongestPrefix(const PrefixIndex& aIndex,
              const std::vector<std::string>& aPrefixHashes) -> std::int64_t
{
  const auto longest = std::find_if(
    aPrefixHashes.rbegin(), aPrefixHashes.rend(), [&](const auto& aHash) {
      return aIndex.mTokens.contains(Checksum(aHash));
    });
  return longest == aPrefixHashes.rend()
           ? 0
           : aIndex.mTokens.at(Checksum(*longest));
}

} // namespace cuminslip::endpoints
