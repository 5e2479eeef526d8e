#pragma once

#include "policy/enginelanes.h"

/// Decides when a prompt uses engines of another load group. Answers a load
/// that differs among groups: one failure domain gets more callers than its
/// engines serve in time while others have free engines. Work on the engines of
/// other groups is known later than on those of the own one, so they are used
/// only when the own ones would be late. Pure functions; thread safe.
namespace cuminslip {

struct BorrowRules
{
  /// Fraction of the answer target for which a prompt waits for engines of its
  /// own group first.
  double mOwnShare = 0.25;
  /// Other engines must answer earlier by this time.
  Millis mMinGain{ 30 };

  auto operator==(const BorrowRules&) const -> bool = default;
};

/// Returns true if other groups should be considered, given the choice in the
/// own group.
auto
ShouldBorrow(const PromptWork& aPrompt,
             const LaneChoice& aOwn,
             const BorrowRules& aRules) -> bool;

/// Returns true if aOther, a choice in another group, is better than aOwn.
auto
IsBetterBorrowed(const LaneChoice& aOwn,
                 const LaneChoice& aOther,
                 const BorrowRules& aRules) -> bool;

} // namespace cuminslip
