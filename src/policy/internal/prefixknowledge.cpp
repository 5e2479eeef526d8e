#include "policy/prefixknowledge.h"

#include "policy/prefixhashes.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cuminslip {

namespace {

constexpr std::size_t kPrefixesPerDoubling = 16;
/// A prefix with a lower certainty counts as not cached.
constexpr double kLeastCertainty = 0.05;

auto
EraseHolder(PrefixKnowledge& aKnowledge,
            PrefixHash aPrefix,
            std::uint32_t aSlot) -> void
{
  const auto it = aKnowledge.mHolders.find(aPrefix);
  if (it == aKnowledge.mHolders.end()) {
    return;
  }
  std::erase_if(it->second, [&](const PrefixHolder& aHolder) {
    return aHolder.mSlot == aSlot;
  });
  if (it->second.empty()) {
    aKnowledge.mHolders.erase(it);
  }
}

auto
RemovePrefix(PrefixKnowledge& aKnowledge,
             std::uint32_t aSlot,
             PrefixHash aPrefix) -> void
{
  auto& endpoint = aKnowledge.mEndpoints.at(aSlot);
  const auto it = endpoint.mPositions.find(aPrefix);
  if (it == endpoint.mPositions.end()) {
    return;
  }
  endpoint.mRecent.erase(it->second);
  endpoint.mPositions.erase(it);
  EraseHolder(aKnowledge, aPrefix, aSlot);
}

auto
ClearSlot(PrefixKnowledge& aKnowledge, std::uint32_t aSlot) -> void
{
  auto& endpoint = aKnowledge.mEndpoints.at(aSlot);
  for (const auto prefix : endpoint.mRecent) {
    EraseHolder(aKnowledge, prefix, aSlot);
  }
  endpoint = {};
}

auto
PrefixLimit(const PrefixKnowledge& aKnowledge) -> std::size_t
{
  const auto& settings = aKnowledge.mSettings;
  const auto endpoints = std::max<std::size_t>(1, aKnowledge.mSlots.size());
  return std::min(settings.mMaxPrefixesPerEndpoint,
                  std::max<std::size_t>(1, settings.mMaxPrefixes / endpoints));
}

/// Removes the least recently used prefixes above the limit.
auto
TrimSlot(PrefixKnowledge& aKnowledge, std::uint32_t aSlot) -> void
{
  const auto limit = PrefixLimit(aKnowledge);
  const auto& recent = aKnowledge.mEndpoints.at(aSlot).mRecent;
  while (recent.size() > limit) {
    const auto oldest = recent.back();
    RemovePrefix(aKnowledge, aSlot, oldest);
  }
}

auto
RemoveInactiveEndpoints(PrefixKnowledge& aKnowledge, TimePoint aNow) -> void
{
  auto unheard = std::vector<EndpointId>{};
  for (const auto& [id, slot] : aKnowledge.mSlots) {
    const auto age = aNow - aKnowledge.mEndpoints.at(slot).mLastHeard;
    if (age > aKnowledge.mSettings.mForgetAfter) {
      unheard.push_back(id);
    }
  }
  for (const auto& id : unheard) {
    ForgetEndpoint(aKnowledge, id);
  }
}

auto
AddSlot(PrefixKnowledge& aKnowledge,
        const EndpointId& aEndpoint,
        TimePoint aNow) -> std::optional<std::uint32_t>
{
  RemoveInactiveEndpoints(aKnowledge, aNow);
  if (aKnowledge.mSlots.size() >= aKnowledge.mSettings.mMaxEndpoints) {
    return std::nullopt;
  }
  auto slot = static_cast<std::uint32_t>(aKnowledge.mEndpoints.size());
  if (aKnowledge.mFreeSlots.empty()) {
    aKnowledge.mEndpoints.emplace_back();
  } else {
    slot = aKnowledge.mFreeSlots.back();
    aKnowledge.mFreeSlots.pop_back();
  }
  aKnowledge.mSlots.emplace(aEndpoint, slot);
  for (auto i = std::uint32_t{ 0 }; i < aKnowledge.mEndpoints.size(); ++i) {
    TrimSlot(aKnowledge, i);
  }
  return slot;
}

auto
SlotOf(PrefixKnowledge& aKnowledge,
       const EndpointId& aEndpoint,
       Incarnation aIncarnation,
       TimePoint aNow) -> std::optional<std::uint32_t>
{
  const auto it = aKnowledge.mSlots.find(aEndpoint);
  const auto slot = it == aKnowledge.mSlots.end()
                      ? AddSlot(aKnowledge, aEndpoint, aNow)
                      : std::optional(it->second);
  if (!slot) {
    return std::nullopt;
  }
  const auto known = aKnowledge.mEndpoints.at(*slot).mIncarnation;
  if (aIncarnation < known) {
    return std::nullopt;
  }
  if (aIncarnation > known) {
    ClearSlot(aKnowledge, *slot);
    aKnowledge.mEndpoints.at(*slot).mIncarnation = aIncarnation;
  }
  aKnowledge.mEndpoints.at(*slot).mLastHeard = aNow;
  return slot;
}

auto
SetHolder(std::vector<PrefixHolder>& aHolders, const PrefixHolder& aHolder)
  -> void
{
  const auto it = std::find_if(
    aHolders.begin(), aHolders.end(), [&](const PrefixHolder& aOther) {
      return aOther.mSlot == aHolder.mSlot;
    });
  if (it == aHolders.end()) {
    aHolders.push_back(aHolder);
    return;
  }
  it->mCertainty = std::max(it->mCertainty, aHolder.mCertainty);
  it->mLearned = aHolder.mLearned;
}

auto
AddPrefix(PrefixKnowledge& aKnowledge,
          PrefixHash aPrefix,
          const PrefixHolder& aHolder) -> void
{
  auto& endpoint = aKnowledge.mEndpoints.at(aHolder.mSlot);
  const auto known = endpoint.mPositions.find(aPrefix);
  if (known != endpoint.mPositions.end()) {
    endpoint.mRecent.splice(
      endpoint.mRecent.begin(), endpoint.mRecent, known->second);
  } else {
    endpoint.mRecent.push_front(aPrefix);
    endpoint.mPositions.emplace(aPrefix, endpoint.mRecent.begin());
  }
  SetHolder(aKnowledge.mHolders[aPrefix], aHolder);
  TrimSlot(aKnowledge, aHolder.mSlot);
}

auto
CertaintyNow(const PrefixKnowledge& aKnowledge,
             const PrefixHolder& aHolder,
             TimePoint aNow) -> double
{
  const auto& settings = aKnowledge.mSettings;
  const auto age = std::chrono::duration<double>(aNow - aHolder.mLearned);
  const auto halfLife = std::chrono::duration<double>(settings.mHalfLife);
  const auto& lastGap = aKnowledge.mEndpoints.at(aHolder.mSlot).mLastGap;
  const auto isBeforeGap = lastGap && aHolder.mLearned < *lastGap;
  return aHolder.mCertainty * std::exp2(-age / halfLife) *
         (isBeforeGap ? settings.mGapFactor : 1.0);
}

/// Returns the best prefix of each slot that holds any.
auto
FindBySlot(const PrefixKnowledge& aKnowledge,
           std::span<const PrefixHash> aPrefixes,
           TimePoint aNow) -> std::unordered_map<std::uint32_t, CachedPrefix>
{
  auto best = std::unordered_map<std::uint32_t, CachedPrefix>{};
  for (auto i = std::size_t{ 0 }; i < aPrefixes.size(); ++i) {
    if (!IsKeptPrefix(i)) {
      continue;
    }
    const auto it = aKnowledge.mHolders.find(aPrefixes[i]);
    if (it == aKnowledge.mHolders.end()) {
      continue;
    }
    const auto tokens = static_cast<std::int64_t>(i + 1) * kPrefixStepTokens;
    for (const auto& holder : it->second) {
      const auto certainty = CertaintyNow(aKnowledge, holder, aNow);
      auto& found = best[holder.mSlot];
      const auto candidate = CachedPrefix{ tokens, certainty };
      if (certainty >= kLeastCertainty &&
          ExpectedTokens(candidate) > ExpectedTokens(found)) {
        found = candidate;
      }
    }
  }
  return best;
}

} // namespace

