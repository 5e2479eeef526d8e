#include "forwarding/internal/warmup.h"

#include "base/digest.h"
#include "forwarding/types/forwardevents.h"
#include "policy/warmup.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Heartbeats after which a restart of an endpoint is known to connected
/// instances: control instances report one as silent without three of them.
constexpr auto kHeartbeatsUntilKnown = 3;

/// A statement that lets an endpoint become warm later by less than this is no
/// news: the remaining times of two answers differ by that anyway.
constexpr auto kMinExtension = Millis(200);

auto
ToText(WarmUpSign aSign) -> std::string_view
{
  switch (aSign) {
    case WarmUpSign::Notice:
      return "notice";
    case WarmUpSign::Answer:
      return "answer";
    case WarmUpSign::Report:
      return "report";
    case WarmUpSign::Unreached:
      return "unreached";
    case WarmUpSign::Restored:
      return "restored";
  }
  return "unknown";
}

/// Returns true for a sign by which an endpoint is only assumed to be cold.
auto
IsAssumed(WarmUpSign aSign) -> bool
{
  return aSign == WarmUpSign::Unreached || aSign == WarmUpSign::Restored;
}

/// Returns the endpoint's service if it has a bound, or null.
auto
FindBoundService(const Forwarder& aForwarder,
                 const directory::EndpointNotice& aEndpoint)
  -> const routing::Service*
{
  if (!aForwarder.mSettings.mWarmUp || aForwarder.mTable == nullptr) {
    return nullptr;
  }
  const auto* service =
    routing::FindService(*aForwarder.mTable, aEndpoint.mService);
  return service != nullptr && service->mWarmUpRate > 0 ? service : nullptr;
}

auto
FindEntry(const Forwarder& aForwarder, std::uint64_t aKey)
  -> const directory::ViewEntry*
{
  const auto id = aForwarder.mEndpointsByKey.find(aKey);
  if (id == aForwarder.mEndpointsByKey.end()) {
    return nullptr;
  }
  const auto it = aForwarder.mView.mEntries.find(id->second);
  return it == aForwarder.mView.mEntries.end() ? nullptr : &it->second;
}

auto
IsCold(const Forwarder& aForwarder,
       const WarmUpState& aState,
       const directory::ViewEntry& aEntry) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  if (now < aState.mColdUntil) {
    return true;
  }
  // NOTE: an instance without a share never has a contact. One that hears of
  // the endpoint's heartbeats would have heard of a restart.
  const auto hearsOfIt = !aForwarder.mView.mSources.empty() &&
                         !directory::IsSilent(aForwarder.mView, aEntry, now);
  return aState.mAwaitsContact && (now < aState.mAnnouncedUntil || !hearsOfIt);
}

/// Returns this instance's requests per second at a cold endpoint.
auto
ShareOf(const Forwarder& aForwarder,
        WarmUpState& aState,
        const directory::EndpointNotice& aEndpoint,
        const routing::Service& aService) -> double
{
  const auto& roster = aForwarder.mRoster;
  if (!IsSettled(roster, aForwarder.mPorts.mNow())) {
    return 0;
  }
  const auto version = RoutingVersion(aForwarder);
  if (aState.mRosterVersion != roster.mVersion ||
      aState.mRoutingVersion != version) {
    const auto& rules = *aForwarder.mSettings.mWarmUp;
    const auto shares =
      ShareWarmUp({ aService.mWarmUpRate, rules.mOvershoot, rules.mSlack },
                  aForwarder.mSettings.mLimits);
    aState.mRosterVersion = roster.mVersion;
    aState.mRoutingVersion = version;
    aState.mShare = ShareAmongHolders({ Checksum(aEndpoint.mId.mValue),
                                        aEndpoint.mFailureDomain,
                                        shares.mRate },
                                      shares.mHolders,
                                      aForwarder.mSettings.mPeerAddress,
                                      roster.mInstances);
  }
  return aState.mShare;
}

