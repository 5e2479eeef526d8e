#include "endpoints/registry.h"

#include "endpoints/internal/registryentry.h"
#include "endpoints/internal/suspicion.h"

#include <algorithm>
#include <cmath>

namespace cuminslip::endpoints {

namespace {

constexpr std::size_t kMaxSentSpans = 256;
constexpr double kSlownessSmoothing = 0.2;
constexpr double kMinSlowness = 0.05;
constexpr double kMaxSlowness = 50.0;

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

} // namespace

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
FindEntry(Registry& aRegistry, const EndpointId& aEndpoint) -> EndpointEntry*
{
  const auto it = aRegistry.mEntries.find(aEndpoint);
  return it == aRegistry.mEntries.end() ? nullptr : &it->second;
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
    if (entry.mPrefixes.mGapAnnouncements > 0) {
      ids.push_back(id);
    }
  }
  return ids;
}

} // namespace cuminslip::endpoints
