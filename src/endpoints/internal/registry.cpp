#include "endpoints/registry.h"

#include "endpoints/internal/suspicion.h"

#include <algorithm>
#include <cmath>

namespace cuminslip::endpoints {

namespace {

constexpr auto kSentSpanLength = Millis(50);
constexpr std::size_t kMaxSentSpans = 256;
constexpr double kSlownessSmoothing = 0.2;
constexpr double kMinSlowness = 0.05;
constexpr double kMaxSlowness = 50.0;

auto
MakeChange(EndpointChangeKind aKind,
           const Announcement& aAnnouncement,
           std::string aReason) -> EndpointChange
{
  return { aKind,
           aAnnouncement.mEndpoint,
           aAnnouncement.mIncarnation,
           std::move(aReason) };
}

auto
IsOlder(const Announcement& aLeft, const Announcement& aRight) -> bool
{
  return std::pair(aLeft.mIncarnation, aLeft.mSequence) <
         std::pair(aRight.mIncarnation, aRight.mSequence);
}

/// The address of an endpoint that is new or restarted belongs to it alone.
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

/// Replaces all but load and holdings; prefixes and own counts stay as well.
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
  if (aEntry.mPrefixes.mGapDocuments == 1) {
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

/// Makes room for one more endpoint by forgetting the one silent longest, if
/// it is silent past the limit.
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
    EndpointChangeKind::Forgotten, oldest->second.mLatest, "no room"));
  entries.erase(oldest);
  return true;
}

auto
SumSent(const EndpointEntry& aEntry) -> SentSinceReport
{
  auto sum = SentSinceReport{};
  for (const auto& span : aEntry.mSent) {
    sum.mStreams += span.mSent.mStreams;
    sum.mPrefillTokens += span.mSent.mPrefillTokens;
  }
  return sum;
}

auto
StateAt(const RegistrySettings& aSettings,
        const EndpointEntry& aEntry,
        TimePoint aNow) -> EndpointState
{
  if (aEntry.mLatest.mIsLeaving || aEntry.mIsDrained) {
    return EndpointState::Leaving;
  }
  const auto isSuspect = !ExplainSuspicion(aSettings, aEntry, aNow).empty();
  return isSuspect ? EndpointState::Suspect : EndpointState::Active;
}

auto
MakeView(const RegistrySettings& aSettings,
         const EndpointEntry& aEntry,
         TimePoint aNow) -> EndpointView
{
  const auto& latest = aEntry.mLatest;
  auto view = EndpointView{};
  view.mId = latest.mEndpoint;
  view.mIncarnation = latest.mIncarnation;
  view.mKind = latest.mKind;
  view.mService = latest.mService;
  view.mAddress = latest.mAddress;
  view.mFailureDomain = latest.mFailureDomain;
  view.mRegion = latest.mRegion;
  view.mState = StateAt(aSettings, aEntry, aNow);
  view.mRole = latest.mRole;
  for (const auto& it : latest.mModels) {
    view.mModels.push_back({ it.mModel, it.mVersion });
  }
  view.mLoad = latest.mLoad;
  view.mReportAge = ReportAgeAt(aEntry, aNow);
  view.mSent = SumSent(aEntry);
  view.mHealth = aEntry.mCalls.mHealth;
  view.mOwnStreams = aEntry.mOwnStreams;
  view.mOwnTokens = aEntry.mOwnTokens;
  return view;
}

auto
FindEntry(Registry& aRegistry, const EndpointId& aEndpoint) -> EndpointEntry*
{
  const auto it = aRegistry.mEntries.find(aEndpoint);
  return it == aRegistry.mEntries.end() ? nullptr : &it->second;
}