/// Returns the state of a cold endpoint, or null if it is warm or without a
/// bound.
auto
FindCold(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> WarmUpState*
{
  if (aForwarder.mWarmUps.empty()) {
    return nullptr;
  }
  const auto key = Checksum(aEndpoint.mId.mValue);
  const auto it = aForwarder.mWarmUps.find(key);
  const auto* entry =
    it == aForwarder.mWarmUps.end() ? nullptr : FindEntry(aForwarder, key);
  if (entry == nullptr || FindBoundService(aForwarder, aEndpoint) == nullptr) {
    return nullptr;
  }
  if (IsCold(aForwarder, it->second, *entry)) {
    return &it->second;
  }
  LogEvent(kEndpointWarmEvent,
           { { "endpoint", aEndpoint.mId.mValue },
             { "incarnation", it->second.mIncarnation },
             { "sign", ToText(it->second.mSign) } });
  aForwarder.mWarmUps.erase(it);
  return nullptr;
}

/// Returns the state of an endpoint that has a sign that it is cold; a new one
/// begins with an empty allowance. Returns null if the sign is of an earlier
/// incarnation.
auto
OpenWarmUp(Forwarder& aForwarder,
           const directory::ViewEntry& aEntry,
           Incarnation aIncarnation,
           WarmUpSign aSign) -> WarmUpState*
{
  const auto& notice = aEntry.mNotice;
  const auto now = aForwarder.mPorts.mNow();
  const auto key = Checksum(notice.mId.mValue);
  const auto known = aForwarder.mWarmUps.find(key);
  const auto isKnown = known != aForwarder.mWarmUps.end();
  const auto latest =
    std::max(notice.mIncarnation, isKnown ? known->second.mIncarnation : 0);
  if (aIncarnation < latest) {
    return nullptr;
  }
  const auto isNew = !isKnown || known->second.mIncarnation < aIncarnation ||
                     !IsCold(aForwarder, known->second, aEntry);
  auto& state = aForwarder.mWarmUps[key];
  if (isNew) {
    state = {};
    state.mIncarnation = aIncarnation;
    state.mAllowance = { 0, now };
    const auto* service = FindBoundService(aForwarder, notice);
    LogEvent(
      kEndpointColdEvent,
      { { "endpoint", notice.mId.mValue },
        { "incarnation", aIncarnation },
        { "sign", ToText(aSign) },
        { "share_per_s",
          service ? ShareOf(aForwarder, state, notice, *service) : 0.0 } });
  }
  state.mSign = aSign;
  state.mLearnedAt = now;
  return &state;
}

/// Returns the present entry of an endpoint, or null if it has left.
auto
FindEntry(const Forwarder& aForwarder, const EndpointId& aEndpoint)
  -> const directory::ViewEntry*
{
  const auto it = aForwarder.mView.mEntries.find(aEndpoint);
  return it == aForwarder.mView.mEntries.end() ||
             it->second.mNotice.mState == directory::NoticeState::Gone
           ? nullptr
           : &it->second;
}

} // namespace

auto
CheckWarmUp(Forwarder& aForwarder, const directory::EndpointNotice& aEndpoint)
  -> std::optional<WarmUpCheck>
{
  auto* state = FindCold(aForwarder, aEndpoint);
  if (state == nullptr) {
    return std::nullopt;
  }
  const auto* service = FindBoundService(aForwarder, aEndpoint);
  const auto share = ShareOf(aForwarder, *state, aEndpoint, *service);
  state->mAllowance = Replenish(state->mAllowance,
                                share,
                                aForwarder.mPorts.mNow(),
                                aForwarder.mSettings.mLimits);
  return WarmUpCheck{ TimeUntilSend(state->mAllowance, share) };
}

auto
DrawWarmUp(Forwarder& aForwarder, const EndpointId& aEndpoint) -> bool
{
  const auto* entry = FindEntry(aForwarder, aEndpoint);
  auto* state =
    entry == nullptr ? nullptr : FindCold(aForwarder, entry->mNotice);
  if (state == nullptr) {
    return false;
  }
  state->mAllowance.mRequests -= 1;
  ++aForwarder.mCounters.mColdSends;
  return true;
}

