#pragma once

#include "endpoints/membership.h"

/// Records, keys and fingerprints of a membership.
namespace cuminslip::endpoints {

/// Key of an endpoint's incarnation in load rows.
auto
KeyOf(const EndpointId& aEndpoint, Incarnation aIncarnation) -> std::uint32_t;

/// Key of an instance's incarnation.
auto
KeyOf(const InstanceId& aInstance, Incarnation aIncarnation) -> std::uint32_t;

auto
KeyOf(const FailureDomainId& aFailureDomain) -> std::uint32_t;

/// Fingerprint of an endpoint's record, without its load (but for its sizes)
/// and times.
auto
FingerprintOf(const EndpointEntry& aEntry) -> std::uint32_t;

auto
FingerprintOf(const InstanceRecord& aRecord) -> std::uint32_t;

auto
OwnRecord(const Membership& aMembership) -> InstanceRecord;

auto
RecordOf(const EndpointEntry& aEntry, TimePoint aNow) -> EndpointRecord;

auto
LoadRowOf(const EndpointEntry& aEntry, TimePoint aNow, RoundSet aRounds)
  -> LoadRow;

/// True while the endpoint's last update is recent enough to be shared.
auto
IsShared(const EndpointEntry& aEntry, TimePoint aNow) -> bool;

/// True if the instance is running and has a recent heartbeat.
auto
IsAlive(const Membership& aMembership, const Member& aMember, TimePoint aNow)
  -> bool;

/// Age from which an endpoint's or instance's update is overdue.
auto
StaleAge(const Membership& aMembership, TimePoint aNow) -> Millis;

/// Keys of the shared endpoints (IsShared) and live instances (IsAlive) whose
/// updates are overdue.
auto
StaleKeys(const Membership& aMembership,
          const Registry& aRegistry,
          TimePoint aNow) -> std::vector<std::uint32_t>;

/// Fingerprints of all records that this instance has.
auto
KnownRecords(const Membership& aMembership,
             const Registry& aRegistry,
             TimePoint aNow) -> std::vector<KnownRecord>;

/// Combined fingerprint of aKnown, independent of its order.
auto
DigestOf(const std::vector<KnownRecord>& aKnown) -> std::uint64_t;

/// Creates an empty message from this instance.
auto
NewMessage(const Membership& aMembership) -> MembershipMessage;

} // namespace cuminslip::endpoints