auto
ExpectedTokens(const CachedPrefix& aPrefix) -> std::int64_t
{
  return static_cast<std::int64_t>(static_cast<double>(aPrefix.mTokens) *
                                   aPrefix.mCertainty);
}

auto
IsKeptPrefix(std::size_t aIndex) -> bool
{
  const auto number = aIndex + 1;
  if (number <= kPrefixesPerDoubling) {
    return true;
  }
  const auto step = std::bit_floor(number - 1) / kPrefixesPerDoubling;
  return number % step == 0;
}

auto
ApplyCacheEvents(PrefixKnowledge& aKnowledge,
                 const EndpointId& aEndpoint,
                 Incarnation aIncarnation,
                 std::span<const CacheEvent> aEvents,
                 bool aHasGap,
                 TimePoint aNow) -> void
{
  const auto slot = SlotOf(aKnowledge, aEndpoint, aIncarnation, aNow);
  if (!slot) {
    return;
  }
  if (aHasGap) {
    aKnowledge.mEndpoints.at(*slot).mLastGap = aNow;
  }
  const auto certainty =
    static_cast<float>(aKnowledge.mSettings.mReportedCertainty);
  for (const auto& event : aEvents) {
    if (event.mKind == CacheEventKind::Evicted) {
      RemovePrefix(aKnowledge, *slot, event.mPrefix);
      continue;
    }
    const auto number = event.mTokens / kPrefixStepTokens;
    if (number > 0 && IsKeptPrefix(static_cast<std::size_t>(number - 1))) {
      AddPrefix(aKnowledge, event.mPrefix, { *slot, certainty, aNow });
    }
  }
}

