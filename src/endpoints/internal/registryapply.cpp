#include "endpoints/registry.h"

#include "endpoints/internal/registryentry.h"
#include "endpoints/internal/suspicion.h"

#include <algorithm>

namespace cuminslip::endpoints {

namespace {

auto
IsOlder(const Announcement& aLeft, const Announcement& aRight) -> bool
{
  return std::pair(aLeft.mIncarnation, aLeft.mSequence) <
         std::pair(aRight.mIncarnation, aRight.mSequence);
}

/// Marks other endpoints with the address of a new or restarted endpoint as
/// displaced.
auto
TakeOverAddress(Registry& aRegistry,
                const Announcement& aAnnouncement,
                std::vector<EndpointChange>& aChanges) -> void
{
  for (auto& [id, entry] : aRegistry.mEntries) {
    const auto isOther = id != aAnnouncement.mEndpoint &&
                         entry.mLatest.mAddress == aAnnouncement.mAddress;
    if (!isOther || entry.mIsDisplaced) {
      continue;
    }
    entry.mIsDisplaced = true;
    aChanges.push_back(
      MakeChange(EndpointChangeKind::AddressTakenOver,
                 entry.mLatest,
                 "taken over by " + aAnnouncement.mEndpoint.mValue));
  }
}

auto
DropSentBefore(EndpointEntry& aEntry, TimePoint aTime) -> void
{
  while (!aEntry.mSent.empty() &&
         aEntry.mSent.front().mBegin + kSentSpanLength < aTime) {
    aEntry.mSent.pop_front();
  }
}

auto
NoteStateChange(const EndpointEntry& aEntry,
                const Announcement& aAnnouncement,
                std::vector<EndpointChange>& aChanges) -> void
{
  if (aEntry.mLatest.mIsLeaving == aAnnouncement.mIsLeaving) {
    return;
  }
  aChanges.push_back(MakeChange(aAnnouncement.mIsLeaving
                                  ? EndpointChangeKind::Leaving
                                  : EndpointChangeKind::Returned,
                                aAnnouncement,
                                "announced"));
}

auto
StoreLoad(EndpointEntry& aEntry,
          std::uint64_t aSequence,
          const LoadReport& aLoad,
          TimePoint aTakenAt) -> void
{
  aEntry.mLoadSequence = aSequence;
  aEntry.mLatest.mLoad = aLoad;
  aEntry.mLoadTakenAt = aTakenAt;
  DropSentBefore(aEntry, aTakenAt);
}

/// Replaces the announcement except for its load and holdings. The prefix index
/// and the counts of own streams are kept.
auto
StoreIdentity(EndpointEntry& aEntry,
              const Announcement& aAnnouncement,
              TimePoint aHeardAt) -> void
{
  if (aEntry.mLatest.mAddress != aAnnouncement.mAddress) {
    aEntry.mIsDisplaced = false;
  }
  auto latest = aAnnouncement;
  latest.mCacheEvents = {};
  latest.mLoad = aEntry.mLatest.mLoad;
  latest.mHoldings = std::move(aEntry.mLatest.mHoldings);
  aEntry.mLatest = std::move(latest);
  aEntry.mHeardAt = std::max(aEntry.mHeardAt, aHeardAt);
}

auto
ApplyEvents(const Registry& aRegistry,
            EndpointEntry& aEntry,
            const CacheEvents& aEvents,
            ApplyOutcome& aOutcome) -> void
{
  aOutcome.mAnswer.mResendCacheEventsFrom = ApplyCacheEvents(
    aEntry.mPrefixes, aEvents, aRegistry.mSettings.mMaxCachedPrefixes);
  if (aEntry.mPrefixes.mGapAnnouncements == 1) {
    aOutcome.mChanges.push_back(MakeChange(
      EndpointChangeKind::CacheGap,
      aEntry.mLatest,
      "events from " + std::to_string(aEntry.mPrefixes.mNextSequence) +
        " are missing"));
  }
}

auto
StartIncarnation(Registry& aRegistry,
                 const Announcement& aAnnouncement,
                 TimePoint aHeardAt,
                 ApplyOutcome& aOutcome) -> EndpointEntry&
{
  const auto [it, isNew] =
    aRegistry.mEntries.try_emplace(aAnnouncement.mEndpoint);
  auto& entry = it->second;
  aOutcome.mChanges.push_back(MakeChange(isNew ? EndpointChangeKind::Joined
                                               : EndpointChangeKind::Restarted,
                                         aAnnouncement,
                                         "at " + aAnnouncement.mAddress));
  TakeOverAddress(aRegistry, aAnnouncement, aOutcome.mChanges);
  entry.mFirstHeardAt = aHeardAt;
  entry.mHeardAt = aHeardAt;
  entry.mLatest.mHoldings.clear();
  entry.mLatest.mLoad = {};
  entry.mLatest.mIsLeaving = false;
  entry.mLoadSequence = 0;
  entry.mLoadTakenAt = aHeardAt;
  entry.mHoldingsHeardAt.reset();
  entry.mIsDrained = false;
  entry.mDrainVersion = 0;
  entry.mIsDisplaced = false;
  entry.mSent.clear();
  entry.mCalls = {};
  entry.mPrefixes = {};
  return entry;
}

/// Makes room for one more endpoint, if necessary by removing the one that has
/// been silent longest, provided that its silence has reached mSilenceLimit.
/// Returns whether there is room.
auto
MakeRoom(Registry& aRegistry,
         TimePoint aNow,
         std::vector<EndpointChange>& aChanges) -> bool
{
  auto& entries = aRegistry.mEntries;
  if (entries.size() < aRegistry.mSettings.mMaxEndpoints) {
    return true;
  }
  const auto oldest = std::min_element(
    entries.begin(), entries.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mHeardAt < aRight.second.mHeardAt;
    });
  if (oldest == entries.end() ||
      SilenceAt(oldest->second, aNow) < aRegistry.mSettings.mSilenceLimit) {
    return false;
  }
  aChanges.push_back(MakeChange(
    EndpointChangeKind::Forgotten, oldest->second.mLatest, "registry is full"));
  entries.erase(oldest);
  return true;
}

/// Stores an announcement's identity and returns the entry if the announcement
/// is newer than the entry; returns null otherwise.
auto
ApplyIdentity(Registry& aRegistry,
              const Announcement& aAnnouncement,
              TimePoint aNow,
              Millis aAge,
              ApplyOutcome& aOutcome) -> EndpointEntry*
{
  const auto heardAt = aNow - aAge;
  auto* entry = FindEntry(aRegistry, aAnnouncement.mEndpoint);
  if (entry != nullptr &&
      aAnnouncement.mIncarnation < entry->mLatest.mIncarnation) {
    aOutcome.mAnswer.mAccepted = false;
    return nullptr;
  }
  const auto isNewIncarnation =
    entry == nullptr ||
    aAnnouncement.mIncarnation > entry->mLatest.mIncarnation;
  if (!isNewIncarnation && !IsOlder(entry->mLatest, aAnnouncement)) {
    return nullptr;
  }
  if (entry == nullptr && !MakeRoom(aRegistry, aNow, aOutcome.mChanges)) {
    aOutcome.mAnswer.mAccepted = false;
    aOutcome.mChanges.push_back(MakeChange(EndpointChangeKind::Refused,
                                           aAnnouncement,
                                           "too many endpoints are known"));
    return nullptr;
  }
  if (isNewIncarnation) {
    entry = &StartIncarnation(aRegistry, aAnnouncement, heardAt, aOutcome);
  }
  NoteStateChange(*entry, aAnnouncement, aOutcome.mChanges);
  StoreIdentity(*entry, aAnnouncement, heardAt);
  aOutcome.mIsNews = true;
  return entry;
}

} // namespace

