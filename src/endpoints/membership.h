#pragma once

#include "endpoints/registry.h"
#include "endpoints/types/endpointmessages.h"
#include "endpoints/types/membershipmessage.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Sharing of what is known of endpoints and instances between the instances
/// of a failure domain; docs/design/endpoints.md tells how. A pure step
/// function: times, messages and announcements go in, messages come out. Not
/// thread safe; one task owns the membership and its registry.
namespace cuminslip::endpoints {

struct MembershipSettings
{
  InstanceId mInstance;
  Incarnation mIncarnation = 0;
  /// "IP:PORT" at which this instance takes messages from its peers.
  std::string mAddress;
  FailureDomainId mFailureDomain;
  /// Addresses of instances of the failure domain; this one may be among them.
  std::vector<std::string> mPeers;
  /// Time between two messages with loads and heartbeats.
  Millis mRoundInterval{ 333 };
  /// An instance without a new heartbeat for this long is taken as cut off.
  Millis mInstanceSilence{ 6000 };
  /// Time between two attempts to reach addresses of mPeers that are silent.
  Millis mHelloInterval{ 1000 };
  /// Least time between two requests for missing records.
  Millis mSyncInterval{ 1000 };
  /// Silence after which an instance is forgotten.
  Millis mForgetAfter{ 3600000 };
  Millis mOwnPauseLimit{ 1000 };
  std::size_t mMaxInstances = 1024;

  auto operator==(const MembershipSettings&) const -> bool = default;
};

/// Rounds in which something is still to be passed on, and those done.
struct RelayState
{
  RoundSet mPendingRounds = 0;
  RoundSet mSentRounds = 0;
};

/// Another instance.
struct Member
{
  InstanceRecord mRecord;
  std::uint32_t mHeartbeat = 0;
  TimePoint mHeardAt;
  bool mWasSilent = false;
  RelayState mRelay;
};

/// How far an endpoint's news has been passed on.
struct EndpointRelayState
{
  std::uint32_t mKey = 0;
  std::uint64_t mLoadSequence = 0;
  /// When a load was last begun to be passed on, here or elsewhere.
  TimePoint mRelayStartedAt;
  RelayState mRelay;
  /// Fingerprint of what peers were told.
  std::uint32_t mSharedFingerprint = 0;
};

struct Membership
{
  MembershipSettings mSettings;
  std::uint32_t mHeartbeat = 0;
  RelayState mOwnRelay;
  std::map<InstanceId, Member> mMembers;
  std::map<EndpointId, EndpointRelayState> mEndpointRelays;
  std::uint64_t mRound = 0;
  TimePoint mNextRoundAt;
  TimePoint mNextHelloAt;
  TimePoint mNextCheckAt;
  TimePoint mNextSyncAt;
  TimePoint mLastTick;
  std::size_t mNextPeer = 0;
};

/// A message to send; delivery is not needed, order is not needed.
struct OutgoingMessage
{
  std::string mAddress;
  std::string mBytes;

  auto operator==(const OutgoingMessage&) const -> bool = default;
};

enum class InstanceChangeKind : std::uint8_t
{
  Joined,
  Restarted,
  Silent,
  Returned,
  Stopped,
  Forgotten
};

struct InstanceChange
{
  InstanceChangeKind mKind = InstanceChangeKind::Joined;
  InstanceRecord mInstance;

  auto operator==(const InstanceChange&) const -> bool = default;
};

/// What a step leads to.
struct MembershipOutput
{
  std::vector<OutgoingMessage> mMessages;
  std::vector<EndpointChange> mEndpointChanges;
  std::vector<InstanceChange> mInstanceChanges;

  auto operator==(const MembershipOutput&) const -> bool = default;
};

/// What is known of the instance that owns something.
enum class OwnerState : std::uint8_t
{
  Alive,
  /// Not heard of for a while: dead, or only cut off.
  Silent,
  /// That incarnation has ended for certain.
  Gone,
  /// Never heard of.
  Unknown
};

/// Longest time from an announcement to its load being known by all of
/// aInstances instances, in normal operation.
auto
ShareDelay(const MembershipSettings& aSettings, std::size_t aInstances)
  -> Millis;

/// Begins at aNow; the first tick greets the peers.
auto
StartMembership(MembershipSettings aSettings, TimePoint aNow) -> Membership;

/// To be called at least every 50 ms.
auto
TickMembership(Membership& aMembership, Registry& aRegistry, TimePoint aNow)
  -> MembershipOutput;

/// Takes a message from a peer. Bytes that are no message, and messages of
/// other failure domains, are ignored.
auto
ReceiveMembershipMessage(Membership& aMembership,
                         Registry& aRegistry,
                         std::string_view aBytes,
                         TimePoint aNow) -> MembershipOutput;

/// Passes on what the registry knows of aEndpoint: to be called after
/// ApplyAnnouncement with news, and after SetDrained.
auto
ShareEndpoint(Membership& aMembership,
              const Registry& aRegistry,
              const EndpointId& aEndpoint,
              TimePoint aNow) -> MembershipOutput;

/// Tells the peers that this instance has ended: the last step. Precondition:
/// it owns nothing more.
auto
StopMembership(Membership& aMembership, TimePoint aNow) -> MembershipOutput;

/// State of an owner of holdings at aNow; this instance itself is alive.
auto
OwnerStateAt(const Membership& aMembership, const Owner& aOwner, TimePoint aNow)
  -> OwnerState;

/// This instance and those heard of lately, in the order of their ids.
auto
AliveInstances(const Membership& aMembership, TimePoint aNow)
  -> std::vector<InstanceRecord>;

/// Writes one log line.
auto
LogInstanceChange(const InstanceChange& aChange) -> void;

} // namespace cuminslip::endpoints
