#include "peers/internal/peercontext.h"

#include "peers/types/peersevents.h"

#include <algorithm>
#include <utility>

namespace cuminslip {

namespace {

/// Without word of a quorum for this long an instance counts as isolated.
constexpr auto kIsolationAfter = Millis(12000);
/// A source of templates heard from the quorum more recently than this.
constexpr auto kFreshAge = Millis(5000);

} // namespace

auto
PutInForce(PeerContext& aContext, std::vector<StoredTemplate> aTemplates)
  -> void
{
  const auto update = MergeTemplates(aContext.mCache, std::move(aTemplates));
  if (update.mTemplates.empty()) {
    return;
  }
  LogEvent(
    kTemplatesInForceEvent,
    { { "revision", update.mRevision },
      { "templates", static_cast<std::uint64_t>(update.mTemplates.size()) } });
  if (aContext.mCallbacks.mOnTemplates) {
    aContext.mCallbacks.mOnTemplates(update);
  }
  auto waiting = std::move(aContext.mWaiting);
  aContext.mWaiting.clear();
  for (auto& it : waiting) {
    it->fulfill();
  }
  WakeWatches(aContext);
}

auto
WakeWatches(PeerContext& aContext) -> void
{
  auto waiting = std::move(aContext.mWaitingWatches);
  aContext.mWaitingWatches.clear();
  for (auto& it : waiting) {
    it->fulfill();
  }
}

auto
KnownControls(const PeerContext& aContext) -> std::vector<PeerInstance>
{
  auto byAddress = aContext.mLearntControls;
  if (aContext.mSettings.mFollowsAllControls && aContext.mControl) {
    for (const auto& it :
         CurrentMembership(aContext.mControl->Core()).mMembers) {
      byAddress[it.mAddress] = { it.mInstance, it.mAddress, it.mFailureDomain };
    }
  }
  auto known = aContext.mSettings.mControlInstances;
  for (const auto& it : known) {
    byAddress.erase(it.mAddress);
  }
  for (auto& [address, it] : byAddress) {
    known.push_back(std::move(it));
  }
  return known;
}

auto
TakeQuorumAge(PeerContext& aContext, Millis aAge, TimePoint aSentAt) -> void
{
  if (aAge.count() < 0) {
    return;
  }
  const auto wasIsolated = IsIsolatedNow(aContext);
  const auto contact = aSentAt - aAge;
  aContext.mQuorumContact =
    std::max(aContext.mQuorumContact.value_or(contact), contact);
  if (wasIsolated && aContext.mOnStandingChanged) {
    aContext.mOnStandingChanged();
  }
}

auto
IsFreshAge(Millis aAge) -> bool
{
  return aAge.count() >= 0 && aAge < kFreshAge;
}

auto
BecomeReady(PeerContext& aContext) -> void
{
  if (std::exchange(aContext.mIsReady, true)) {
    return;
  }
  LogEvent(kInstanceReadyEvent, { { "revision", aContext.mCache.mRevision } });
  if (aContext.mOnStandingChanged) {
    aContext.mOnStandingChanged();
  }
}

auto
QuorumAgeNow(const PeerContext& aContext) -> std::optional<Millis>
{
  const auto now = aContext.mNow();
  auto age = std::optional<Millis>{};
  if (aContext.mControl) {
    age = QuorumAge(aContext.mControl->Core(), now);
  }
  if (aContext.mQuorumContact) {
    const auto other = MillisBetween(*aContext.mQuorumContact, now);
    age = std::min(age.value_or(other), other);
  }
  return age;
}

auto
IsIsolatedNow(const PeerContext& aContext) -> bool
{
  const auto age = QuorumAgeNow(aContext);
  return !age || *age > kIsolationAfter;
}

auto
TakesPartInControl(const PeerContext& aContext) -> bool
{
  return aContext.mControl && aContext.mControl->StorageFailure().empty() &&
         aContext.mControl->Core().mRole != CoreRole::Halted &&
         aContext.mControl->Core().mVote.mCluster != 0;
}

auto
OtherControls(const PeerContext& aContext) -> std::vector<std::string>
{
  const auto& settings = aContext.mSettings;
  auto own = std::vector<std::string>{};
  auto others = std::vector<std::string>{};
  for (const auto& it : KnownControls(aContext)) {
    if (it.mInstance == settings.mInstance) {
      continue;
    }
    const auto isNear = it.mFailureDomain == settings.mFailureDomain;
    (isNear ? own : others).push_back(it.mAddress);
  }
  if (!others.empty()) {
    // NOTE: spreads the instances of a domain without its own over the others.
    const auto first = std::hash<InstanceId>{}(settings.mInstance);
    std::rotate(others.begin(),
                others.begin() +
                  static_cast<std::ptrdiff_t>(first % others.size()),
                others.end());
  }
  own.insert(own.end(), others.begin(), others.end());
  return own;
}

auto
OtherDomainInstances(const PeerContext& aContext) -> std::vector<std::string>
{
  const auto& settings = aContext.mSettings;
  auto addresses = std::vector<std::string>{};
  const auto add = [&](const PeerInstance& aInstance) {
    const auto isOther = aInstance.mInstance != settings.mInstance &&
                         aInstance.mFailureDomain == settings.mFailureDomain;
    if (isOther &&
        std::count(addresses.begin(), addresses.end(), aInstance.mAddress) ==
          0) {
      addresses.push_back(aInstance.mAddress);
    }
  };
  std::for_each(
    settings.mDomainInstances.begin(), settings.mDomainInstances.end(), add);
  std::for_each(
    settings.mControlInstances.begin(), settings.mControlInstances.end(), add);
  return addresses;
}

} // namespace cuminslip
