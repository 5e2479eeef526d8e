#include "endpoints/membership.h"

#include "endpoints/internal/membershipcodec.h"
#include "endpoints/internal/membershiprecords.h"
#include "endpoints/internal/membershiprounds.h"
#include "endpoints/internal/membershipsync.h"
#include "endpoints/types/endpointsevents.h"

#include <algorithm>

namespace cuminslip::endpoints {

namespace {

constexpr std::size_t kContactsWhenAlone = 3;
constexpr auto kCheckInterval = Millis(200);

/// Excludes a pause of this process from the silence of its peers.
auto
ExcludeOwnPause(Membership& aMembership, TimePoint aNow) -> void
{
  const auto pause = aNow - aMembership.mLastTick;
  if (pause > aMembership.mSettings.mOwnPauseLimit) {
    for (auto& [id, member] : aMembership.mMembers) {
      member.mHeardAt = std::min(aNow, member.mHeardAt + pause);
    }
  }
  aMembership.mLastTick = aNow;
}

auto
NoteSilence(Membership& aMembership, TimePoint aNow, MembershipOutput& aOutput)
  -> void
{
  auto& members = aMembership.mMembers;
  for (auto it = members.begin(); it != members.end();) {
    auto& member = it->second;
    const auto isRunning = member.mRecord.mState == InstanceState::Running;
    const auto isSilent = isRunning && !IsAlive(aMembership, member, aNow);
    if (isSilent != member.mWasSilent) {
      member.mWasSilent = isSilent;
      aOutput.mInstanceChanges.push_back(
        { isSilent ? InstanceChangeKind::Silent : InstanceChangeKind::Returned,
          member.mRecord });
    }
    if (aNow - member.mHeardAt < aMembership.mSettings.mForgetAfter) {
      ++it;
      continue;
    }
    aOutput.mInstanceChanges.push_back(
      { InstanceChangeKind::Forgotten, member.mRecord });
    it = members.erase(it);
  }
}

auto
IsAliveAddress(const Membership& aMembership,
               const std::string& aAddress,
               TimePoint aNow) -> bool
{
  const auto& members = aMembership.mMembers;
  return std::any_of(members.begin(), members.end(), [&](const auto& aItem) {
    return aItem.second.mRecord.mAddress == aAddress &&
           IsAlive(aMembership, aItem.second, aNow);
  });
}

/// Contacts configured peers without a live instance. A peer that is contacted
/// tells all other instances about this one.
auto
ContactPeers(Membership& aMembership,
             const Registry& aRegistry,
             TimePoint aNow,
             MembershipOutput& aOutput) -> void
{
  if (aNow < aMembership.mNextHelloAt) {
    return;
  }
  const auto& settings = aMembership.mSettings;
  aMembership.mNextHelloAt = aNow + settings.mHelloInterval;
  const auto isAlone = AliveInstances(aMembership, aNow).size() < 2;
  auto remaining = isAlone ? kContactsWhenAlone : std::size_t{ 1 };
  auto message = NewMessage(aMembership);
  message.mInstances = { OwnRecord(aMembership) };
  message.mWantsRecords = true;
  message.mKnown = KnownRecords(aMembership, aRegistry, aNow);
  for (std::size_t i = 0; i < settings.mPeers.size() && remaining > 0; ++i) {
    const auto& address =
      settings.mPeers[aMembership.mNextPeer % settings.mPeers.size()];
    ++aMembership.mNextPeer;
    if (address != settings.mAddress &&
        !IsAliveAddress(aMembership, address, aNow)) {
      Send(address, message, aOutput);
      --remaining;
    }
  }
}

/// Detects instances and endpoints that went silent or returned.
auto
CheckLiveness(Membership& aMembership,
              Registry& aRegistry,
              TimePoint aNow,
              MembershipOutput& aOutput) -> void
{
  NoteSilence(aMembership, aNow, aOutput);
  const auto alive = AliveInstances(aMembership, aNow).size();
  aRegistry.mSettings.mShareDelay = ShareDelay(aMembership.mSettings, alive);
  aOutput.mEndpointChanges = TickRegistry(aRegistry, aNow);
  std::erase_if(aMembership.mEndpointRelays, [&](const auto& aItem) {
    return !aRegistry.mEntries.contains(aItem.first);
  });
}

/// Starts the relay of a load. All instances select the same announcements of
/// an endpoint by their sequence; an overdue one is relayed as well.
auto
StartLoadRelay(const Membership& aMembership,
               const EndpointEntry& aEntry,
               TimePoint aNow,
               EndpointRelayState& aRelay) -> void
{
  const auto alive = AliveInstances(aMembership, aNow).size();
  const auto interval = LoadInterval(aMembership.mSettings, alive);
  const auto announced = aEntry.mLatest.mInterval;
  const auto every = std::max<std::int64_t>(
    1, (interval + announced / 2).count() / announced.count());
  const auto isSelected =
    aEntry.mLoadSequence % static_cast<std::uint64_t>(every) == 0 ||
    aNow - aRelay.mRelayStartedAt >
      interval + ShareDelay(aMembership.mSettings, alive);
  if (aRelay.mLoadSequence == aEntry.mLoadSequence || !isSelected) {
    return;
  }
  aRelay.mLoadSequence = aEntry.mLoadSequence;
  aRelay.mRelayStartedAt = aNow;
  aRelay.mRelay = { AllRounds(alive), 0 };
}

/// Keeps rounds in step with the peers: an instance that is behind runs the
/// round immediately.
auto
FollowRound(Membership& aMembership, std::uint64_t aRound, TimePoint aNow)
  -> void
{
  if (aRound > aMembership.mRound) {
    aMembership.mRound = aRound - 1;
    aMembership.mNextRoundAt = aNow;
  }
}

auto
HandleMessage(Membership& aMembership,
              Registry& aRegistry,
              const MembershipMessage& aMessage,
              TimePoint aNow,
              MembershipOutput& aOutput) -> void
{
  LearnInstances(aMembership, aMessage, aNow, aOutput);
  LearnEndpoints(aMembership, aRegistry, aMessage.mEndpoints, aNow, aOutput);
  LearnLoads(aMembership, aRegistry, aMessage.mLoads, aNow);
  LearnHeartbeats(aMembership, aMessage.mHeartbeats, aNow);
  auto* sender = FindSender(aMembership, aMessage.mSender);
  if (sender == nullptr || sender->mRecord.mState == InstanceState::Stopped) {
    return;
  }
  sender->mHeardAt = aNow;
  const auto address = sender->mRecord.mAddress;
  if (aMessage.mWantsRecords) {
    AnswerRecordRequest(
      aMembership, aRegistry, aMessage, address, aNow, aOutput);
  }
  const auto isRound = aMessage.mDigest != 0;
  if (!isRound) {
    return;
  }
  AnswerStale(
    aMembership, aRegistry, aMessage.mStaleKeys, address, aNow, aOutput);
  FollowRound(aMembership, aMessage.mRound, aNow);
  const auto known = KnownRecords(aMembership, aRegistry, aNow);
  if (DigestOf(known) != aMessage.mDigest) {
    RequestRecords(aMembership, aRegistry, address, aNow, aOutput);
  }
  RunRound(aMembership, aRegistry, aNow, aOutput);
}

auto
EventOf(InstanceChangeKind aKind) -> const Event&
{
  switch (aKind) {
    case InstanceChangeKind::Joined:
      return kInstanceJoinedEvent;
    case InstanceChangeKind::Restarted:
      return kInstanceRestartedEvent;
    case InstanceChangeKind::Silent:
      return kInstanceSilentEvent;
    case InstanceChangeKind::Returned:
      return kInstanceReturnedEvent;
    case InstanceChangeKind::Stopped:
      return kInstanceStoppedEvent;
    case InstanceChangeKind::Forgotten:
      return kInstanceForgottenEvent;
  }
  return kInstanceForgottenEvent;
}

} // namespace

auto
StartMembership(MembershipSettings aSettings, TimePoint aNow) -> Membership
{
  auto membership = Membership{};
  membership.mSettings = std::move(aSettings);
  membership.mNextRoundAt = aNow;
  membership.mNextHelloAt = aNow;
  membership.mNextCheckAt = aNow;
  membership.mNextSyncAt = aNow;
  membership.mLastTick = aNow;
  return membership;
}

auto
TickMembership(Membership& aMembership, Registry& aRegistry, TimePoint aNow)
  -> MembershipOutput
{
  auto output = MembershipOutput{};
  ExcludeOwnPause(aMembership, aNow);
  if (aNow >= aMembership.mNextCheckAt) {
    aMembership.mNextCheckAt = aNow + kCheckInterval;
    CheckLiveness(aMembership, aRegistry, aNow, output);
  }
  ContactPeers(aMembership, aRegistry, aNow, output);
  RunRound(aMembership, aRegistry, aNow, output);
  return output;
}

auto
ReceiveMembershipMessage(Membership& aMembership,
                         Registry& aRegistry,
                         std::string_view aBytes,
                         TimePoint aNow) -> MembershipOutput
{
  auto output = MembershipOutput{};
  const auto message = CollectOutcome<MembershipMessage>(
    [&] { return DecodeMembershipMessage(aBytes); });
  const auto domain = KeyOf(aMembership.mSettings.mFailureDomain);
  if (message.mValue && message.mValue->mFailureDomain == domain) {
    HandleMessage(aMembership, aRegistry, *message.mValue, aNow, output);
  }
  return output;
}

auto
ShareEndpoint(Membership& aMembership,
              const Registry& aRegistry,
              const EndpointId& aEndpoint,
              TimePoint aNow) -> MembershipOutput
{
  auto output = MembershipOutput{};
  const auto entry = aRegistry.mEntries.find(aEndpoint);
  if (entry == aRegistry.mEntries.end()) {
    return output;
  }
  auto& relay = aMembership.mEndpointRelays[aEndpoint];
  const auto key = KeyOf(aEndpoint, entry->second.mLatest.mIncarnation);
  if (relay.mKey != key) {
    relay = {};
    relay.mKey = key;
  }
  StartLoadRelay(aMembership, entry->second, aNow, relay);
  const auto fingerprint = FingerprintOf(entry->second);
  if (relay.mSharedFingerprint == fingerprint) {
    return output;
  }
  relay.mSharedFingerprint = fingerprint;
  auto message = NewMessage(aMembership);
  message.mEndpoints = { RecordOf(entry->second, aNow) };
  message.mLoads = { LoadRowOf(entry->second, aNow, 0) };
  SendToAll(aMembership, message, aNow, output);
  return output;
}

auto
StopMembership(Membership& aMembership, TimePoint aNow) -> MembershipOutput
{
  auto output = MembershipOutput{};
  auto message = NewMessage(aMembership);
  auto record = OwnRecord(aMembership);
  record.mState = InstanceState::Stopped;
  message.mInstances = { record };
  SendToAll(aMembership, message, aNow, output);
  return output;
}

auto
OwnerStateAt(const Membership& aMembership, const Owner& aOwner, TimePoint aNow)
  -> OwnerState
{
  const auto& settings = aMembership.mSettings;
  if (aOwner.mInstance == settings.mInstance) {
    return aOwner.mIncarnation < settings.mIncarnation ? OwnerState::Gone
                                                       : OwnerState::Alive;
  }
  const auto found = aMembership.mMembers.find(aOwner.mInstance);
  if (found == aMembership.mMembers.end() ||
      found->second.mRecord.mIncarnation < aOwner.mIncarnation) {
    return OwnerState::Unknown;
  }
  const auto& member = found->second;
  const auto isEnded = member.mRecord.mIncarnation > aOwner.mIncarnation ||
                       member.mRecord.mState == InstanceState::Stopped;
  if (isEnded) {
    return OwnerState::Gone;
  }
  return IsAlive(aMembership, member, aNow) ? OwnerState::Alive
                                            : OwnerState::Silent;
}

auto
AliveInstances(const Membership& aMembership, TimePoint aNow)
  -> std::vector<InstanceRecord>
{
  auto alive = std::vector<InstanceRecord>{ OwnRecord(aMembership) };
  for (const auto& [id, member] : aMembership.mMembers) {
    if (IsAlive(aMembership, member, aNow)) {
      alive.push_back(member.mRecord);
    }
  }
  std::sort(alive.begin(),
            alive.end(),
            [](const InstanceRecord& aLeft, const InstanceRecord& aRight) {
              return aLeft.mId < aRight.mId;
            });
  return alive;
}

auto
LogInstanceChange(const InstanceChange& aChange) -> void
{
  LogEvent(EventOf(aChange.mKind),
           { { "peer", aChange.mInstance.mId.mValue },
             { "incarnation", aChange.mInstance.mIncarnation },
             { "address", aChange.mInstance.mAddress } });
}

} // namespace cuminslip::endpoints
