#pragma once

#include "control/types/coreio.h"

/// Raft consensus for one member of the control log, as a pure function
/// without I/O, clock or threads: leader election with pre-vote, leader leases,
/// batched appends, snapshots and single-server membership changes.
namespace cuminslip {

/// Contents of a member's disk at startup.
struct RecoveredDisk
{
  /// mBoot already identifies this start.
  VoteRecord mVote;
  Snapshot mSnapshot;
  /// Consecutive entries, the first at or before the one after mSnapshot.
  std::vector<LogEntry> mEntries;
  /// Index and term before mEntries.
  Revision mBaseIndex = 0;
  Term mBaseTerm = 0;
  /// Index up to which entries are known to be committed.
  Revision mCommitFloor = 0;
};

/// Returns the initial state of a member. Entries up to the commit floor are
/// returned as committed by the first step. aSeed seeds the random election
/// timeouts.
auto
StartCore(CoreOptions aOptions,
          InstanceId aInstance,
          std::string aAddress,
          RecoveredDisk aDisk,
          std::uint64_t aSeed,
          TimePoint aNow) -> CoreState;

/// Processes one input. A halted member ignores it. Precondition: aNow never
/// decreases between calls.
auto
Step(CoreState aState, const CoreInput& aInput, TimePoint aNow) -> StepResult;

/// The membership in effect: the latest in the log, committed or not. The
/// reference is valid while aState is unchanged.
auto
CurrentMembership(const CoreState& aState) -> const Membership&;

auto
LastIndex(const CoreLog& aLog) -> Revision;

/// Term of the entry at aIndex; none when it is compacted or past the end.
auto
TermAt(const CoreLog& aLog, Revision aIndex) -> std::optional<Term>;

/// True while this member is the leader, has committed an entry of its term,
/// and no other member can have been elected.
auto
HasLeaderLease(const CoreState& aState, TimePoint aNow) -> bool;

/// Time since a quorum was last known to be reachable; none if it never was.
auto
QuorumAge(const CoreState& aState, TimePoint aNow) -> std::optional<Millis>;

} // namespace cuminslip
