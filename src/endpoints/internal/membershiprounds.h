#pragma once

#include "endpoints/membership.h"

/// Gossip rounds. In round k an instance sends what it received in the other
/// rounds to the instance 2^k places after it in the ring of instances. After
/// one cycle of rounds every instance has every item and received it only once.
/// A RoundSet has 8 bits, so one cycle covers at most 256 instances.
namespace cuminslip::endpoints {

/// Number of rounds in a cycle for aInstances instances; 1 to 8.
auto
RoundsInCycle(std::size_t aInstances) -> unsigned;

/// The set of all rounds of a cycle.
auto
AllRounds(std::size_t aInstances) -> RoundSet;

/// Target interval between relayed loads of one endpoint: three quarters of a
/// cycle; 0 for a single instance.
auto
LoadInterval(const MembershipSettings& aSettings, std::size_t aInstances)
  -> Millis;

/// Adds the pending rounds received with an item. A newer item (aIsNews)
/// replaces the state; otherwise rounds already sent are left out.
auto
MergeRelayRounds(RelayState& aRelay, RoundSet aRounds, bool aIsNews) -> void;

/// Runs the next round if it is due.
auto
RunRound(Membership& aMembership,
         const Registry& aRegistry,
         TimePoint aNow,
         MembershipOutput& aOutput) -> void;

} // namespace cuminslip::endpoints
