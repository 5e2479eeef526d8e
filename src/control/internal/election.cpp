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

template<class Body>
auto
SendToVoters(StepContext& aContext, const Body& aBody, bool aIsAfterWrite)
  -> void
{
  for (const auto& it : CurrentMembership(aContext.mState).mMembers) {
    if (it.mId == aContext.mState.mVote.mMember ||
        it.mRole != MemberRole::Voter) {
      continue;
    }
    auto message =
      OutgoingMessage{ it.mAddress, MakeMessage(aContext, it.mId, aBody) };
    auto& queue =
      aIsAfterWrite ? aContext.mDeferredMessages : aContext.mOutput.mMessages;
    queue.push_back(std::move(message));
  }
}

auto
StartElection(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
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
  SendToVoters(
    aContext, VoteRequest{ LastIndex(state.mLog), LastTerm(state.mLog) }, true);
}

auto
HandlePreVoteRequest(StepContext& aContext,
                     const ControlMessage& aMessage,
                     const PreVoteRequest& aRequest) -> void
{
  const auto& state = aContext.mState;
  const auto isGranted =
    !IsLeaderProtected(aContext) && aRequest.mTerm > state.mVote.mTerm &&
    IsUpToDate(state.mLog, aRequest.mLastIndex, aRequest.mLastTerm);
  ReplyAfterWrite(
    aContext, aMessage, PreVoteReply{ aRequest.mTerm, isGranted });
}

auto
HandlePreVoteReply(StepContext& aContext,
                   const ControlMessage& aMessage,
                   const PreVoteReply& aReply) -> void
{
  auto& state = aContext.mState;
  if (state.mRole != CoreRole::PreCandidate ||
      aReply.mTerm != state.mVote.mTerm + 1 || !aReply.mIsGranted) {
    return;
  }
  state.mVotes.insert(aMessage.mFrom);
  CountVotes(aContext);
}

auto
HandleVoteRequest(StepContext& aContext,
                  const ControlMessage& aMessage,
                  const VoteRequest& aRequest) -> void
{
  auto& state = aContext.mState;
  if (aMessage.mTerm < state.mVote.mTerm || IsLeaderProtected(aContext)) {
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
  SendToVoters(aContext,
               PreVoteRequest{ state.mVote.mTerm + 1,
                               LastIndex(state.mLog),
                               LastTerm(state.mLog) },
               false);
  CountVotes(aContext);
}

auto
CountVotes(StepContext& aContext) -> void
{
  if (!HasQuorumOfVotes(aContext.mState)) {
    return;
  }
  if (aContext.mState.mRole == CoreRole::PreCandidate) {
    StartElection(aContext);
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