auto
ApplyAnnouncement(Registry& aRegistry,
                  const Announcement& aAnnouncement,
                  TimePoint aNow,
                  Millis aAge) -> ApplyOutcome
{
  auto outcome = ApplyOutcome{};
  auto* entry = ApplyIdentity(aRegistry, aAnnouncement, aNow, aAge, outcome);
  if (entry == nullptr) {
    return outcome;
  }
  if (aAnnouncement.mSequence >= entry->mLoadSequence) {
    StoreLoad(*entry,
              aAnnouncement.mSequence,
              aAnnouncement.mLoad,
              aNow - aAge - aAnnouncement.mLoadAge);
  }
  entry->mLatest.mHoldings = aAnnouncement.mHoldings;
  entry->mHoldingsHeardAt = aNow - aAge;
  ApplyEvents(aRegistry, *entry, aAnnouncement.mCacheEvents, outcome);
  return outcome;
}

auto
NoteHoldings(Registry& aRegistry,
             const Announcement& aState,
             TimePoint aAskedAt) -> void
{
  auto* entry = FindEntry(aRegistry, aState.mEndpoint);
  const auto isNews = entry != nullptr &&
                      entry->mLatest.mIncarnation == aState.mIncarnation &&
                      entry->mHoldingsHeardAt.value_or(TimePoint{}) < aAskedAt;
  if (isNews) {
    entry->mLatest.mHoldings = aState.mHoldings;
    entry->mHoldingsHeardAt = aAskedAt;
  }
}

auto
LearnEndpoint(Registry& aRegistry,
              const Announcement& aAnnouncement,
              TimePoint aNow,
              Millis aAge) -> ApplyOutcome
{
  auto outcome = ApplyOutcome{};
  auto* entry = ApplyIdentity(aRegistry, aAnnouncement, aNow, aAge, outcome);
  if (entry != nullptr) {
    entry->mLatest.mLoad.mTotalKvTokens = aAnnouncement.mLoad.mTotalKvTokens;
    entry->mLatest.mLoad.mBatchSlots = aAnnouncement.mLoad.mBatchSlots;
  }
  return outcome;
}

auto
LearnLoad(Registry& aRegistry, const LearnedLoad& aLoad, TimePoint aNow) -> bool
{
  auto* entry = FindEntry(aRegistry, aLoad.mEndpoint);
  if (entry == nullptr || entry->mLatest.mIncarnation != aLoad.mIncarnation ||
      aLoad.mSequence <= entry->mLoadSequence) {
    return false;
  }
  entry->mHeardAt = std::max(entry->mHeardAt, aNow - aLoad.mAge);
  auto load = aLoad.mLoad;
  load.mTotalKvTokens = entry->mLatest.mLoad.mTotalKvTokens;
  load.mBatchSlots = entry->mLatest.mLoad.mBatchSlots;
  StoreLoad(*entry, aLoad.mSequence, load, aNow - aLoad.mLoadAge);
  return true;
}

auto
LearnDrain(Registry& aRegistry,
           const EndpointId& aEndpoint,
           std::uint32_t aVersion,
           bool aIsDrained) -> std::vector<EndpointChange>
{
  auto* entry = FindEntry(aRegistry, aEndpoint);
  const auto isNews =
    entry != nullptr && std::pair(aVersion, aIsDrained) >
                          std::pair(entry->mDrainVersion, entry->mIsDrained);
  if (!isNews) {
    return {};
  }
  auto changes = SetDrained(aRegistry, aEndpoint, aIsDrained);
  entry->mDrainVersion = aVersion;
  return changes;
}

} // namespace cuminslip::endpoints
