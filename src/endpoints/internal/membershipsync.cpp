#include "endpoints/internal/membershipsync.h"

#include "endpoints/internal/membershipcodec.h"
#include "endpoints/internal/membershiprecords.h"
#include "endpoints/internal/membershiprounds.h"

#include <algorithm>
#include <set>

namespace cuminslip::endpoints {

namespace {

constexpr std::size_t kRecordsPerMessage = 32;

auto
Append(std::vector<EndpointChange>& aTo, std::vector<EndpointChange> aFrom)
  -> void
{
  aTo.insert(aTo.end(),
             std::make_move_iterator(aFrom.begin()),
             std::make_move_iterator(aFrom.end()));
}

/// Applies a record; returns whether it was newer than the member's.
auto
LearnInstance(Membership& aMembership,
              const InstanceRecord& aRecord,
              TimePoint aNow,
              MembershipOutput& aOutput) -> bool
{
  const auto isUsable = !aRecord.mId.mValue.empty() &&
                        aRecord.mId != aMembership.mSettings.mInstance;
  auto& members = aMembership.mMembers;
  const auto known = members.find(aRecord.mId);
  const auto isNew = known == members.end();
  const auto hasRoom = members.size() < aMembership.mSettings.mMaxInstances;
  if (!isUsable || (isNew && !hasRoom)) {
    return false;
  }
  if (!isNew) {
    const auto& old = known->second.mRecord;
    if (std::pair(aRecord.mIncarnation, aRecord.mState) <=
        std::pair(old.mIncarnation, old.mState)) {
      return false;
    }
  }
  const auto isRestart =
    !isNew && aRecord.mIncarnation > known->second.mRecord.mIncarnation;
  auto& member = members[aRecord.mId];
  member = { aRecord, 0, aNow, false, {} };
  const auto runningKind =
    isRestart ? InstanceChangeKind::Restarted : InstanceChangeKind::Joined;
  aOutput.mInstanceChanges.push_back({ aRecord.mState == InstanceState::Stopped
                                         ? InstanceChangeKind::Stopped
                                         : runningKind,
                                       aRecord });
  return true;
}

/// Merges a row's relay state. Done also for rows whose load is not new here,
/// since a later announcement may have arrived directly in the meantime.
auto
MergeRelayState(EndpointRelayState& aRelay, const LoadRow& aRow, TimePoint aNow)
  -> void
{
  if (aRelay.mKey != aRow.mKey) {
    aRelay = {};
    aRelay.mKey = aRow.mKey;
  }
  if (aRow.mSequence < aRelay.mLoadSequence) {
    return;
  }
  const auto isNews = aRow.mSequence > aRelay.mLoadSequence;
  MergeRelayRounds(aRelay.mRelay, aRow.mRounds, isNews);
  aRelay.mLoadSequence = aRow.mSequence;
  aRelay.mRelayStartedAt = std::max(aRelay.mRelayStartedAt, aNow - aRow.mAge);
}

} // namespace

auto
Send(const std::string& aAddress,
     const MembershipMessage& aMessage,
     MembershipOutput& aOutput) -> void
{
  aOutput.mMessages.push_back({ aAddress, EncodeMembershipMessage(aMessage) });
}

auto
SendToAll(const Membership& aMembership,
          const MembershipMessage& aMessage,
          TimePoint aNow,
          MembershipOutput& aOutput) -> void
{
  const auto bytes = EncodeMembershipMessage(aMessage);
  for (const auto& [id, member] : aMembership.mMembers) {
    if (IsAlive(aMembership, member, aNow)) {
      aOutput.mMessages.push_back({ member.mRecord.mAddress, bytes });
    }
  }
}

auto
FindSender(Membership& aMembership, std::uint32_t aKey) -> Member*
{
  for (auto& [id, member] : aMembership.mMembers) {
    if (KeyOf(id, member.mRecord.mIncarnation) == aKey) {
      return &member;
    }
  }
  return nullptr;
}

auto
LearnInstances(Membership& aMembership,
               const MembershipMessage& aMessage,
               TimePoint aNow,
               MembershipOutput& aOutput) -> void
{
  for (const auto& record : aMessage.mInstances) {
    const auto isNews = LearnInstance(aMembership, record, aNow, aOutput);
    const auto isGreeting =
      aMessage.mWantsRecords &&
      KeyOf(record.mId, record.mIncarnation) == aMessage.mSender;
    if (isNews && isGreeting) {
      auto message = NewMessage(aMembership);
      message.mInstances = { record };
      SendToAll(aMembership, message, aNow, aOutput);
    }
  }
}

auto
LearnHeartbeats(Membership& aMembership,
                const std::vector<HeartbeatRow>& aRows,
                TimePoint aNow) -> void
{
  if (aRows.empty()) {
    return;
  }
  auto byKey = std::map<std::uint32_t, Member*>{};
  for (auto& [id, member] : aMembership.mMembers) {
    byKey[KeyOf(id, member.mRecord.mIncarnation)] = &member;
  }
  for (const auto& row : aRows) {
    const auto found = byKey.find(row.mKey);
    if (found == byKey.end() || row.mHeartbeat < found->second->mHeartbeat) {
      continue;
    }
    auto& member = *found->second;
    const auto isNews = row.mHeartbeat > member.mHeartbeat;
    MergeRelayRounds(member.mRelay, row.mRounds, isNews);
    if (isNews) {
      member.mHeartbeat = row.mHeartbeat;
      member.mHeardAt = aNow;
    }
  }
}

auto
LearnLoads(Membership& aMembership,
           Registry& aRegistry,
           const std::vector<LoadRow>& aRows,
           TimePoint aNow) -> void
{
  if (aRows.empty()) {
    return;
  }
  auto byKey = std::map<std::uint32_t, const EndpointEntry*>{};
  for (const auto& [id, entry] : aRegistry.mEntries) {
    byKey[KeyOf(id, entry.mLatest.mIncarnation)] = &entry;
  }
  for (const auto& row : aRows) {
    const auto found = byKey.find(row.mKey);
    if (found == byKey.end()) {
      continue;
    }
    const auto& latest = found->second->mLatest;
    LearnLoad(aRegistry,
              { latest.mEndpoint,
                latest.mIncarnation,
                row.mSequence,
                row.mLoad,
                row.mAge,
                row.mLoadAge },
              aNow);
    MergeRelayState(aMembership.mEndpointRelays[latest.mEndpoint], row, aNow);
  }
}

auto
LearnEndpoints(Membership& aMembership,
               Registry& aRegistry,
               const std::vector<EndpointRecord>& aRecords,
               TimePoint aNow,
               MembershipOutput& aOutput) -> void
{
  for (const auto& record : aRecords) {
    const auto& id = record.mIdentity.mEndpoint;
    auto outcome =
      LearnEndpoint(aRegistry, record.mIdentity, aNow, record.mAge);
    Append(aOutput.mEndpointChanges, std::move(outcome.mChanges));
    const auto entry = aRegistry.mEntries.find(id);
    const auto isSameIncarnation =
      entry != aRegistry.mEntries.end() &&
      entry->second.mLatest.mIncarnation == record.mIdentity.mIncarnation;
    if (!isSameIncarnation) {
      continue;
    }
    Append(aOutput.mEndpointChanges,
           LearnDrain(aRegistry, id, record.mDrainVersion, record.mIsDrained));
    auto& relay = aMembership.mEndpointRelays[id];
    const auto key = KeyOf(id, record.mIdentity.mIncarnation);
    if (relay.mKey != key) {
      relay = {};
      relay.mKey = key;
    }
    relay.mSharedFingerprint = FingerprintOf(entry->second);
  }
}

auto
AnswerRecordRequest(const Membership& aMembership,
                    const Registry& aRegistry,
                    const MembershipMessage& aAsked,
                    const std::string& aAddress,
                    TimePoint aNow,
                    MembershipOutput& aOutput) -> void
{
  auto known = aAsked.mKnown;
  std::sort(known.begin(), known.end());
  const auto isKnown = [&](std::uint32_t aKey, std::uint32_t aFingerprint) {
    return std::binary_search(
      known.begin(), known.end(), KnownRecord{ aKey, aFingerprint });
  };
  auto message = NewMessage(aMembership);
  message.mInstances.push_back(OwnRecord(aMembership));
  for (const auto& [id, member] : aMembership.mMembers) {
    const auto& record = member.mRecord;
    if (IsAlive(aMembership, member, aNow) &&
        !isKnown(KeyOf(id, record.mIncarnation), FingerprintOf(record))) {
      message.mInstances.push_back(record);
    }
  }
  for (const auto& [id, entry] : aRegistry.mEntries) {
    const auto key = KeyOf(id, entry.mLatest.mIncarnation);
    if (!IsShared(entry, aNow) || isKnown(key, FingerprintOf(entry))) {
      continue;
    }
    message.mEndpoints.push_back(RecordOf(entry, aNow));
    message.mLoads.push_back(LoadRowOf(entry, aNow, 0));
    if (message.mEndpoints.size() >= kRecordsPerMessage) {
      Send(aAddress, message, aOutput);
      message = NewMessage(aMembership);
    }
  }
  if (!message.mEndpoints.empty() || !message.mInstances.empty()) {
    Send(aAddress, message, aOutput);
  }
}

auto
AnswerStale(const Membership& aMembership,
            const Registry& aRegistry,
            const std::vector<std::uint32_t>& aKeys,
            const std::string& aAddress,
            TimePoint aNow,
            MembershipOutput& aOutput) -> void
{
  if (aKeys.empty()) {
    return;
  }
  const auto stale = std::set(aKeys.begin(), aKeys.end());
  const auto fresh = StaleAge(aMembership, aNow);
  auto message = NewMessage(aMembership);
  for (const auto& [id, entry] : aRegistry.mEntries) {
    if (aNow - entry.mHeardAt < fresh &&
        stale.contains(KeyOf(id, entry.mLatest.mIncarnation))) {
      message.mLoads.push_back(LoadRowOf(entry, aNow, 0));
    }
  }
  for (const auto& [id, member] : aMembership.mMembers) {
    const auto key = KeyOf(id, member.mRecord.mIncarnation);
    if (aNow - member.mHeardAt < fresh && stale.contains(key)) {
      message.mHeartbeats.push_back({ key, member.mHeartbeat, 0 });
    }
  }
  if (!message.mLoads.empty() || !message.mHeartbeats.empty()) {
    Send(aAddress, message, aOutput);
  }
}

auto
RequestRecords(Membership& aMembership,
               const Registry& aRegistry,
               const std::string& aAddress,
               TimePoint aNow,
               MembershipOutput& aOutput) -> void
{
  if (aNow < aMembership.mNextSyncAt) {
    return;
  }
  aMembership.mNextSyncAt = aNow + aMembership.mSettings.mSyncInterval;
  auto message = NewMessage(aMembership);
  message.mInstances = { OwnRecord(aMembership) };
  message.mWantsRecords = true;
  message.mKnown = KnownRecords(aMembership, aRegistry, aNow);
  Send(aAddress, message, aOutput);
}

} // namespace cuminslip::endpoints
