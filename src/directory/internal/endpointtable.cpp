#include "directory/endpointtable.h"

#include <tuple>
#include <utility>

namespace cuminslip::directory {

namespace {

auto
IsNewer(const EndpointNotice& aLeft, const EndpointNotice& aRight) -> bool
{
  return std::tuple(aLeft.mIncarnation, aLeft.mSequence) >
         std::tuple(aRight.mIncarnation, aRight.mSequence);
}

auto
MarkChanged(EndpointTable& aTable, TableEntry& aEntry) -> void
{
  aEntry.mChange = ++aTable.mLastChange;
}

/// Returns true when followers need no update for the change from one notice to
/// the other: the fields that change with every heartbeat are not compared.
auto
IsSameForFollowers(EndpointNotice aLeft, const EndpointNotice& aRight) -> bool
{
  aLeft.mSequence = aRight.mSequence;
  aLeft.mRemainingWarmUpTime = aRight.mRemainingWarmUpTime;
  return aLeft == aRight;
}

/// Returns true if a notice received at aHeard lets its endpoint become warm
/// later than the known one. Followers count down what they were told.
auto
IsColdForLonger(const EndpointNotice& aNotice,
                TimePoint aHeard,
                const TableEntry& aKnown) -> bool
{
  const auto& known = aKnown.mNotice;
  return aNotice.mRemainingWarmUpTime > known.mRemainingWarmUpTime ||
         (aNotice.mRemainingWarmUpTime > Millis(0) &&
          aHeard + aNotice.mRemainingWarmUpTime >
            aKnown.mHeard + known.mRemainingWarmUpTime);
}

auto
IsGone(const TableEntry& aEntry) -> bool
{
  return aEntry.mNotice.mState == NoticeState::Gone;
}

/// Returns true while the endpoint counts as reachable.
auto
IsLive(const TableEntry& aEntry) -> bool
{
  return !IsGone(aEntry) && !aEntry.mIsSilent;
}

auto
IsKnownWell(const TableEntry& aEntry) -> bool
{
  return aEntry.mHeard > aEntry.mAppeared;
}

auto
Silence(EndpointTable& aTable, TableEntry& aEntry) -> void
{
  aEntry.mIsSilent = true;
  aEntry.mContrary.reset();
  MarkChanged(aTable, aEntry);
}

/// Handles the appearance of a claim: the heartbeats of others at its address
/// no longer vouch for them. Where a later incarnation is there, the claim
/// itself has to send a second heartbeat before it counts.
auto
TakeAddress(EndpointTable& aTable, TableEntry& aEntry) -> void
{
  const auto& notice = aEntry.mNotice;
  for (auto& [claim, other] : aTable.mEntries) {
    if (&other == &aEntry || claim.mAddress != notice.mAddress ||
        !IsLive(other)) {
      continue;
    }
    auto& displaced =
      other.mNotice.mIncarnation > notice.mIncarnation ? aEntry : other;
    displaced.mIsDisplaced = true;
    Silence(aTable, displaced);
  }
}

/// The endpoints of one service that are not silent.
struct ServiceCount
{
  std::size_t mLive = 0;
  /// Those that sent more than one heartbeat.
  std::size_t mKnownWell = 0;
};

auto
CountLive(const EndpointTable& aTable) -> std::map<std::string, ServiceCount>
{
  auto counts = std::map<std::string, ServiceCount>{};
  for (const auto& [claim, it] : aTable.mEntries) {
    auto& count = counts[claim.mService];
    count.mLive += IsLive(it) ? 1 : 0;
    count.mKnownWell += IsLive(it) && IsKnownWell(it) ? 1 : 0;
  }
  return counts;
}

/// Returns true if a live endpoint may be silenced for one of another service,
/// or the same: services share the table evenly, but names that were heard once
/// come after endpoints of services that are there.
auto
MayDisplace(const ServiceCount& aOwn,
            const ServiceCount& aOther,
            bool aIsKnownWell) -> bool
{
  if (aIsKnownWell) {
    return aOther.mLive > aOwn.mLive + 1;
  }
  return aOther.mLive > aOwn.mLive ||
         (aOwn.mKnownWell > 0 && aOther.mKnownWell == 0);
}

/// Makes room for a live endpoint of a service by silencing another one, first
/// one that sent a single heartbeat. Returns false if none may be silenced.
auto
MakeLiveRoom(EndpointTable& aTable, const std::string& aService) -> bool
{
  // NOTE: what is not live counts too here, so that a table with room is not
  // searched.
  if (aTable.mEntries.size() < aTable.mSettings.mMaxEndpoints) {
    return true;
  }
  auto counts = CountLive(aTable);
  auto live = std::size_t{ 0 };
  for (const auto& [service, it] : counts) {
    live += it.mLive;
  }
  if (live < aTable.mSettings.mMaxEndpoints) {
    return true;
  }
  const auto own = counts[aService];
  const auto rank = [&](const auto& aItem) {
    return std::tuple(!IsKnownWell(aItem.second),
                      counts[aItem.first.mService].mLive,
                      aItem.second.mAppeared);
  };
  auto victim = aTable.mEntries.end();
  for (auto it = aTable.mEntries.begin(); it != aTable.mEntries.end(); ++it) {
    const auto isEligible =
      IsLive(it->second) &&
      MayDisplace(own, counts[it->first.mService], IsKnownWell(it->second));
    if (isEligible &&
        (victim == aTable.mEntries.end() || rank(*victim) < rank(*it))) {
      victim = it;
    }
  }
  if (victim == aTable.mEntries.end()) {
    return false;
  }
  Silence(aTable, victim->second);
  return true;
}

/// Keeps as many endpoints that are silent or gone as live ones at most.
auto
DropOldest(EndpointTable& aTable) -> void
{
  if (aTable.mEntries.size() < 2 * aTable.mSettings.mMaxEndpoints) {
    return;
  }
  auto oldest = aTable.mEntries.end();
  for (auto it = aTable.mEntries.begin(); it != aTable.mEntries.end(); ++it) {
    if (!IsLive(it->second) && (oldest == aTable.mEntries.end() ||
                                it->second.mHeard < oldest->second.mHeard)) {
      oldest = it;
    }
  }
  if (oldest != aTable.mEntries.end()) {
    aTable.mEntries.erase(oldest);
  }
}

auto
AddEndpoint(EndpointTable& aTable,
            const EndpointNotice& aNotice,
            TimePoint aHeard) -> NoticeResult
{
  const auto isGone = aNotice.mState == NoticeState::Gone;
  if (!isGone && !MakeLiveRoom(aTable, aNotice.mService)) {
    return NoticeResult::Refused;
  }
  DropOldest(aTable);
  auto& entry = aTable.mEntries[ClaimOf(aNotice)];
  entry.mNotice = aNotice;
  entry.mAppeared = aHeard;
  entry.mHeard = aHeard;
  MarkChanged(aTable, entry);
  if (!isGone) {
    TakeAddress(aTable, entry);
  }
  return NoticeResult::News;
}

/// Returns true when a heartbeat is the second one, some time after the first,
/// that speaks against what is known of its claim.
auto
ConfirmsContrary(const EndpointTable& aTable,
                 TableEntry& aEntry,
                 const EndpointNotice& aNotice,
                 TimePoint aHeard) -> bool
{
  if (!aEntry.mContrary || !IsNewer(aNotice, *aEntry.mContrary)) {
    aEntry.mContrary = aNotice;
    aEntry.mContraryHeard = aHeard;
    return false;
  }
  return aHeard >= aEntry.mContraryHeard + aTable.mSettings.mReturnSpan;
}

/// Handles the return of an endpoint whose address others claimed: they do not
/// displace it again.
auto
KeepAddress(EndpointTable& aTable, const TableEntry& aEntry) -> void
{
  for (auto& [claim, other] : aTable.mEntries) {
    other.mIsDisplaced |=
      &other != &aEntry && claim.mAddress == aEntry.mNotice.mAddress;
  }
}

/// Puts a heartbeat in force. Returns Refreshed if it brings nothing that
/// followers must receive.
auto
PutInForce(EndpointTable& aTable,
           TableEntry& aEntry,
           const EndpointNotice& aNotice,
           TimePoint aHeard) -> NoticeResult
{
  const auto appears = !IsLive(aEntry);
  if (appears && !MakeLiveRoom(aTable, aNotice.mService)) {
    return NoticeResult::Refused;
  }
  const auto isReturn = std::exchange(aEntry.mIsDisplaced, false) &&
                        aNotice.mIncarnation == aEntry.mNotice.mIncarnation;
  const auto isNews = appears || !IsSameForFollowers(aNotice, aEntry.mNotice) ||
                      IsColdForLonger(aNotice, aHeard, aEntry);
  aEntry.mNotice = aNotice;
  aEntry.mAppeared = appears ? aHeard : aEntry.mAppeared;
  aEntry.mHeard = aHeard;
  aEntry.mIsSilent = false;
  aEntry.mContrary.reset();
  if (isNews) {
    MarkChanged(aTable, aEntry);
  }
  if (isReturn) {
    KeepAddress(aTable, aEntry);
  } else if (appears) {
    TakeAddress(aTable, aEntry);
  }
  return isNews ? NoticeResult::News : NoticeResult::Refreshed;
}

/// Handles a newer heartbeat of a displaced endpoint: what it says counts, but
/// that it is there only with the second one.
auto
TakeDisplaced(EndpointTable& aTable,
              TableEntry& aEntry,
              const EndpointNotice& aNotice,
              TimePoint aHeard) -> NoticeResult
{
  if (ConfirmsContrary(aTable, aEntry, aNotice, aHeard)) {
    return PutInForce(aTable, aEntry, aNotice, aHeard);
  }
  const auto isNews = !IsSameForFollowers(aNotice, aEntry.mNotice);
  aEntry.mNotice = aNotice;
  if (isNews) {
    MarkChanged(aTable, aEntry);
  }
  return isNews ? NoticeResult::News : NoticeResult::Stale;
}

} // namespace

auto
TakeNotice(EndpointTable& aTable,
           const EndpointNotice& aNotice,
           TimePoint aHeard) -> NoticeResult
{
  const auto it = aTable.mEntries.find(ClaimOf(aNotice));
  if (it == aTable.mEntries.end()) {
    return AddEndpoint(aTable, aNotice, aHeard);
  }
  auto& entry = it->second;
  const auto& known = entry.mNotice;
  const auto isNewer = IsNewer(aNotice, known);
  const auto isSameStart = aNotice.mIncarnation == known.mIncarnation;
  if (aNotice.mState == NoticeState::Gone) {
    if (!isNewer || (isSameStart && IsGone(entry))) {
      return NoticeResult::Stale;
    }
    entry.mNotice = aNotice;
    entry.mHeard = aHeard;
    entry.mContrary.reset();
    MarkChanged(aTable, entry);
    return NoticeResult::News;
  }
  if (!isNewer || (isSameStart && IsGone(entry))) {
    // NOTE: another writer may have sent what is known. The endpoint itself
    // goes on, while nothing more is heard of what was sent.
    const auto mayCount =
      aHeard > entry.mHeard + aTable.mSettings.mSilentAfter &&
      ConfirmsContrary(aTable, entry, aNotice, aHeard);
    return mayCount ? PutInForce(aTable, entry, aNotice, aHeard)
                    : NoticeResult::Stale;
  }
  if (entry.mIsDisplaced && isSameStart) {
    return TakeDisplaced(aTable, entry, aNotice, aHeard);
  }
  return PutInForce(aTable, entry, aNotice, aHeard);
}

auto
ApplyLeave(EndpointTable& aTable,
           const EndpointId& aEndpoint,
           Incarnation aIncarnation,
           TimePoint aNow) -> NoticeResult
{
  auto result = NoticeResult::Stale;
  for (auto it = aTable.mEntries.lower_bound({ aEndpoint, "", "" });
       it != aTable.mEntries.end() && it->first.mId == aEndpoint;
       ++it) {
    auto& entry = it->second;
    const auto isLater =
      aIncarnation != 0 && aIncarnation < entry.mNotice.mIncarnation;
    if (IsGone(entry) || isLater) {
      continue;
    }
    entry.mHeard = aNow;
    ++entry.mNotice.mSequence;
    entry.mNotice.mState = NoticeState::Gone;
    entry.mContrary.reset();
    MarkChanged(aTable, entry);
    result = NoticeResult::News;
  }
  return result;
}

auto
TickTable(EndpointTable& aTable, TimePoint aNow) -> bool
{
  const auto before = aTable.mLastChange;
  for (auto it = aTable.mEntries.begin(); it != aTable.mEntries.end();) {
    auto& entry = it->second;
    const auto age = aNow - entry.mHeard;
    if (age > aTable.mSettings.mForgetAfter) {
      it = aTable.mEntries.erase(it);
      continue;
    }
    if (IsLive(entry) && age > aTable.mSettings.mSilentAfter) {
      Silence(aTable, entry);
    }
    ++it;
  }
  return aTable.mLastChange != before;
}

auto
RowsChangedAfter(const EndpointTable& aTable, ChangeNumber aAfter)
  -> std::vector<EndpointRow>
{
  auto rows = std::vector<EndpointRow>{};
  for (const auto& [claim, it] : aTable.mEntries) {
    if (it.mChange > aAfter) {
      rows.push_back({ it.mNotice, it.mIsSilent });
    }
  }
  return rows;
}

} // namespace cuminslip::directory
