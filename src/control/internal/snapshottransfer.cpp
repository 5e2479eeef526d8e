#include "control/internal/stepcontext.h"

#include <algorithm>
#include <utility>

namespace cuminslip {

namespace {

constexpr auto kMaxSnapshotBytes = std::uint64_t{ 512 } * 1024 * 1024;

auto
MembershipUpTo(const CoreState& aState, Revision aIndex) -> const Membership&
{
  auto it =
    std::find_if(aState.mMemberships.rbegin(),
                 aState.mMemberships.rend(),
                 [&](const auto& aMember) { return aMember.mIndex <= aIndex; });
  return it == aState.mMemberships.rend()
           ? aState.mMemberships.front().mMembership
           : it->mMembership;
}

/// Index up to which the log is compacted after a snapshot at aIndex. Keeps
/// recent entries for slow followers.
auto
CompactionIndex(const CoreState& aState, Revision aIndex) -> Revision
{
  const auto& log = aState.mLog;
  auto keep = aIndex;
  auto bytes = std::size_t{ 0 };
  while (keep > log.mBaseIndex &&
         aIndex - keep < aState.mOptions.mTailEntries) {
    bytes += log.mEntries[keep - log.mBaseIndex - 1].mPayload.size();
    if (bytes > aState.mOptions.mTailBytes) {
      break;
    }
    --keep;
  }
  return keep;
}

auto
InstallSnapshot(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  auto piece = std::exchange(state.mIncoming, {});
  state.mSnapshot =
    Snapshot{ piece.mIndex,
              piece.mTerm,
              piece.mClock,
              piece.mMembership,
              std::make_shared<const std::string>(std::move(piece.mBytes)) };
  if (TermAt(state.mLog, piece.mIndex) == piece.mTerm) {
    CompactLog(state, piece.mIndex);
  } else {
    state.mLog = CoreLog{ piece.mIndex, piece.mTerm, {}, 0 };
    state.mDurable = 0;
    for (auto& it : state.mPendingWrites) {
      it.mDurableTo = 0;
    }
    aContext.mWrite.mIsLogReplaced = true;
  }
  const auto after = std::find_if(state.mMemberships.begin(),
                                  state.mMemberships.end(),
                                  [&](const auto& aItem) {
                                    return aItem.mIndex > piece.mIndex &&
                                           !aContext.mWrite.mIsLogReplaced;
                                  });
  state.mMemberships.erase(state.mMemberships.begin(), after);
  state.mMemberships.insert(
    state.mMemberships.begin(),
    IndexedMembership{ piece.mIndex, piece.mMembership });
  state.mCommit = std::max(state.mCommit, piece.mIndex);
  state.mApplied = piece.mIndex;
  aContext.mWrite.mSnapshot = state.mSnapshot;
  aContext.mOutput.mRestore = state.mSnapshot;
  AddEvent(aContext, CoreEventKind::SnapshotInstalled, state.mLeader, "");
}

/// Appends aPiece to the incoming snapshot. False when it is not the next one.
auto
CollectPiece(CoreState& aState, const SnapshotPiece& aPiece) -> bool
{
  auto& incoming = aState.mIncoming;
  const auto isSame = incoming.mIndex == aPiece.mIndex &&
                      incoming.mTerm == aPiece.mTerm &&
                      incoming.mTotalBytes == aPiece.mTotalBytes;
  if (!isSame) {
    incoming = aPiece;
    incoming.mBytes.clear();
  }
  const auto room = incoming.mTotalBytes - incoming.mBytes.size();
  if (aPiece.mOffset != incoming.mBytes.size() || aPiece.mBytes.size() > room) {
    return false;
  }
  incoming.mBytes += aPiece.mBytes;
  return true;
}

} // namespace

auto
SendSnapshotPiece(StepContext& aContext, const Member& aTo, Progress& aProgress)
  -> void
{
  const auto& snapshot = aContext.mState.mSnapshot;
  if (aProgress.mSnapshotIndex != snapshot.mIndex) {
    aProgress.mSnapshotIndex = snapshot.mIndex;
    aProgress.mSnapshotOffset = 0;
  }
  const auto offset =
    std::min<std::uint64_t>(aProgress.mSnapshotOffset, snapshot.mState->size());
  SendNow(
    aContext,
    aTo,
    SnapshotPiece{ snapshot.mIndex,
                   snapshot.mTerm,
                   snapshot.mClock,
                   snapshot.mMembership,
                   snapshot.mState->size(),
                   offset,
                   snapshot.mState->substr(
                     offset, aContext.mState.mOptions.mSnapshotPieceBytes),
                   aContext.mNow });
}

auto
HandleSnapshotPiece(StepContext& aContext,
                    const ControlMessage& aMessage,
                    const SnapshotPiece& aPiece) -> void
{
  auto& state = aContext.mState;
  if (aMessage.mTerm < state.mVote.mTerm) {
    ReplyAfterWrite(
      aContext, aMessage, SnapshotReply{ aPiece.mIndex, 0, aPiece.mSentAt });
    return;
  }
  if (aPiece.mTotalBytes > kMaxSnapshotBytes) {
    return;
  }
  if (state.mLeader != aMessage.mFrom || state.mRole != CoreRole::Follower) {
    BecomeFollower(aContext, aMessage.mTerm, aMessage.mFrom);
  }
  ResetElectionDeadline(aContext);
  state.mLeaderContact = aContext.mNow;
  if (aPiece.mIndex <= state.mCommit) {
    ReplyAfterWrite(
      aContext,
      aMessage,
      AppendReply{ true, state.mCommit, state.mCommit, aPiece.mSentAt });
    return;
  }
  CollectPiece(state, aPiece);
  if (state.mIncoming.mBytes.size() < state.mIncoming.mTotalBytes) {
    ReplyAfterWrite(aContext,
                    aMessage,
                    SnapshotReply{ aPiece.mIndex,
                                   state.mIncoming.mBytes.size(),
                                   aPiece.mSentAt });
    return;
  }
  InstallSnapshot(aContext);
  ReplyAfterWrite(
    aContext,
    aMessage,
    AppendReply{ true, aPiece.mIndex, aPiece.mIndex, aPiece.mSentAt });
}

auto
HandleSnapshotReply(StepContext& aContext,
                    const ControlMessage& aMessage,
                    const SnapshotReply& aReply) -> void
{
  auto& state = aContext.mState;
  const auto* member = FindMember(CurrentMembership(state), aMessage.mFrom);
  const auto it = state.mProgress.find(aMessage.mFrom);
  if (state.mRole != CoreRole::Leader || !member ||
      it == state.mProgress.end() || aMessage.mTerm != state.mVote.mTerm) {
    return;
  }
  auto& progress = it->second;
  progress.mLastAckedSendTime =
    std::max(progress.mLastAckedSendTime, aReply.mSentAt);
  const auto isNext = progress.mSnapshotIndex == aReply.mIndex &&
                      progress.mSnapshotOffset != aReply.mNextOffset;
  if (!isNext) {
    return;
  }
  progress.mSnapshotOffset = aReply.mNextOffset;
  SendSnapshotPiece(aContext, *member, progress);
}

auto
HandleSnapshotInput(StepContext& aContext, const SnapshotInput& aInput) -> void
{
  auto& state = aContext.mState;
  const auto term = TermAt(state.mLog, aInput.mIndex);
  if (!term || aInput.mIndex <= state.mSnapshot.mIndex ||
      aInput.mIndex > state.mApplied ||
      aInput.mIndex <= state.mLog.mBaseIndex) {
    return;
  }
  const auto& entry =
    state.mLog.mEntries[aInput.mIndex - state.mLog.mBaseIndex - 1];
  state.mSnapshot = { aInput.mIndex,
                      *term,
                      entry.mClock,
                      MembershipUpTo(state, aInput.mIndex),
                      aInput.mState };
  aContext.mWrite.mSnapshot = state.mSnapshot;
  CompactLog(state, CompactionIndex(state, aInput.mIndex));
}

} // namespace cuminslip