auto
RecordSentPrompt(PrefixKnowledge& aKnowledge,
                 const EndpointId& aEndpoint,
                 Incarnation aIncarnation,
                 std::span<const PrefixHash> aPrefixes,
                 TimePoint aNow) -> void
{
  const auto slot = SlotOf(aKnowledge, aEndpoint, aIncarnation, aNow);
  if (!slot) {
    return;
  }
  const auto certainty =
    static_cast<float>(aKnowledge.mSettings.mSentCertainty);
  for (auto i = aPrefixes.size(); i > 0; --i) {
    if (IsKeptPrefix(i - 1)) {
      AddPrefix(aKnowledge, aPrefixes[i - 1], { *slot, certainty, aNow });
    }
  }
}

auto
ForgetEndpoint(PrefixKnowledge& aKnowledge, const EndpointId& aEndpoint) -> void
{
  const auto it = aKnowledge.mSlots.find(aEndpoint);
  if (it == aKnowledge.mSlots.end()) {
    return;
  }
  ClearSlot(aKnowledge, it->second);
  aKnowledge.mFreeSlots.push_back(it->second);
  aKnowledge.mSlots.erase(it);
}

auto
FindCachedPrefixes(const PrefixKnowledge& aKnowledge,
                   std::span<const PrefixHash> aPrefixes,
                   std::span<const EndpointView> aEndpoints,
                   TimePoint aNow) -> std::vector<CachedPrefix>
{
  const auto best = FindBySlot(aKnowledge, aPrefixes, aNow);
  if (best.empty()) {
    return {};
  }
  auto found = std::vector<CachedPrefix>(aEndpoints.size());
  for (auto i = std::size_t{ 0 }; i < aEndpoints.size(); ++i) {
    const auto slot = aKnowledge.mSlots.find(aEndpoints[i].mId);
    if (slot == aKnowledge.mSlots.end()) {
      continue;
    }
    const auto it = best.find(slot->second);
    if (it != best.end()) {
      found[i] = it->second;
    }
  }
  return found;
}

} // namespace cuminslip
