#pragma once

#include "control/types/logentry.h"

#include <vector>

/// Members of the control log and their roles.
namespace cuminslip {

enum class MemberRole : std::uint8_t
{
  /// Receives the log but does not count towards a quorum.
  Learner,
  Voter,
  /// Receives the log and stands by to replace a failed voter.
  Spare
};

/// One member of the control log. An instance whose disk was emptied becomes a
/// new member.
struct Member
{
  MemberId mId = 0;
  InstanceId mInstance;
  std::string mAddress;
  FailureDomainId mFailureDomain;
  MemberRole mRole = MemberRole::Learner;
  /// The member that this learner replaces; 0 for none.
  MemberId mReplaces = 0;

  auto operator==(const Member&) const -> bool = default;
};

/// The members as of one log entry.
struct Membership
{
  std::vector<Member> mMembers;
  /// Instances named when the log was created that are not voters yet. No
  /// command is accepted until this list is empty.
  std::vector<InstanceId> mExpected;

  auto operator==(const Membership&) const -> bool = default;
};

/// Number of votes that make a quorum; 0 when there is no voter.
auto
QuorumSize(const Membership& aMembership) -> std::size_t;

/// The member with the given identity, or null. The pointer is valid while
/// aMembership is unchanged.
auto
FindMember(const Membership& aMembership, MemberId aId) -> const Member*;

/// The member of the given instance, or null. While one member of the instance
/// replaces another, this is the replacement. The pointer is valid while
/// aMembership is unchanged.
auto
FindMemberOf(const Membership& aMembership, const InstanceId& aInstance)
  -> const Member*;

auto
IsVoter(const Membership& aMembership, MemberId aId) -> bool;

} // namespace cuminslip
