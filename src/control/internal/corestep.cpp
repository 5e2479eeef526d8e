#include "control/internal/stepcontext.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// True when the message is for this member and from its control log. A member
/// without a control log joins that of the first leader that contacts it.
auto
IsAddressedToMember(StepContext& aContext, const ControlMessage& aMessage)
  -> bool
{
  auto& vote = aContext.mState.mVote;
  if (aMessage.mTo != vote.mMember || aMessage.mCluster == 0 ||
      aMessage.mFrom == vote.mMember) {
    return false;
  }
  if (vote.mCluster != 0) {
    return aMessage.mCluster == vote.mCluster;
  }
  const auto isFromLeader =
    std::holds_alternative<AppendRequest>(aMessage.mBody) ||
    std::holds_alternative<SnapshotPiece>(aMessage.mBody);
  if (isFromLeader) {
    vote.mCluster = aMessage.mCluster;
    aContext.mIsVoteDirty = true;
  }
  return isFromLeader;
}

auto
HandleMessage(StepContext& aContext, const ControlMessage& aMessage) -> void
{
  if (!IsAddressedToMember(aContext, aMessage)) {
    return;
  }
  if (const auto* body = std::get_if<Rejection>(&aMessage.mBody)) {
    HandleRejection(aContext, *body);
    return;
  }
  if (!CheckBoot(aContext, aMessage) ||
      HandleElectionMessage(aContext, aMessage)) {
    return;
  }
  if (const auto* append = std::get_if<AppendRequest>(&aMessage.mBody)) {
    HandleAppendRequest(aContext, aMessage, *append);
  } else if (const auto* reply = std::get_if<AppendReply>(&aMessage.mBody)) {
    HandleAppendReply(aContext, aMessage, *reply);
  } else if (const auto* piece = std::get_if<SnapshotPiece>(&aMessage.mBody)) {
    HandleSnapshotPiece(aContext, aMessage, *piece);
  } else if (const auto* got = std::get_if<SnapshotReply>(&aMessage.mBody)) {
    HandleSnapshotReply(aContext, aMessage, *got);
  }
}

auto
HandleTick(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  if (state.mRole == CoreRole::Leader) {
    TickLeader(aContext);
  } else if (state.mVote.mCluster != 0 &&
             aContext.mNow >= state.mElectionDeadline) {
    StartPreVote(aContext);
  }
}

auto
HandleDiskDone(StepContext& aContext, const DiskDoneInput& aInput) -> void
{
  auto& state = aContext.mState;
  while (!state.mPendingWrites.empty() &&
         state.mPendingWrites.front().mId <= aInput.mId) {
    auto pending = std::move(state.mPendingWrites.front());
    state.mPendingWrites.pop_front();
    state.mDurable = std::max(state.mDurable, pending.mDurableTo);
    for (auto& it : pending.mMessages) {
      aContext.mOutput.mMessages.push_back(std::move(it));
    }
    if (state.mRole == CoreRole::Candidate && pending.mOwnVoteTerm != 0 &&
        pending.mOwnVoteTerm == state.mVote.mTerm) {
      state.mVotes.insert(state.mVote.mMember);
      CountVotes(aContext);
    }
  }
  AdvanceLeaderCommit(aContext);
}

auto
HandleInput(StepContext& aContext, const CoreInput& aInput) -> void
{
  if (std::holds_alternative<TickInput>(aInput)) {
    HandleTick(aContext);
  } else if (const auto* message = std::get_if<MessageInput>(&aInput)) {
    HandleMessage(aContext, message->mMessage);
  } else if (const auto* done = std::get_if<DiskDoneInput>(&aInput)) {
    HandleDiskDone(aContext, *done);
  } else if (const auto* space = std::get_if<DiskSpaceInput>(&aInput)) {
    aContext.mState.mIsDiskFull = space->mIsFull;
  } else if (const auto* found = std::get_if<BootstrapInput>(&aInput)) {
    HandleBootstrap(aContext, *found);
  } else if (const auto* propose = std::get_if<ProposeInput>(&aInput)) {
    HandleProposals(aContext, *propose);
  } else if (const auto* add = std::get_if<AddMemberInput>(&aInput)) {
    HandleAddMember(aContext, *add);
  } else if (const auto* replace = std::get_if<ReplaceMemberInput>(&aInput)) {
    HandleReplaceMember(aContext, *replace);
  } else if (const auto* remove = std::get_if<RemoveMemberInput>(&aInput)) {
    HandleRemoveMember(aContext, *remove);
  } else if (const auto* snapshot = std::get_if<SnapshotInput>(&aInput)) {
    HandleSnapshotInput(aContext, *snapshot);
  }
}

auto
IsEmptyWrite(const DiskWrite& aWrite) -> bool
{
  return !aWrite.mVote && !aWrite.mSnapshot && aWrite.mTruncateFrom == 0 &&
         aWrite.mEntries.empty();
}

