#include "control/internal/stepcontext.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
CountDiskFull(const CoreState& aState) -> std::size_t
{
  auto full = std::size_t{ 0 };
  for (const auto& it : CurrentMembership(aState).mMembers) {
    if (it.mRole != MemberRole::Voter) {
      continue;
    }
    const auto progress = aState.mProgress.find(it.mId);
    const auto isFull =
      it.mId == aState.mVote.mMember
        ? aState.mIsDiskFull
        : progress != aState.mProgress.end() && progress->second.mIsDiskFull;
    full += isFull ? 1 : 0;
  }
  return full;
}

auto
CurrentProposalStatus(const CoreState& aState) -> ProposalStatus
{
  if (aState.mRole != CoreRole::Leader) {
    return ProposalStatus::NotLeader;
  }
  const auto& membership = CurrentMembership(aState);
  if (!membership.mExpected.empty()) {
    return ProposalStatus::NotJoined;
  }
  const auto voters = std::count_if(
    membership.mMembers.begin(),
    membership.mMembers.end(),
    [](const auto& aItem) { return aItem.mRole == MemberRole::Voter; });
  const auto usable = static_cast<std::size_t>(voters) - CountDiskFull(aState);
  if (aState.mIsDiskFull || usable < QuorumSize(membership)) {
    return ProposalStatus::DiskFull;
  }
  auto pending = std::size_t{ 0 };
  for (auto index = LastIndex(aState.mLog); index > aState.mCommit; --index) {
    pending +=
      aState.mLog.mEntries[index - aState.mLog.mBaseIndex - 1].mPayload.size();
  }
  return pending > aState.mOptions.mMaxPendingBytes ? ProposalStatus::Overloaded
                                                    : ProposalStatus::Appended;
}

} // namespace

auto
HandleProposals(StepContext& aContext, const ProposeInput& aInput) -> void
{
  auto& state = aContext.mState;
  const auto fate = CurrentProposalStatus(state);
  auto entries = std::vector<LogEntry>{};
  for (const auto& it : aInput.mProposals) {
    const auto index = LastIndex(state.mLog) + entries.size() + 1;
    aContext.mOutput.mProposalPositions.push_back(
      { it.mToken, fate, index, state.mVote.mTerm });
    if (fate == ProposalStatus::Appended) {
      entries.push_back({ index,
                          state.mVote.mTerm,
                          EntryKind::Command,
                          LeaderClock(aContext),
                          it.mPayload });
    }
  }
  if (entries.empty()) {
    return;
  }
  AppendEntries(aContext, std::move(entries));
  BroadcastAppend(aContext, false);
}

} // namespace cuminslip
