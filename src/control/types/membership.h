#pragma once

#include "control/types/logentry.h"

#include <vector>

/// Who takes part in the control log.
namespace cuminslip {

enum class MemberRole : std::uint8_t
{
  /// Receives the log and counts towards no quorum.
  Learner,
  Voter,
  /// A learner that waits to take the place of a voter that is lost.
  Spare
};

/// One member of the control log. The same instance with an emptied disk is
/// another member.
struct Member
{
  MemberId mId = 0;
  InstanceId mInstance;
  std::string mAddress;
  FailureDomainId mFailureDomain;
  MemberRole mRole = MemberRole::Learner;
  /// The member that this learner takes the place of; 0 for none.
  MemberId mReplaces = 0;

  auto operator==(const Member&) const -> bool = default;
};

/// The members as of one log entry.
struct Membership
{
  std::vector<Member> mMembers;
  /// Instances named when the log was founded that are not voters yet. While
  /// there are any, no command is accepted.
  std::vector<InstanceId> mExpected;

  auto operator==(const Membership&) const -> bool = default;
};

/// Number of votes that make a quorum; 0 when there is no voter.
auto
QuorumSize(const Membership& aMembership) -> std::size_t;

/// The member with the given identity, or null. The pointer lives as long as
/// aMembership is unchanged.
auto
FindMember(const Membership& aMembership, MemberId aId) -> const Member*;

/// The member of the given instance that is not about to be replaced, or null.
auto
FindMemberOf(const Membership& aMembership, const InstanceId& aInstance)
  -> const Member*;

auto
IsVoter(const Membership& aMembership, MemberId aId) -> bool;

} // namespace cuminslip
