#include "control/internal/stepcontext.h"

namespace cuminslip {

namespace {

/// Limit of remembered boots, above the largest possible membership.
constexpr auto kMaxRememberedBoots = std::size_t{ 64 };

auto
RejectSender(StepContext& aContext,
             const ControlMessage& aMessage,
             Rejection aRejection) -> void
{
  AddEvent(aContext,
           CoreEventKind::MemberUntrusted,
           aMessage.mFrom,
           aRejection.mReason == RejectionReason::OldDisk
             ? "a boot of this member that is not older was already seen"
             : "entries that it acknowledged are missing");
  auto message = MakeMessage(aContext, aMessage.mFrom, aRejection);
  aContext.mOutput.mMessages.push_back(
    { aMessage.mFromAddress, std::move(message) });
}

/// On the leader, checks that a restarted member still has the entries it
/// acknowledged, and notes whether its disk is full. False when the message
/// must be dropped.
auto
CheckProgress(StepContext& aContext, const ControlMessage& aMessage) -> bool
{
  auto& state = aContext.mState;
  const auto it = state.mProgress.find(aMessage.mFrom);
  if (state.mRole != CoreRole::Leader || it == state.mProgress.end()) {
    return true;
  }
  auto& progress = it->second;
  progress.mIsDiskFull = aMessage.mIsDiskFull;
  if (progress.mBoot == aMessage.mBoot) {
    return !progress.mIsUntrusted;
  }
  progress.mBoot = aMessage.mBoot;
  progress.mIsUntrusted = aMessage.mDurable < progress.mMatch;
  if (!progress.mIsUntrusted) {
    return true;
  }
  RejectSender(
    aContext, aMessage, { RejectionReason::LostEntries, aMessage.mBoot });
  return false;
}

} // namespace

auto
CheckBoot(StepContext& aContext, const ControlMessage& aMessage) -> bool
{
  auto& boots = aContext.mState.mVote.mPeerBoots;
  const auto it = boots.find(aMessage.mFrom);
  const auto known = it == boots.end() ? 0 : it->second;
  if (IsOlderBoot(aMessage.mBoot, known)) {
    RejectSender(aContext, aMessage, { RejectionReason::OldDisk, known });
    return false;
  }
  if (aMessage.mBoot != known) {
    if (boots.size() >= kMaxRememberedBoots) {
      std::erase_if(boots, [&](const auto& aEntry) {
        return !FindMember(CurrentMembership(aContext.mState), aEntry.first);
      });
    }
    boots[aMessage.mFrom] = aMessage.mBoot;
    aContext.mIsVoteDirty = true;
  }
  return CheckProgress(aContext, aMessage);
}

auto
HandleRejection(StepContext& aContext, const Rejection& aRejection) -> void
{
  auto& state = aContext.mState;
  const auto isOld = aRejection.mReason == RejectionReason::OldDisk &&
                     IsOlderBoot(state.mVote.mBoot, aRejection.mBoot);
  const auto isLost = aRejection.mReason == RejectionReason::LostEntries &&
                      aRejection.mBoot == state.mVote.mBoot;
  if (!isOld && !isLost) {
    return;
  }
  state.mRole = CoreRole::Halted;
  state.mLeader = 0;
  state.mProgress.clear();
  AddEvent(aContext,
           CoreEventKind::Halted,
           state.mVote.mMember,
           isOld ? "the disk is older than one that this member already used"
                 : "the disk lost entries that this member had acknowledged");
}

} // namespace cuminslip