/// Outputs the step's write. Deferred messages wait for it or, if there is
/// nothing to write, for the last pending write.
auto
EmitWrite(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  if (aContext.mIsVoteDirty) {
    aContext.mWrite.mVote = state.mVote;
  }
  if (!IsEmptyWrite(aContext.mWrite)) {
    aContext.mWrite.mId = ++state.mLastWrite;
    const auto isOwnVote = aContext.mWrite.mVote.has_value() &&
                           state.mVote.mVote == state.mVote.mMember;
    state.mPendingWrites.push_back({ state.mLastWrite,
                                     LastIndex(state.mLog),
                                     isOwnVote ? state.mVote.mTerm : 0,
                                     std::move(aContext.mDeferredMessages) });
    aContext.mOutput.mWrites.push_back(std::move(aContext.mWrite));
    return;
  }
  auto& queue = state.mPendingWrites.empty()
                  ? aContext.mOutput.mMessages
                  : state.mPendingWrites.back().mMessages;
  for (auto& it : aContext.mDeferredMessages) {
    queue.push_back(std::move(it));
  }
}

/// True when this member founded a control log whose first entry was not
/// durable yet. Only a founder votes for itself without an entry, and it can't
/// have been elected, so that no other member belongs to that log. A commit
/// floor means that entries were lost.
auto
IsHalfFounded(const CoreState& aState, Revision aCommitFloor) -> bool
{
  return aState.mVote.mVote == aState.mVote.mMember && aCommitFloor == 0 &&
         LastIndex(aState.mLog) == 0 && aState.mSnapshot.mIndex == 0;
}

auto
EmitCommitted(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  while (state.mApplied < state.mCommit) {
    ++state.mApplied;
    aContext.mOutput.mCommitted.push_back(
      state.mLog.mEntries[state.mApplied - state.mLog.mBaseIndex - 1]);
  }
}

} // namespace

auto
MakeMessage(const StepContext& aContext, MemberId aTo, ControlBody aBody)
  -> ControlMessage
{
  const auto& state = aContext.mState;
  return { state.mVote.mCluster, state.mVote.mMember, aTo,
           state.mAddress,       state.mVote.mBoot,   state.mVote.mTerm,
           state.mDurable,       state.mIsDiskFull,   std::move(aBody) };
}

auto
SendNow(StepContext& aContext, const Member& aTo, ControlBody aBody) -> void
{
  auto message = MakeMessage(aContext, aTo.mId, std::move(aBody));
  aContext.mOutput.mMessages.push_back({ aTo.mAddress, std::move(message) });
}

auto
ReplyAfterWrite(StepContext& aContext,
                const ControlMessage& aTo,
                ControlBody aBody) -> void
{
  auto message = MakeMessage(aContext, aTo.mFrom, std::move(aBody));
  aContext.mDeferredMessages.push_back(
    { aTo.mFromAddress, std::move(message) });
}

auto
AddEvent(StepContext& aContext,
         CoreEventKind aKind,
         MemberId aMember,
         std::string aReason) -> void
{
  aContext.mOutput.mEvents.push_back(
    { aKind, aContext.mState.mVote.mTerm, aMember, std::move(aReason) });
}

auto
StartCore(CoreOptions aOptions,
          InstanceId aInstance,
          std::string aAddress,
          RecoveredDisk aDisk,
          std::uint64_t aSeed,
          TimePoint aNow) -> CoreState
{
  auto state = CoreState{};
  state.mOptions = aOptions;
  state.mInstance = std::move(aInstance);
  state.mAddress = std::move(aAddress);
  state.mVote = std::move(aDisk.mVote);
  state.mSnapshot = std::move(aDisk.mSnapshot);
  state.mRandom = aSeed;
  state.mMemberships = { { state.mSnapshot.mIndex,
                           state.mSnapshot.mMembership } };
  state.mLog.mBaseIndex = aDisk.mBaseIndex;
  state.mLog.mBaseTerm = aDisk.mBaseTerm;
  auto output = CoreOutput{};
  auto context = StepContext{ state, output, aNow, {}, {}, false };
  AppendEntries(context, std::move(aDisk.mEntries));
  std::erase_if(state.mMemberships, [&](const auto& aItem) {
    return &aItem != &state.mMemberships.front() &&
           aItem.mIndex <= state.mSnapshot.mIndex;
  });
  state.mDurable = LastIndex(state.mLog);
  if (IsHalfFounded(state, aDisk.mCommitFloor)) {
    state.mVote.mCluster = 0;
  }
  state.mApplied = state.mSnapshot.mIndex;
  state.mCommit = std::max(state.mSnapshot.mIndex,
                           std::min(aDisk.mCommitFloor, state.mDurable));
  // NOTE: a leader may still hold a lease that this member granted before it
  // restarted.
  state.mLeaderContact = aNow;
  ResetElectionDeadline(context);
  const auto& membership = CurrentMembership(state);
  if (QuorumSize(membership) == 1 && IsVoter(membership, state.mVote.mMember)) {
    state.mElectionDeadline = aNow;
  }
  return state;
}

auto
Step(CoreState aState, const CoreInput& aInput, TimePoint aNow) -> StepResult
{
  auto result = StepResult{ std::move(aState), {} };
  if (result.mState.mRole == CoreRole::Halted) {
    return result;
  }
  auto context =
    StepContext{ result.mState, result.mOutput, aNow, {}, {}, false };
  HandleInput(context, aInput);
  EmitWrite(context);
  EmitCommitted(context);
  return result;
}

} // namespace cuminslip
