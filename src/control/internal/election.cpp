#include "control/internal/stepcontext.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// Next value of a splitmix64 generator.
auto
NextRandom(std::uint64_t& aState) -> std::uint64_t
{
  aState += 0x9e3779b97f4a7c15ULL;
  auto z = aState;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31U);
}

auto
IsUpToDate(const CoreLog& aLog, Revision aLastIndex, Term aLastTerm) -> bool
{
  const auto ownTerm = LastTerm(aLog);
  return aLastTerm > ownTerm ||
         (aLastTerm == ownTerm && aLastIndex >= LastIndex(aLog));
}

auto
HasQuorumOfVotes(const CoreState& aState) -> bool
{
  const auto& membership = CurrentMembership(aState);
  const auto votes =
    std::count_if(aState.mVotes.begin(), aState.mVotes.end(), [&](auto aId) {
      return IsVoter(membership, aId);
    });
  const auto quorum = QuorumSize(membership);
  return quorum > 0 && static_cast<std::size_t>(votes) >= quorum;
}

auto
OtherVoters(const CoreState& aState) -> std::vector<Member>
{
  auto voters = std::vector<Member>{};
  for (const auto& it : CurrentMembership(aState).mMembers) {
    if (it.mId != aState.mVote.mMember && it.mRole == MemberRole::Voter) {
      voters.push_back(it);
    }
  }
  return voters;
}

auto
SendPreVoteRequests(StepContext& aContext) -> void
{
  const auto& state = aContext.mState;
  for (const auto& it : OtherVoters(state)) {
    SendNow(aContext,
            it,
            PreVoteRequest{ state.mVote.mTerm + 1,
                            LastIndex(state.mLog),
                            LastTerm(state.mLog) });
  }
}

/// Returns true if all voters, this one included, have stated a fresh start,
/// and the membership is known to be committed.
auto
HasOnlyFreshVoters(const CoreState& aState) -> bool
{
  const auto isCommitted = aState.mMemberships.back().mIndex <= aState.mCommit;
  const auto others = OtherVoters(aState);
  return isCommitted && aState.mIsFreshStart &&
         std::all_of(others.begin(), others.end(), [&](const auto& aItem) {
           return aState.mFreshVoters.contains(aItem.mId);
         });
}

/// Returns true if the votes are sufficient. An early election needs all of
/// them and a membership known to be committed: a leader that may hold a lease
/// is then one of the voters, and a leader grants no vote. Ordinary votes are
/// granted only when no lease is left, so that a quorum is sufficient.
auto
HasEnoughVotes(const CoreState& aState) -> bool
{
  const auto isEarly =
    aState.mRole == CoreRole::Candidate && aState.mIsEarlyElection;
  if (!isEarly) {
    return HasQuorumOfVotes(aState);
  }
  const auto others = OtherVoters(aState);
  return aState.mVotes.contains(aState.mVote.mMember) &&
         std::all_of(others.begin(), others.end(), [&](const auto& aItem) {
           return aState.mVotes.contains(aItem.mId);
         });
}

auto
StartElection(StepContext& aContext, bool aIsEarly) -> void
{
  auto& state = aContext.mState;
  state.mIsEarlyElection = aIsEarly;
  state.mRole = CoreRole::Candidate;
  state.mVote.mTerm += 1;
  state.mVote.mVote = state.mVote.mMember;
  state.mLeader = 0;
  state.mVotes.clear();
  aContext.mIsVoteDirty = true;
  AddEvent(
    aContext, CoreEventKind::ElectionStarted, state.mVote.mMember, "vote");
  // NOTE: the vote for itself counts, and the requests are sent, only once it
  // is durable.
  for (const auto& it : OtherVoters(state)) {
    const auto request = VoteRequest{ LastIndex(state.mLog),
                                      LastTerm(state.mLog),
                                      state.mIsEarlyElection };
    aContext.mDeferredMessages.push_back(
      { it.mAddress, MakeMessage(aContext, it.mId, request) });
  }
}

