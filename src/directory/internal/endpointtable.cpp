#include "directory/endpointtable.h"

#include <algorithm>
#include <tuple>

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
MarkGone(EndpointTable& aTable, TableEntry& aEntry) -> void
{
  aEntry.mNotice.mState = NoticeState::Gone;
  const auto holder = aTable.mEndpointsByAddress.find(aEntry.mNotice.mAddress);
  if (holder != aTable.mEndpointsByAddress.end() &&
      holder->second == aEntry.mNotice.mId) {
    aTable.mEndpointsByAddress.erase(holder);
  }
  MarkChanged(aTable, aEntry);
}

/// Assigns the address of a notice to its endpoint and marks the previous owner
/// as gone. Returns false when that owner has a later incarnation.
auto
ClaimAddress(EndpointTable& aTable, const EndpointNotice& aNotice) -> bool
{
  const auto holder = aTable.mEndpointsByAddress.find(aNotice.mAddress);
  if (holder != aTable.mEndpointsByAddress.end() &&
      holder->second != aNotice.mId) {
    auto& other = aTable.mEntries[holder->second];
    if (other.mNotice.mIncarnation > aNotice.mIncarnation) {
      return false;
    }
    MarkGone(aTable, other);
  }
  aTable.mEndpointsByAddress[aNotice.mAddress] = aNotice.mId;
  return true;
}

auto
AddEndpoint(EndpointTable& aTable,
            const EndpointNotice& aNotice,
            TimePoint aHeard) -> NoticeResult
{
  if (aTable.mEntries.size() >= aTable.mSettings.mMaxEndpoints) {
    return NoticeResult::Refused;
  }
  auto notice = aNotice;
  if (notice.mState != NoticeState::Gone && !ClaimAddress(aTable, notice)) {
    notice.mState = NoticeState::Gone;
  }
  auto& entry = aTable.mEntries[notice.mId];
  entry.mNotice = notice;
  entry.mHeard = aHeard;
  MarkChanged(aTable, entry);
  return NoticeResult::News;
}

} // namespace

auto
TakeNotice(EndpointTable& aTable,
           const EndpointNotice& aNotice,
           TimePoint aHeard) -> NoticeResult
{
  const auto it = aTable.mEntries.find(aNotice.mId);
  if (it == aTable.mEntries.end()) {
    return AddEndpoint(aTable, aNotice, aHeard);
  }
  auto& entry = it->second;
  if (!IsNewer(aNotice, entry.mNotice)) {
    return NoticeResult::Stale;
  }
  const auto isSameStart = aNotice.mIncarnation == entry.mNotice.mIncarnation;
  if (isSameStart && entry.mNotice.mState == NoticeState::Gone) {
    return NoticeResult::Stale;
  }
  if (aNotice.mState == NoticeState::Gone) {
    entry.mNotice = aNotice;
    MarkGone(aTable, entry);
    return NoticeResult::News;
  }
  if (!ClaimAddress(aTable, aNotice)) {
    return NoticeResult::Stale;
  }
  const auto isNews = entry.mIsSilent ||
                      !IsSameForFollowers(aNotice, entry.mNotice) ||
                      IsColdForLonger(aNotice, aHeard, entry);
  entry.mNotice = aNotice;
  entry.mHeard = std::max(entry.mHeard, aHeard);
  entry.mIsSilent = false;
  if (isNews) {
    MarkChanged(aTable, entry);
  }
  return isNews ? NoticeResult::News : NoticeResult::Refreshed;
}

auto
ApplyLeave(EndpointTable& aTable,
           const EndpointId& aEndpoint,
           Incarnation aIncarnation,
           TimePoint aNow) -> NoticeResult
{
  const auto it = aTable.mEntries.find(aEndpoint);
  if (it == aTable.mEntries.end() ||
      it->second.mNotice.mState == NoticeState::Gone) {
    return NoticeResult::Stale;
  }
  if (aIncarnation != 0 && aIncarnation < it->second.mNotice.mIncarnation) {
    return NoticeResult::Stale;
  }
  it->second.mHeard = aNow;
  ++it->second.mNotice.mSequence;
  MarkGone(aTable, it->second);
  return NoticeResult::News;
}

auto
TickTable(EndpointTable& aTable, TimePoint aNow) -> bool
{
  const auto before = aTable.mLastChange;
  for (auto it = aTable.mEntries.begin(); it != aTable.mEntries.end();) {
    auto& entry = it->second;
    const auto age = aNow - entry.mHeard;
    const auto isGone = entry.mNotice.mState == NoticeState::Gone;
    if (age > aTable.mSettings.mForgetAfter) {
      if (!isGone) {
        MarkGone(aTable, entry);
      }
      it = aTable.mEntries.erase(it);
      continue;
    }
    if (!isGone && !entry.mIsSilent && age > aTable.mSettings.mSilentAfter) {
      entry.mIsSilent = true;
      MarkChanged(aTable, entry);
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
  for (const auto& [id, it] : aTable.mEntries) {
    if (it.mChange > aAfter) {
      rows.push_back({ it.mNotice, it.mIsSilent });
    }
  }
  return rows;
}

} // namespace cuminslip::directory
