#include "control/types/membership.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
CountVoters(const Membership& aMembership) -> std::size_t
{
  const auto voters = std::count_if(
    aMembership.mMembers.begin(),
    aMembership.mMembers.end(),
    [](const auto& aItem) { return aItem.mRole == MemberRole::Voter; });
  return static_cast<std::size_t>(voters);
}

} // namespace

auto
QuorumSize(const Membership& aMembership) -> std::size_t
{
  const auto voters = CountVoters(aMembership);
  return voters == 0 ? 0 : voters / 2 + 1;
}

auto
FindMember(const Membership& aMembership, MemberId aId) -> const Member*
{
  const auto it =
    std::find_if(aMembership.mMembers.begin(),
                 aMembership.mMembers.end(),
                 [&](const auto& aMember) { return aMember.mId == aId; });
  return it == aMembership.mMembers.end() ? nullptr : &*it;
}

auto
FindMemberOf(const Membership& aMembership, const InstanceId& aInstance)
  -> const Member*
{
  const Member* found = nullptr;
  for (const auto& it : aMembership.mMembers) {
    if (it.mInstance == aInstance && (!found || it.mReplaces == found->mId)) {
      found = &it;
    }
  }
  return found;
}

auto
IsVoter(const Membership& aMembership, MemberId aId) -> bool
{
  const auto* member = FindMember(aMembership, aId);
  return member && member->mRole == MemberRole::Voter;
}

} // namespace cuminslip