/// Orders an announcement against what is known and, if it is news, stores its
/// identity. Returns the entry then.
auto
TakeIdentity(Registry& aRegistry,
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
  auto* entry = TakeIdentity(aRegistry, aAnnouncement, aNow, aAge, outcome);
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
LearnEndpoint(Registry& aRegistry,
              const Announcement& aAnnouncement,
              TimePoint aNow,
              Millis aAge) -> ApplyOutcome
{
  auto outcome = ApplyOutcome{};
  auto* entry = TakeIdentity(aRegistry, aAnnouncement, aNow, aAge, outcome);
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

auto
ViewsAt(const Registry& aRegistry, TimePoint aNow) -> std::vector<EndpointView>
{
  auto views = std::vector<EndpointView>{};
  views.reserve(aRegistry.mEntries.size());
  for (const auto& [id, entry] : aRegistry.mEntries) {
    views.push_back(MakeView(aRegistry.mSettings, entry, aNow));
  }
  return views;
}

auto
ViewAt(const Registry& aRegistry, const EndpointId& aEndpoint, TimePoint aNow)
  -> std::optional<EndpointView>
{
  const auto it = aRegistry.mEntries.find(aEndpoint);
  if (it == aRegistry.mEntries.end()) {
    return std::nullopt;
  }
  return MakeView(aRegistry.mSettings, it->second, aNow);
}

auto
NoteSent(Registry& aRegistry,
         const EndpointId& aEndpoint,
         std::int64_t aPromptTokens,
         TimePoint aNow) -> void
{
  auto* entry = FindEntry(aRegistry, aEndpoint);
  if (entry == nullptr) {
    return;
  }
  RecordSend(aRegistry.mSettings, entry->mCalls, aNow);
  ++entry->mOwnStreams;
  entry->mOwnTokens += aPromptTokens;
  auto& sent = entry->mSent;
  const auto isNewSpan =
    sent.empty() || (aNow >= sent.back().mBegin + kSentSpanLength &&
                     sent.size() < kMaxSentSpans);
  if (isNewSpan) {
    sent.push_back({ aNow, {} });
  }
  ++sent.back().mSent.mStreams;
  sent.back().mSent.mPrefillTokens += aPromptTokens;
}

auto
NoteEnded(Registry& aRegistry,
          const EndpointId& aEndpoint,
          std::int64_t aPromptTokens) -> void
{
  auto* entry = FindEntry(aRegistry, aEndpoint);
  if (entry == nullptr) {
    return;
  }
  entry->mOwnStreams = std::max<std::int64_t>(0, entry->mOwnStreams - 1);
  entry->mOwnTokens =
    std::max<std::int64_t>(0, entry->mOwnTokens - aPromptTokens);
}

auto
NoteCallResult(Registry& aRegistry,
               const EndpointId& aEndpoint,
               CallResult aResult,
               TimePoint aNow) -> void
{
  auto* entry = FindEntry(aRegistry, aEndpoint);
  if (entry != nullptr) {
    RecordCall(aRegistry.mSettings, entry->mCalls, aResult, aNow);
  }
}

auto
NoteSlowness(Registry& aRegistry, const EndpointId& aEndpoint, double aRatio)
  -> void
{
  auto* entry = FindEntry(aRegistry, aEndpoint);
  if (entry == nullptr || !std::isfinite(aRatio)) {
    return;
  }
  auto& slowness = entry->mCalls.mHealth.mSlowness;
  const auto ratio = std::clamp(aRatio, kMinSlowness, kMaxSlowness);
  slowness += kSlownessSmoothing * (ratio - slowness);
}

auto
SetDrained(Registry& aRegistry, const EndpointId& aEndpoint, bool aIsDrained)
  -> std::vector<EndpointChange>
{
  auto* entry = FindEntry(aRegistry, aEndpoint);
  if (entry == nullptr || entry->mIsDrained == aIsDrained) {
    return {};
  }
  entry->mIsDrained = aIsDrained;
  ++entry->mDrainVersion;
  return { MakeChange(aIsDrained ? EndpointChangeKind::DrainStarted
                                 : EndpointChangeKind::DrainEnded,
                      entry->mLatest,
                      "by operator") };
}

auto
CachedTokens(const Registry& aRegistry,
             const EndpointId& aEndpoint,
             const std::vector<std::string>& aPrefixHashes) -> std::int64_t
{
  const auto it = aRegistry.mEntries.find(aEndpoint);
  return it == aRegistry.mEntries.end()
           ? 0
           : LongestPrefix(it->second.mPrefixes, aPrefixHashes);
}

auto
EndpointsToResync(const Registry& aRegistry) -> std::vector<EndpointId>
{
  auto ids = std::vector<EndpointId>{};
  for (const auto& [id, entry] : aRegistry.mEntries) {
    if (entry.mPrefixes.mGapDocuments > 0) {
      ids.push_back(id);
    }
  }
  return ids;
}

} // namespace cuminslip::endpoints
