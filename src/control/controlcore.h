#pragma once

#include "control/types/coreio.h"

/// The replicated control log of one member as a pure function: no I/O, no
/// clock, no threads. Leader election with pre-vote, leader leases, batched
/// appends, snapshots and membership changes one at a time.
namespace cuminslip {

/// What a member's disk held when it started.
struct RecoveredDisk
{
  /// mBoot already counts this start.
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

/// State of a member after a start. Committed entries up to the floor come out
/// of the first step.
auto
StartCore(CoreOptions aOptions,
          InstanceId aInstance,
          std::string aAddress,
          RecoveredDisk aDisk,
          std::uint64_t aSeed,
          TimePoint aNow) -> CoreState;

/// Takes one input. aNow never goes back.
auto
Step(CoreState aState, const CoreInput& aInput, TimePoint aNow) -> StepResult;

/// Membership in effect.
auto
CurrentMembership(const CoreState& aState) -> const Membership&;

auto
LastIndex(const CoreLog& aLog) -> Revision;

/// Term of the entry at aIndex; none when compacted or not there.
auto
TermAt(const CoreLog& aLog, Revision aIndex) -> std::optional<Term>;

/// True while this member leads and no other can have been elected.
auto
HasLeaderLease(const CoreState& aState, TimePoint aNow) -> bool;

/// Time since a quorum was last known to be reached; none when never.
auto
QuorumAge(const CoreState& aState, TimePoint aNow) -> std::optional<Millis>;

} // namespace cuminslip
