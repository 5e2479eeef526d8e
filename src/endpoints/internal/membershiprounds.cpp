#include "endpoints/internal/membershiprounds.h"

#include "endpoints/internal/membershipcodec.h"
#include "endpoints/internal/membershiprecords.h"

#include <algorithm>
#include <optional>

namespace cuminslip::endpoints {

namespace {

constexpr unsigned kMaxRounds = 8;

auto
Bit(unsigned aRound) -> RoundSet
{
  return static_cast<RoundSet>(1U << aRound);
}

/// The duties that go along with a row sent in round aRound, if it is to be
/// sent at all.
auto
TakePendingRounds(RelayState& aRelay, unsigned aRound)
  -> std::optional<RoundSet>
{
  if ((aRelay.mPendingRounds & Bit(aRound)) == 0) {
    return std::nullopt;
  }
  aRelay.mPendingRounds =
    static_cast<RoundSet>(aRelay.mPendingRounds & ~Bit(aRound));
  aRelay.mSentRounds = static_cast<RoundSet>(aRelay.mSentRounds | Bit(aRound));
  return aRelay.mPendingRounds;
}

auto
TargetOf(const Membership& aMembership,
         const std::vector<InstanceRecord>& aAlive,
         unsigned aRound) -> const InstanceRecord&
{
  const auto self = std::find_if(
    aAlive.begin(), aAlive.end(), [&](const InstanceRecord& aRecord) {
      return aRecord.mId == aMembership.mSettings.mInstance;
    });
  const auto place = static_cast<std::size_t>(self - aAlive.begin());
  return aAlive[(place + (std::size_t{ 1 } << aRound)) % aAlive.size()];
}

auto
AddLoads(Membership& aMembership,
         const Registry& aRegistry,
         unsigned aRound,
         TimePoint aNow,
         MembershipMessage& aMessage) -> void
{
  for (auto& [id, spread] : aMembership.mEndpointRelays) {
    const auto entry = aRegistry.mEntries.find(id);
    const auto duty = TakePendingRounds(spread.mRelay, aRound);
    if (duty && entry != aRegistry.mEntries.end()) {
      // NOTE: the number is that of the load begun with, the figures may be
      // newer: those who pass it on must agree on what they pass on.
      auto row = LoadRowOf(entry->second, aNow, *duty);
      row.mSequence = static_cast<std::uint32_t>(spread.mLoadSequence);
      aMessage.mLoads.push_back(row);
    }
  }
}

auto
AddHeartbeats(Membership& aMembership,
              unsigned aRound,
              MembershipMessage& aMessage) -> void
{
  if (const auto duty = TakePendingRounds(aMembership.mOwnRelay, aRound)) {
    aMessage.mHeartbeats.push_back(
      { aMessage.mSender, aMembership.mHeartbeat, *duty });
  }
  for (auto& [id, member] : aMembership.mMembers) {
    if (const auto duty = TakePendingRounds(member.mRelay, aRound)) {
      aMessage.mHeartbeats.push_back(
        { KeyOf(id, member.mRecord.mIncarnation), member.mHeartbeat, *duty });
    }
  }
}

} // namespace

auto
RoundsInCycle(std::size_t aInstances) -> unsigned
{
  auto rounds = 1U;
  while (rounds < kMaxRounds && (std::size_t{ 1 } << rounds) < aInstances) {
    ++rounds;
  }
  return rounds;
}

auto
AllRounds(std::size_t aInstances) -> RoundSet
{
  return static_cast<RoundSet>((1U << RoundsInCycle(aInstances)) - 1);
}

auto
LoadInterval(const MembershipSettings& aSettings, std::size_t aInstances)
  -> Millis
{
  if (aInstances < 2) {
    return Millis(0);
  }
  return RoundsInCycle(aInstances) * aSettings.mRoundInterval * 3 / 4;
}

auto
ShareDelay(const MembershipSettings& aSettings, std::size_t aInstances)
  -> Millis
{
  if (aInstances < 2) {
    return Millis(0);
  }
  return RoundsInCycle(aInstances) * aSettings.mRoundInterval +
         LoadInterval(aSettings, aInstances);
}

auto
MergeRelayRounds(RelayState& aRelay, RoundSet aRounds, bool aIsNews) -> void
{
  if (aIsNews) {
    aRelay = { aRounds, 0 };
    return;
  }
  const auto added = aRounds & ~aRelay.mSentRounds;
  aRelay.mPendingRounds = static_cast<RoundSet>(aRelay.mPendingRounds | added);
}

auto
RunRound(Membership& aMembership,
         const Registry& aRegistry,
         TimePoint aNow,
         MembershipOutput& aOutput) -> void
{
  if (aNow < aMembership.mNextRoundAt) {
    return;
  }
  const auto alive = AliveInstances(aMembership, aNow);
  ++aMembership.mRound;
  aMembership.mNextRoundAt = aNow + aMembership.mSettings.mRoundInterval;
  const auto round =
    static_cast<unsigned>(aMembership.mRound % RoundsInCycle(alive.size()));
  if (round == 0) {
    ++aMembership.mHeartbeat;
    aMembership.mOwnRelay = { AllRounds(alive.size()), 0 };
  }
  if (alive.size() < 2) {
    return;
  }
  auto message = NewMessage(aMembership);
  message.mDigest = DigestOf(KnownRecords(aMembership, aRegistry, aNow));
  message.mStaleKeys = StaleKeys(aMembership, aRegistry, aNow);
  AddLoads(aMembership, aRegistry, round, aNow, message);
  AddHeartbeats(aMembership, round, message);
  aOutput.mMessages.push_back({ TargetOf(aMembership, alive, round).mAddress,
                                EncodeMembershipMessage(message) });
}

} // namespace cuminslip::endpoints
