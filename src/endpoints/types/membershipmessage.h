#pragma once

#include "endpoints/types/announcement.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages between the instances of a failure domain about endpoints and
/// about themselves.
namespace cuminslip::endpoints {

enum class InstanceState : std::uint8_t
{
  Running,
  /// Has ended; all memory that it owned is free.
  Stopped
};

/// An instance as it describes itself.
struct InstanceRecord
{
  InstanceId mId;
  Incarnation mIncarnation = 0;
  /// "IP:PORT" for messages from other instances.
  std::string mAddress;
  InstanceState mState = InstanceState::Running;

  auto operator==(const InstanceRecord&) const -> bool = default;
};

/// A peer's record of an endpoint: an announcement without cache events and
/// holdings, and of the load only its sizes. It was received mAge before it was
/// sent.
struct EndpointRecord
{
  Announcement mIdentity;
  Millis mAge{ 0 };
  std::uint32_t mDrainVersion = 0;
  bool mIsDrained = false;

  auto operator==(const EndpointRecord&) const -> bool = default;
};

/// Set of rounds in which a row is still to be sent; bit k stands for round k.
using RoundSet = std::uint8_t;

/// One endpoint's load. mKey identifies the endpoint's incarnation.
struct LoadRow
{
  std::uint32_t mKey = 0;
  std::uint32_t mSequence = 0;
  Millis mAge{ 0 };
  Millis mLoadAge{ 0 };
  LoadReport mLoad;
  RoundSet mRounds = 0;

  auto operator==(const LoadRow&) const -> bool = default;
};

/// One instance's heartbeat. mKey identifies the instance's incarnation.
struct HeartbeatRow
{
  std::uint32_t mKey = 0;
  std::uint32_t mHeartbeat = 0;
  RoundSet mRounds = 0;

  auto operator==(const HeartbeatRow&) const -> bool = default;
};

/// Fingerprint of a record that an instance has.
struct KnownRecord
{
  std::uint32_t mKey = 0;
  std::uint32_t mFingerprint = 0;

  auto operator<=>(const KnownRecord&) const = default;
};

struct MembershipMessage
{
  /// Key of the failure domain.
  std::uint32_t mFailureDomain = 0;
  /// Key of the sender's incarnation.
  std::uint32_t mSender = 0;
  std::uint64_t mRound = 0;
  /// Fingerprint of all records that the sender has; 0 except in a round's
  /// message.
  std::uint64_t mDigest = 0;
  std::vector<LoadRow> mLoads;
  std::vector<HeartbeatRow> mHeartbeats;
  std::vector<InstanceRecord> mInstances;
  std::vector<EndpointRecord> mEndpoints;
  /// Keys of endpoints and instances whose updates are overdue at the sender.
  std::vector<std::uint32_t> mStaleKeys;
  /// Requests the records that are not in mKnown.
  bool mWantsRecords = false;
  std::vector<KnownRecord> mKnown;

  auto operator==(const MembershipMessage&) const -> bool = default;
};

} // namespace cuminslip::endpoints
