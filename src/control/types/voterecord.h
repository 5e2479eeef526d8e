#pragma once

#include "control/types/logentry.h"

#include <map>

/// What a member must never forget.
namespace cuminslip {

struct VoteRecord
{
  ClusterId mCluster = 0;
  MemberId mMember = 0;
  /// This start of the disk: see NextBoot.
  std::uint64_t mBoot = 0;
  Term mTerm = 0;
  /// The member voted for in mTerm; 0 for none.
  MemberId mVote = 0;
  /// Highest boot seen of each other member.
  std::map<MemberId, std::uint64_t> mPeerBoots;

  auto operator==(const VoteRecord&) const -> bool = default;
};

/// Identity of the start after aBoot: a count in the upper half, so that an
/// older disk is told by it, and a random lower half, so that two starts from
/// one copy differ.
inline auto
NextBoot(std::uint64_t aBoot, std::uint64_t aRandom) -> std::uint64_t
{
  constexpr auto kHalf = 32U;
  constexpr auto kLowerMask = 0xffffffffULL;
  return (((aBoot >> kHalf) + 1) << kHalf) | (aRandom & kLowerMask);
}

/// True when a start of a disk can't have come after aKnown.
inline auto
IsOlderBoot(std::uint64_t aBoot, std::uint64_t aKnown) -> bool
{
  constexpr auto kHalf = 32U;
  return aBoot != aKnown && (aBoot >> kHalf) <= (aKnown >> kHalf);
}

} // namespace cuminslip