auto
ReturnWarmUp(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void
{
  const auto it = aForwarder.mWarmUps.find(Checksum(aEndpoint.mValue));
  if (it != aForwarder.mWarmUps.end()) {
    it->second.mAllowance.mRequests += 1;
  }
}

auto
NoteWarmUpNotice(Forwarder& aForwarder,
                 const directory::EndpointNotice& aNotice,
                 bool aIsWhole) -> void
{
  const auto* entry = FindEntry(aForwarder, aNotice.mId);
  if (!aForwarder.mSettings.mWarmUp || entry == nullptr) {
    return;
  }
  const auto now = aForwarder.mPorts.mNow();
  if (aNotice.mRemainingWarmUpTime > Millis(0)) {
    auto* state =
      OpenWarmUp(aForwarder, *entry, aNotice.mIncarnation, WarmUpSign::Notice);
    if (state != nullptr) {
      state->mColdUntil =
        std::max(state->mColdUntil, now + aNotice.mRemainingWarmUpTime);
    }
    return;
  }
  const auto it = aForwarder.mWarmUps.find(Checksum(aNotice.mId.mValue));
  if (it == aForwarder.mWarmUps.end()) {
    return;
  }
  const auto& state = it->second;
  // NOTE: a silent endpoint's notice is from before its silence.
  const auto oldest = aForwarder.mSettings.mWarmUp->mHeartbeat *
                      (aIsWhole ? kHeartbeatsUntilKnown : 1);
  const auto isRefuted =
    IsAssumed(state.mSign) &&
    !directory::IsReportedSilent(aForwarder.mView, *entry) &&
    now >= state.mLearnedAt + oldest;
  if (state.mIncarnation < aNotice.mIncarnation || isRefuted) {
    aForwarder.mWarmUps.erase(it);
  }
}

auto
NoteStatedWarmUp(Forwarder& aForwarder,
                 const StatementSource& aSource,
                 Millis aWarmUpTime) -> bool
{
  const auto* entry = FindEntry(aForwarder, aSource.mEndpoint);
  if (!aForwarder.mSettings.mWarmUp || entry == nullptr) {
    return false;
  }
  const auto now = aForwarder.mPorts.mNow();
  const auto key = Checksum(aSource.mEndpoint.mValue);
  const auto it = aForwarder.mWarmUps.find(key);
  // An answer to a request sent after an assumption is more than that.
  const auto isRefuted = it != aForwarder.mWarmUps.end() &&
                         IsAssumed(it->second.mSign) &&
                         aSource.mSentAt > it->second.mLearnedAt;
  if (aWarmUpTime <= Millis(0)) {
    if (isRefuted) {
      aForwarder.mWarmUps.erase(it);
    }
    return false;
  }
  auto* state =
    OpenWarmUp(aForwarder, *entry, aSource.mIncarnation, WarmUpSign::Answer);
  if (state == nullptr) {
    return false;
  }
  const auto until = now + aWarmUpTime;
  const auto isNews = until >= state->mColdUntil + kMinExtension;
  state->mColdUntil = isRefuted ? until : std::max(state->mColdUntil, until);
  state->mAwaitsContact = state->mAwaitsContact && !isRefuted;
  state->mStatedUntil = std::max(state->mStatedUntil, until);
  if (!isNews) {
    return false;
  }
  // NOTE: where an engine becomes cold, instances of other groups may borrow it
  // before they hear of that in a summary.
  for (const auto& [group, members] : aForwarder.mMembers) {
    aForwarder.mNotifiedGroups.insert(group);
  }
  aForwarder.mIsNoticeDue = true;
  return true;
}

auto
ApplyReportedWarmUp(Forwarder& aForwarder, const ReportedStatement& aReport)
  -> void
{
  const auto* entry = FindEntry(aForwarder, aReport.mEndpoint);
  if (!aForwarder.mSettings.mWarmUp || entry == nullptr ||
      aReport.mWarmUpTime <= Millis(0)) {
    return;
  }
  const auto until = aForwarder.mPorts.mNow() + aReport.mWarmUpTime;
  const auto it = aForwarder.mWarmUps.find(aReport.mEndpoint);
  // NOTE: a report may be older than an assumption and must not end it.
  const auto isKnown = it != aForwarder.mWarmUps.end() &&
                       it->second.mIncarnation == aReport.mIncarnation &&
                       IsCold(aForwarder, it->second, *entry);
  if (isKnown) {
    it->second.mColdUntil = std::max(it->second.mColdUntil, until);
    return;
  }
  auto* state =
    OpenWarmUp(aForwarder, *entry, aReport.mIncarnation, WarmUpSign::Report);
  if (state != nullptr) {
    state->mColdUntil = until;
  }
}

auto
NoteUnreachedEndpoint(Forwarder& aForwarder, const EndpointId& aEndpoint)
  -> void
{
  const auto* entry = FindEntry(aForwarder, aEndpoint);
  const auto* service =
    entry == nullptr ? nullptr : FindBoundService(aForwarder, entry->mNotice);
  if (service == nullptr) {
    return;
  }
  auto* state = OpenWarmUp(
    aForwarder, *entry, entry->mNotice.mIncarnation, WarmUpSign::Unreached);
  if (state == nullptr) {
    return;
  }
  state->mAwaitsContact = true;
  state->mAnnouncedUntil =
    aForwarder.mPorts.mNow() + service->mWarmUpTime +
    kHeartbeatsUntilKnown * aForwarder.mSettings.mWarmUp->mHeartbeat;
}

auto
NoteContact(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void
{
  if (aForwarder.mWarmUps.empty()) {
    return;
  }
  const auto it = aForwarder.mWarmUps.find(Checksum(aEndpoint.mValue));
  if (it == aForwarder.mWarmUps.end() || !it->second.mAwaitsContact) {
    return;
  }
  const auto* entry = FindEntry(aForwarder, aEndpoint);
  const auto* service =
    entry == nullptr ? nullptr : FindBoundService(aForwarder, entry->mNotice);
  auto& state = it->second;
  state.mAwaitsContact = false;
  if (service != nullptr) {
    state.mColdUntil = std::max(
      state.mColdUntil, aForwarder.mPorts.mNow() + service->mWarmUpTime);
  }
}

auto
NoteRestoredDomain(Forwarder& aForwarder, const FailureDomainId& aDomain)
  -> void
{
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [id, entry] : aForwarder.mView.mEntries) {
    const auto* service = FindBoundService(aForwarder, entry.mNotice);
    if (service == nullptr || entry.mNotice.mFailureDomain != aDomain ||
        entry.mNotice.mState == directory::NoticeState::Gone) {
      continue;
    }
    auto* state = OpenWarmUp(
      aForwarder, entry, entry.mNotice.mIncarnation, WarmUpSign::Restored);
    if (state != nullptr) {
      state->mColdUntil =
        std::max(state->mColdUntil, now + service->mWarmUpTime);
    }
  }
}

auto
NoteWarmUpRefusal(Forwarder& aForwarder, const Flight& aFlight) -> std::size_t
{
  auto withheld = std::size_t{ 0 };
  if (aForwarder.mWarmUps.empty() || aFlight.mService == nullptr) {
    return withheld;
  }
  for (const auto& [id, entry] : aForwarder.mView.mEntries) {
    const auto& notice = entry.mNotice;
    if (notice.mState != directory::NoticeState::Ready ||
        notice.mService != aFlight.mService->mName ||
        IsInEvacuatedDomain(aForwarder, notice)) {
      continue;
    }
    const auto check = CheckWarmUp(aForwarder, notice);
    withheld += check && check->mUntilSend != Millis(0) ? 1 : 0;
  }
  aForwarder.mCounters.mWarmUpRefusals += withheld > 0 ? 1 : 0;
  return withheld;
}

auto
AddReportedWarmUps(const Forwarder& aForwarder,
                   std::vector<ReportedStatement>& aReports) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [key, state] : aForwarder.mWarmUps) {
    const auto left = MillisBetween(now, state.mStatedUntil);
    if (left <= Millis(0)) {
      continue;
    }
    const auto it =
      std::find_if(aReports.begin(),
                   aReports.end(),
                   [key = key, &state = state](const auto& aItem) {
                     return aItem.mEndpoint == key &&
                            aItem.mIncarnation == state.mIncarnation;
                   });
    if (it != aReports.end()) {
      it->mWarmUpTime = left;
    } else {
      aReports.push_back({ key, state.mIncarnation, {}, false, left });
    }
  }
}

auto
HasReportedWarmUps(const Forwarder& aForwarder) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  return std::any_of(
    aForwarder.mWarmUps.begin(),
    aForwarder.mWarmUps.end(),
    [&](const auto& aItem) { return now < aItem.second.mStatedUntil; });
}

auto
CountColdEndpoints(const Forwarder& aForwarder) -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aForwarder.mWarmUps.begin(),
    aForwarder.mWarmUps.end(),
    [&](const auto& aItem) {
      const auto* entry = FindEntry(aForwarder, aItem.first);
      return entry != nullptr && IsCold(aForwarder, aItem.second, *entry) &&
             FindBoundService(aForwarder, entry->mNotice) != nullptr;
    }));
}

} // namespace cuminslip::forwarding
