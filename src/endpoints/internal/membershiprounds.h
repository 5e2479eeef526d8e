#pragma once

#include "endpoints/membership.h"

/// Rounds: in round k an instance sends to the one 2^k places after it in the
/// ring of instances what it got by the other rounds; after one cycle
/// of rounds everything is everywhere, and nothing came twice.
namespace cuminslip::endpoints {

/// Number of rounds in a cycle for aInstances instances; 1 to 8.
auto
RoundsInCycle(std::size_t aInstances) -> unsigned;

/// The set of all rounds of a cycle.
auto
AllRounds(std::size_t aInstances) -> RoundSet;

/// Wanted time between two loads of one endpoint that are passed on: three
/// quarters of a cycle; 0 for an instance that is alone.
auto
LoadInterval(const MembershipSettings& aSettings, std::size_t aInstances)
  -> Millis;

/// Merges duties that came with news (aIsNews) or with what is known already.
auto
MergeRelayRounds(RelayState& aRelay, RoundSet aRounds, bool aIsNews) -> void;

/// Runs the next round if it is due.
auto
RunRound(Membership& aMembership,
         const Registry& aRegistry,
         TimePoint aNow,
         MembershipOutput& aOutput) -> void;

} // namespace cuminslip::endpoints
