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

/// Fingerprint of an endpoint without its load and times.
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

/// True while the endpoint was heard of lately enough to be told to others.
auto
IsShared(const EndpointEntry& aEntry, TimePoint aNow) -> bool;

/// True if the instance runs and was heard of lately.
auto
IsAlive(const Membership& aMembership, const Member& aMember, TimePoint aNow)
  -> bool;

/// Age from which news of endpoints and instances is overdue here.
auto
StaleAge(const Membership& aMembership, TimePoint aNow) -> Millis;

/// Keys of endpoints and instances whose news is overdue, but that were heard
/// of lately.
auto
StaleKeys(const Membership& aMembership,
          const Registry& aRegistry,
          TimePoint aNow) -> std::vector<std::uint32_t>;

/// Fingerprints of all that this instance knows.
auto
KnownRecords(const Membership& aMembership,
             const Registry& aRegistry,
             TimePoint aNow) -> std::vector<KnownRecord>;

/// One fingerprint of aKnown.
auto
DigestOf(const std::vector<KnownRecord>& aKnown) -> std::uint64_t;

/// An empty message from this instance.
auto
NewMessage(const Membership& aMembership) -> MembershipMessage;

} // namespace cuminslip::endpoints