auto
HandlePreVoteRequest(StepContext& aContext,
                     const ControlMessage& aMessage,
                     const PreVoteRequest& aRequest) -> void
{
  const auto& state = aContext.mState;
  const auto isAcceptable =
    aRequest.mTerm > state.mVote.mTerm &&
    IsUpToDate(state.mLog, aRequest.mLastIndex, aRequest.mLastTerm);
  ReplyAfterWrite(aContext,
                  aMessage,
                  PreVoteReply{ aRequest.mTerm,
                                isAcceptable && !IsLeaderProtected(aContext),
                                isAcceptable && state.mIsFreshStart });
}

auto
HandlePreVoteReply(StepContext& aContext,
                   const ControlMessage& aMessage,
                   const PreVoteReply& aReply) -> void
{
  auto& state = aContext.mState;
  if (state.mRole != CoreRole::PreCandidate ||
      aReply.mTerm != state.mVote.mTerm + 1) {
    return;
  }
  if (aReply.mIsGranted) {
    state.mVotes.insert(aMessage.mFrom);
  }
  if (aReply.mIsFreshStart) {
    state.mFreshVoters.insert(aMessage.mFrom);
  }
  if (IsLeaderProtected(aContext) && HasOnlyFreshVoters(state)) {
    StartElection(aContext, true);
    return;
  }
  CountVotes(aContext);
}

auto
HandleVoteRequest(StepContext& aContext,
                  const ControlMessage& aMessage,
                  const VoteRequest& aRequest) -> void
{
  auto& state = aContext.mState;
  const auto isProtected =
    IsLeaderProtected(aContext) && !(aRequest.mIsEarly && state.mIsFreshStart);
  if (aMessage.mTerm < state.mVote.mTerm || isProtected) {
    ReplyAfterWrite(aContext, aMessage, VoteReply{ false });
    return;
  }
  if (aMessage.mTerm > state.mVote.mTerm) {
    BecomeFollower(aContext, aMessage.mTerm, 0);
  }
  const auto isFree =
    state.mVote.mVote == 0 || state.mVote.mVote == aMessage.mFrom;
  const auto isGranted =
    isFree && IsUpToDate(state.mLog, aRequest.mLastIndex, aRequest.mLastTerm);
  if (isGranted && state.mVote.mVote == 0) {
    state.mVote.mVote = aMessage.mFrom;
    aContext.mIsVoteDirty = true;
  }
  if (isGranted) {
    ResetElectionDeadline(aContext);
  }
  ReplyAfterWrite(aContext, aMessage, VoteReply{ isGranted });
}

auto
HandleVoteReply(StepContext& aContext,
                const ControlMessage& aMessage,
                const VoteReply& aReply) -> void
{
  auto& state = aContext.mState;
  if (state.mRole != CoreRole::Candidate ||
      aMessage.mTerm != state.mVote.mTerm || !aReply.mIsGranted) {
    return;
  }
  state.mVotes.insert(aMessage.mFrom);
  CountVotes(aContext);
}

} // namespace

auto
ResetElectionDeadline(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  const auto spread =
    Micros(state.mOptions.mElectionMax) - Micros(state.mOptions.mElectionMin);
  const auto range = static_cast<std::uint64_t>(spread.count()) + 1;
  const auto extra = Micros(NextRandom(state.mRandom) % range);
  state.mElectionDeadline = aContext.mNow + state.mOptions.mElectionMin + extra;
}

auto
IsLeaderProtected(const StepContext& aContext) -> bool
{
  const auto& state = aContext.mState;
  if (state.mRole == CoreRole::Leader) {
    return true;
  }
  return aContext.mNow < state.mLeaderContact + state.mOptions.mElectionMin;
}

