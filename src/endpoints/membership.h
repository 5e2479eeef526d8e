#pragma once

#include "endpoints/registry.h"
#include "endpoints/types/endpointmessages.h"
#include "endpoints/types/membershipmessage.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Gossip protocol by which the instances of a failure domain share their state
/// of endpoints and instances; see docs/design/endpoints.md. Does no I/O: takes
/// the time, messages and announcements, and returns messages to send. Not
/// thread safe; one task owns the membership and its registry.
namespace cuminslip::endpoints {

struct MembershipSettings
{
  InstanceId mInstance;
  Incarnation mIncarnation = 0;
  /// "IP:PORT" at which this instance receives messages from its peers.
  std::string mAddress;
  FailureDomainId mFailureDomain;
  /// Addresses of instances of the failure domain; may include this one.
  std::vector<std::string> mPeers;
  /// Interval between messages with loads and heartbeats.
  Millis mRoundInterval{ 333 };
  /// An instance is considered silent if neither a new heartbeat nor a message
  /// from it arrived for this long.
  Millis mInstanceSilence{ 6000 };
  /// Interval between attempts to contact addresses of mPeers without a live
  /// instance.
  Millis mHelloInterval{ 1000 };
  /// Minimum interval between requests for missing records.
  Millis mSyncInterval{ 1000 };
  /// Silence after which an instance is removed.
  Millis mForgetAfter{ 3600000 };
  /// Pauses of this process longer than this are not counted as silence of the
  /// peers.
  Millis mOwnPauseLimit{ 1000 };
  /// Records of further instances are ignored.
  std::size_t mMaxInstances = 1024;

  auto operator==(const MembershipSettings&) const -> bool = default;
};

/// Rounds in which an item is still to be sent, and those in which it was sent.
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

/// Relay state of an endpoint's load and record.
struct EndpointRelayState
{
  std::uint32_t mKey = 0;
  std::uint64_t mLoadSequence = 0;
  /// When the relay of a load last started, on this or another instance.
  TimePoint mRelayStartedAt;
  RelayState mRelay;
  /// Fingerprint of the record last sent to or received from peers.
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

/// A message to send. It may be lost or reordered.
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

/// Messages to send and changes to report after a call.
struct MembershipOutput
{
  std::vector<OutgoingMessage> mMessages;
  std::vector<EndpointChange> mEndpointChanges;
  std::vector<InstanceChange> mInstanceChanges;

  auto operator==(const MembershipOutput&) const -> bool = default;
};

/// State of the instance that owns a holding.
enum class OwnerState : std::uint8_t
{
  Alive,
  /// No recent heartbeat: crashed, or only unreachable from here.
  Silent,
  /// That incarnation has certainly ended.
  Gone,
  /// No record of that incarnation.
  Unknown
};

/// Maximum time in normal operation from an announcement until all of
/// aInstances instances have its load.
auto
ShareDelay(const MembershipSettings& aSettings, std::size_t aInstances)
  -> Millis;

/// Starts at aNow; the first tick contacts the peers.
auto
StartMembership(MembershipSettings aSettings, TimePoint aNow) -> Membership;

/// Call it at least every 50 ms.
auto
TickMembership(Membership& aMembership, Registry& aRegistry, TimePoint aNow)
  -> MembershipOutput;

/// Handles a message from a peer. Ignores malformed messages and those of other
/// failure domains.
auto
ReceiveMembershipMessage(Membership& aMembership,
                         Registry& aRegistry,
                         std::string_view aBytes,
                         TimePoint aNow) -> MembershipOutput;

/// Shares the registry's state of aEndpoint. Call it after SetDrained, and
/// after ApplyAnnouncement if that returned mIsNews.
auto
ShareEndpoint(Membership& aMembership,
              const Registry& aRegistry,
              const EndpointId& aEndpoint,
              TimePoint aNow) -> MembershipOutput;

/// Tells the peers that this instance has stopped. Must be the last call.
/// Precondition: the instance owns no holdings.
auto
StopMembership(Membership& aMembership, TimePoint aNow) -> MembershipOutput;

/// State of an owner of holdings at aNow; this instance's current incarnation
/// is Alive.
auto
OwnerStateAt(const Membership& aMembership, const Owner& aOwner, TimePoint aNow)
  -> OwnerState;

/// This instance and all others with a recent heartbeat, sorted by id.
auto
AliveInstances(const Membership& aMembership, TimePoint aNow)
  -> std::vector<InstanceRecord>;

/// Logs the change as one event.
auto
LogInstanceChange(const InstanceChange& aChange) -> void;

} // namespace cuminslip::endpoints
