#pragma once

#include "control/types/logentry.h"

#include <map>

/// What a member must never forget.
namespace cuminslip {

struct VoteRecord
{
  ClusterId mCluster = 0;
  MemberId mMember = 0;
  /// Starts of this disk; grows with each.
  std::uint64_t mBoot = 0;
  Term mTerm = 0;
  /// The member voted for in mTerm; 0 for none.
  MemberId mVote = 0;
  /// Highest boot seen of each other member.
  std::map<MemberId, std::uint64_t> mPeerBoots;

  auto operator==(const VoteRecord&) const -> bool = default;
};

} // namespace cuminslip