auto
BecomeFollower(StepContext& aContext, Term aTerm, MemberId aLeader) -> void
{
  auto& state = aContext.mState;
  if (aTerm > state.mVote.mTerm) {
    state.mVote.mTerm = aTerm;
    state.mVote.mVote = 0;
    aContext.mIsVoteDirty = true;
  }
  if (state.mRole == CoreRole::Leader) {
    AddEvent(aContext,
             CoreEventKind::SteppedDown,
             state.mVote.mMember,
             "a newer term started");
  }
  if (aLeader != 0 && aLeader != state.mLeader) {
    AddEvent(aContext, CoreEventKind::LeaderElected, aLeader, "");
  }
  state.mRole = CoreRole::Follower;
  state.mLeader = aLeader;
  state.mVotes.clear();
  state.mProgress.clear();
  ResetElectionDeadline(aContext);
}

auto
StepDown(StepContext& aContext, const char* aReason) -> void
{
  auto& state = aContext.mState;
  AddEvent(aContext, CoreEventKind::SteppedDown, state.mVote.mMember, aReason);
  state.mRole = CoreRole::Follower;
  state.mLeader = 0;
  state.mProgress.clear();
  ResetElectionDeadline(aContext);
}

auto
StartPreVote(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  ResetElectionDeadline(aContext);
  if (!IsVoter(CurrentMembership(state), state.mVote.mMember)) {
    return;
  }
  state.mRole = CoreRole::PreCandidate;
  state.mLeader = 0;
  state.mVotes = { state.mVote.mMember };
  state.mFreshVoters.clear();
  SendPreVoteRequests(aContext);
  CountVotes(aContext);
}

auto
TryEarlyElection(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  if (!state.mIsFreshStart || !IsLeaderProtected(aContext) ||
      aContext.mNow < state.mNextFreshAttempt ||
      QuorumSize(CurrentMembership(state)) < 2 ||
      !IsVoter(CurrentMembership(state), state.mVote.mMember)) {
    return;
  }
  const auto spread = Micros(state.mOptions.mFreshAttemptMax) -
                      Micros(state.mOptions.mFreshAttemptMin);
  const auto extra = NextRandom(state.mRandom) %
                     (static_cast<std::uint64_t>(spread.count()) + 1);
  const auto isFirst = state.mNextFreshAttempt == TimePoint{};
  state.mNextFreshAttempt =
    aContext.mNow + state.mOptions.mFreshAttemptMin + Micros(extra);
  if (isFirst) {
    return;
  }
  state.mRole = CoreRole::PreCandidate;
  state.mVotes = { state.mVote.mMember };
  state.mFreshVoters.clear();
  SendPreVoteRequests(aContext);
}

auto
CountVotes(StepContext& aContext) -> void
{
  if (!HasEnoughVotes(aContext.mState)) {
    return;
  }
  if (aContext.mState.mRole == CoreRole::PreCandidate) {
    StartElection(aContext, false);
  } else if (aContext.mState.mRole == CoreRole::Candidate) {
    BecomeLeader(aContext);
  }
}

auto
HandleElectionMessage(StepContext& aContext, const ControlMessage& aMessage)
  -> bool
{
  if (const auto* body = std::get_if<PreVoteRequest>(&aMessage.mBody)) {
    HandlePreVoteRequest(aContext, aMessage, *body);
    return true;
  }
  if (const auto* body = std::get_if<VoteRequest>(&aMessage.mBody)) {
    HandleVoteRequest(aContext, aMessage, *body);
    return true;
  }
  // NOTE: messages carry the sender's term; a newer one ends the candidacy.
  if (aMessage.mTerm > aContext.mState.mVote.mTerm) {
    BecomeFollower(aContext, aMessage.mTerm, 0);
  }
  if (const auto* body = std::get_if<PreVoteReply>(&aMessage.mBody)) {
    HandlePreVoteReply(aContext, aMessage, *body);
    return true;
  }
  if (const auto* body = std::get_if<VoteReply>(&aMessage.mBody)) {
    HandleVoteReply(aContext, aMessage, *body);
    return true;
  }
  return false;
}

} // namespace cuminslip
