#pragma once

#include "control/types/logentry.h"

#include <map>

/// State that a member makes durable before it acts on it, and must never lose.
namespace cuminslip {

struct VoteRecord
{
  ClusterId mCluster = 0;
  MemberId mMember = 0;
  /// Identity of the present start; see NextBoot.
  std::uint64_t mBoot = 0;
  Term mTerm = 0;
  /// Member that got the vote in mTerm; 0 for none.
  MemberId mVote = 0;
  /// Latest boot seen of each other member.
  std::map<MemberId, std::uint64_t> mPeerBoots;

  auto operator==(const VoteRecord&) const -> bool = default;
};

/// Boot identity of the start after aBoot. The upper half is a counter that
/// reveals a disk restored from an older copy; the lower half is random, so
/// that two starts from copies of one disk differ.
inline auto
NextBoot(std::uint64_t aBoot, std::uint64_t aRandom) -> std::uint64_t
{
  constexpr auto kHalf = 32U;
  constexpr auto kLowerMask = 0xffffffffULL;
  return (((aBoot >> kHalf) + 1) << kHalf) | (aRandom & kLowerMask);
}

/// True when the start aBoot can't have come after the start aKnown of the same
/// disk: they differ, and the counter of aBoot is not higher.
inline auto
IsOlderBoot(std::uint64_t aBoot, std::uint64_t aKnown) -> bool
{
  constexpr auto kHalf = 32U;
  return aBoot != aKnown && (aBoot >> kHalf) <= (aKnown >> kHalf);
}

} // namespace cuminslip
