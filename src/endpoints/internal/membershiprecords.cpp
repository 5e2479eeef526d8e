#include "endpoints/internal/membershiprecords.h"

#include "base/digest.h"

#include <algorithm>

namespace cuminslip::endpoints {

namespace {

constexpr auto kMaxSharedAge = Seconds(10);
constexpr auto kMinStaleAge = Millis(1500);
constexpr std::uint64_t kDigestSeed = 1;

auto
Shorten(std::uint64_t aHash) -> std::uint32_t
{
  return static_cast<std::uint32_t>(aHash ^ (aHash >> 32U));
}

/// Appends one field, so that two different records never have the same text.
auto
Append(std::string& aText, const std::string& aField) -> void
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

auto
Append(std::string& aText, std::int64_t aField) -> void
{
  aText += std::to_string(aField);
  aText += ';';
}

auto
FencingSupportCode(const std::optional<bool>& aChecksFencing) -> std::int64_t
{
  return aChecksFencing ? (*aChecksFencing ? 2 : 1) : 0;
}

} // namespace

auto
KeyOf(const EndpointId& aEndpoint, Incarnation aIncarnation) -> std::uint32_t
{
  return Shorten(Checksum(aEndpoint.mValue, aIncarnation));
}

auto
KeyOf(const InstanceId& aInstance, Incarnation aIncarnation) -> std::uint32_t
{
  return Shorten(Checksum("instance " + aInstance.mValue, aIncarnation));
}

auto
KeyOf(const FailureDomainId& aFailureDomain) -> std::uint32_t
{
  return Shorten(Checksum(aFailureDomain.mValue));
}

auto
FingerprintOf(const EndpointEntry& aEntry) -> std::uint32_t
{
  const auto& latest = aEntry.mLatest;
  auto text = std::string{};
  Append(text, latest.mService);
  Append(text, latest.mAddress);
  Append(text, latest.mFailureDomain.mValue);
  Append(text, latest.mRegion.mValue);
  Append(text, static_cast<std::int64_t>(latest.mKind));
  Append(text, static_cast<std::int64_t>(latest.mIsLeaving));
  Append(text, latest.mInterval.count());
  Append(text, static_cast<std::int64_t>(latest.mRole));
  Append(text, FencingSupportCode(latest.mChecksFencing));
  Append(text, latest.mLoad.mTotalKvTokens);
  Append(text, latest.mLoad.mBatchSlots);
  Append(text, aEntry.mDrainVersion);
  Append(text, static_cast<std::int64_t>(aEntry.mIsDrained));
  for (const auto& model : latest.mModels) {
    Append(text, model.mModel.mValue);
    Append(text, model.mVersion.mValue);
    for (const auto& adapter : model.mAdapters) {
      Append(text, adapter);
    }
  }
  return Shorten(Checksum(text));
}

auto
FingerprintOf(const InstanceRecord& aRecord) -> std::uint32_t
{
  auto text = std::string{};
  Append(text, aRecord.mAddress);
  Append(text, static_cast<std::int64_t>(aRecord.mState));
  return Shorten(Checksum(text));
}

auto
OwnRecord(const Membership& aMembership) -> InstanceRecord
{
  const auto& settings = aMembership.mSettings;
  return { settings.mInstance,
           settings.mIncarnation,
           settings.mAddress,
           InstanceState::Running };
}

auto
RecordOf(const EndpointEntry& aEntry, TimePoint aNow) -> EndpointRecord
{
  auto record = EndpointRecord{};
  record.mIdentity = aEntry.mLatest;
  record.mIdentity.mHoldings.clear();
  record.mAge = std::max(Millis(0), MillisBetween(aEntry.mHeardAt, aNow));
  record.mDrainVersion = aEntry.mDrainVersion;
  record.mIsDrained = aEntry.mIsDrained;
  return record;
}

auto
LoadRowOf(const EndpointEntry& aEntry, TimePoint aNow, RoundSet aRounds)
  -> LoadRow
{
  auto row = LoadRow{};
  row.mKey = KeyOf(aEntry.mLatest.mEndpoint, aEntry.mLatest.mIncarnation);
  row.mSequence = static_cast<std::uint32_t>(aEntry.mLoadSequence);
  row.mAge = std::max(Millis(0), MillisBetween(aEntry.mHeardAt, aNow));
  row.mLoadAge = std::max(Millis(0), MillisBetween(aEntry.mLoadTakenAt, aNow));
  row.mLoad = aEntry.mLatest.mLoad;
  row.mRounds = aRounds;
  return row;
}

auto
IsShared(const EndpointEntry& aEntry, TimePoint aNow) -> bool
{
  return aNow - aEntry.mHeardAt < kMaxSharedAge;
}

auto
IsAlive(const Membership& aMembership, const Member& aMember, TimePoint aNow)
  -> bool
{
  return aMember.mRecord.mState == InstanceState::Running &&
         aNow - aMember.mHeardAt < aMembership.mSettings.mInstanceSilence;
}

auto
StaleAge(const Membership& aMembership, TimePoint aNow) -> Millis
{
  const auto alive = AliveInstances(aMembership, aNow).size();
  const auto delay = ShareDelay(aMembership.mSettings, alive);
  return std::max(delay, kMinStaleAge);
}

auto
StaleKeys(const Membership& aMembership,
          const Registry& aRegistry,
          TimePoint aNow) -> std::vector<std::uint32_t>
{
  auto keys = std::vector<std::uint32_t>{};
  const auto limit = StaleAge(aMembership, aNow);
  for (const auto& [id, entry] : aRegistry.mEntries) {
    if (aNow - entry.mHeardAt >= limit && IsShared(entry, aNow)) {
      keys.push_back(KeyOf(id, entry.mLatest.mIncarnation));
    }
  }
  for (const auto& [id, member] : aMembership.mMembers) {
    if (aNow - member.mHeardAt >= limit && IsAlive(aMembership, member, aNow)) {
      keys.push_back(KeyOf(id, member.mRecord.mIncarnation));
    }
  }
  return keys;
}

auto
KnownRecords(const Membership& aMembership,
             const Registry& aRegistry,
             TimePoint aNow) -> std::vector<KnownRecord>
{
  auto known = std::vector<KnownRecord>{};
  for (const auto& [id, entry] : aRegistry.mEntries) {
    if (IsShared(entry, aNow)) {
      known.push_back(
        { KeyOf(id, entry.mLatest.mIncarnation), FingerprintOf(entry) });
    }
  }
  const auto self = OwnRecord(aMembership);
  known.push_back({ KeyOf(self.mId, self.mIncarnation), FingerprintOf(self) });
  for (const auto& [id, member] : aMembership.mMembers) {
    if (IsAlive(aMembership, member, aNow)) {
      const auto& record = member.mRecord;
      known.push_back(
        { KeyOf(id, record.mIncarnation), FingerprintOf(record) });
    }
  }
  return known;
}

auto
DigestOf(const std::vector<KnownRecord>& aKnown) -> std::uint64_t
{
  auto digest = std::uint64_t{ 0 };
  for (const auto& it : aKnown) {
    const auto text =
      std::to_string(it.mKey) + " " + std::to_string(it.mFingerprint);
    digest ^= Checksum(text, kDigestSeed);
  }
  return digest;
}

auto
NewMessage(const Membership& aMembership) -> MembershipMessage
{
  const auto& settings = aMembership.mSettings;
  auto message = MembershipMessage{};
  message.mFailureDomain = KeyOf(settings.mFailureDomain);
  message.mSender = KeyOf(settings.mInstance, settings.mIncarnation);
  message.mRound = aMembership.mRound;
  return message;
}

} // namespace cuminslip::endpoints
