#include "control/controlcodec.h"
#include "control/internal/stepcontext.h"

#include <algorithm>

namespace cuminslip {

namespace {

constexpr auto kMaxVoters = std::size_t{ 7 };
/// Voters, learners and spares.
constexpr auto kMaxMembers = std::size_t{ 12 };
/// Silence after which a spare replaces a voter. Longer than an election, and
/// shorter than the platform's `catch_up` for a lost instance.
constexpr auto kVoterReplacementTimeout = Millis(3500);
/// Silence after which a spare is removed; it asks to join again.
constexpr auto kSpareRemovalTimeout = Millis(30000);
/// Number of entries that a learner may lack and still be promoted.
constexpr auto kCaughtUpEntries = Revision{ 64 };

auto
RejectMembershipChange(StepContext& aContext, const char* aProblem) -> void
{
  aContext.mOutput.mMembershipProblem = aProblem;
}

auto
HasRecentAck(const StepContext& aContext, MemberId aMember) -> bool
{
  const auto& state = aContext.mState;
  if (aMember == state.mVote.mMember) {
    return true;
  }
  const auto it = state.mProgress.find(aMember);
  return it != state.mProgress.end() && !it->second.mIsUntrusted &&
         it->second.mLastAckedSendTime + state.mOptions.mElectionMin >
           aContext.mNow;
}

/// True when a quorum of aMembership's voters has answered recently.
auto
HasLiveQuorum(const StepContext& aContext, const Membership& aMembership)
  -> bool
{
  const auto live = std::count_if(aMembership.mMembers.begin(),
                                  aMembership.mMembers.end(),
                                  [&](const auto& aItem) {
                                    return aItem.mRole == MemberRole::Voter &&
                                           HasRecentAck(aContext, aItem.mId);
                                  });
  const auto quorum = QuorumSize(aMembership);
  return quorum > 0 && static_cast<std::size_t>(live) >= quorum;
}

/// True when this member may change the membership. Otherwise rejects the
/// change with the reason.
auto
CanChangeMembership(StepContext& aContext) -> bool
{
  const auto& state = aContext.mState;
  if (state.mRole != CoreRole::Leader) {
    RejectMembershipChange(aContext, "not the leader");
    return false;
  }
  if (state.mCommit < state.mTermStart) {
    RejectMembershipChange(
      aContext, "the leader has not committed an entry in its term yet");
    return false;
  }
  if (state.mMemberships.back().mIndex > state.mCommit) {
    RejectMembershipChange(aContext, "another membership change is under way");
    return false;
  }
  return true;
}

auto
ProposeMembership(StepContext& aContext,
                  const Membership& aMembership,
                  MemberId aConcerned,
                  const char* aReason) -> void
{
  auto& state = aContext.mState;
  AddEvent(aContext, CoreEventKind::MembershipChanged, aConcerned, aReason);
  AppendEntries(aContext,
                { LogEntry{ LastIndex(state.mLog) + 1,
                            state.mVote.mTerm,
                            EntryKind::Membership,
                            LeaderClock(aContext),
                            EncodeMembership(aMembership) } });
  BroadcastAppend(aContext, false);
}

auto
WithoutMember(Membership aMembership, MemberId aId) -> Membership
{
  std::erase_if(aMembership.mMembers,
                [&](const auto& aItem) { return aItem.mId == aId; });
  return aMembership;
}

auto
WithVoter(Membership aMembership, MemberId aId) -> Membership
{
  for (auto& it : aMembership.mMembers) {
    if (it.mId == aId) {
      it.mRole = MemberRole::Voter;
      it.mReplaces = 0;
      std::erase(aMembership.mExpected, it.mInstance);
    }
  }
  return aMembership;
}

auto
IsCaughtUp(const StepContext& aContext, const Member& aLearner) -> bool
{
  const auto& state = aContext.mState;
  const auto it = state.mProgress.find(aLearner.mId);
  return it != state.mProgress.end() && HasRecentAck(aContext, aLearner.mId) &&
         it->second.mMatch >= state.mCommit &&
         it->second.mMatch + kCaughtUpEntries >= LastIndex(state.mLog);
}

auto
CountVoters(const Membership& aMembership) -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aMembership.mMembers.begin(),
    aMembership.mMembers.end(),
    [](const auto& aItem) { return aItem.mRole == MemberRole::Voter; }));
}

/// True while the founder is the only voter, and more than one instance is
/// expected, but fewer than two learners could follow each other as voters.
/// With two voters the loss of either disk ends the log; the second is
/// therefore added only when the third can be added right after it.
auto
MustAwaitSecondLearner(const StepContext& aContext) -> bool
{
  const auto& membership = CurrentMembership(aContext.mState);
  const auto& members = membership.mMembers;
  const auto caughtUp =
    std::count_if(members.begin(), members.end(), [&](const auto& aItem) {
      return aItem.mRole == MemberRole::Learner && IsCaughtUp(aContext, aItem);
    });
  return CountVoters(membership) == 1 && membership.mExpected.size() > 1 &&
         caughtUp < 2;
}

auto
AdvanceLearner(StepContext& aContext, MemberId aLearner) -> void
{
  const auto& membership = CurrentMembership(aContext.mState);
  const auto replaced = FindMember(membership, aLearner)->mReplaces;
  if (replaced != 0 && FindMember(membership, replaced) != nullptr) {
    const auto next = WithoutMember(membership, replaced);
    if (HasLiveQuorum(aContext, next)) {
      ProposeMembership(aContext, next, replaced, "replaced member removed");
    }
    return;
  }
  if (MustAwaitSecondLearner(aContext)) {
    return;
  }
  const auto next = WithVoter(membership, aLearner);
  if (HasLiveQuorum(aContext, next)) {
    ProposeMembership(aContext, next, aLearner, "learner became voter");
  }
}

/// Time since this leader sent the latest request that aMember acknowledged, at
/// most the time since the leader's election; 0 for the leader itself.
auto
TimeSinceAck(const StepContext& aContext, MemberId aMember) -> Millis
{
  const auto& state = aContext.mState;
  if (aMember == state.mVote.mMember) {
    return Millis(0);
  }
  const auto it = state.mProgress.find(aMember);
  const auto heard =
    it == state.mProgress.end()
      ? state.mLeaderSince
      : std::max(it->second.mLastAckedSendTime, state.mLeaderSince);
  return MillisBetween(heard, aContext.mNow);
}

/// The voter that has been silent for longest, if its silence has reached
/// kVoterReplacementTimeout; else null.
auto
FindLostVoter(const StepContext& aContext) -> const Member*
{
  const Member* lost = nullptr;
  auto longest = kVoterReplacementTimeout;
  for (const auto& it : CurrentMembership(aContext.mState).mMembers) {
    const auto silence = TimeSinceAck(aContext, it.mId);
    if (it.mRole == MemberRole::Voter && silence >= longest) {
      lost = &it;
      longest = silence;
    }
  }
  return lost;
}

/// Desired number of voters: the largest odd number of members that have
/// answered recently, at most kMaxVoters.
auto
WantedVoters(const StepContext& aContext) -> std::size_t
{
  const auto& members = CurrentMembership(aContext.mState).mMembers;
  const auto live = static_cast<std::size_t>(
    std::count_if(members.begin(), members.end(), [&](const auto& aItem) {
      return HasRecentAck(aContext, aItem.mId);
    }));
  const auto odd = live % 2 == 0 ? live - 1 : live;
  return std::min(odd, kMaxVoters);
}

/// Number of expected instances that are no members yet, at most kMaxMembers.
auto
CountAwaited(const Membership& aMembership) -> std::size_t
{
  const auto& expected = aMembership.mExpected;
  const auto awaited =
    std::count_if(expected.begin(), expected.end(), [&](const auto& aItem) {
      return FindMemberOf(aMembership, aItem) == nullptr;
    });
  return std::min(static_cast<std::size_t>(awaited), kMaxMembers);
}

/// Makes a spare a learner that will become a voter, or removes a silent spare.
/// True when a membership change was proposed.
auto
AdvanceSpare(StepContext& aContext, const Member& aSpare) -> bool
{
  const auto& membership = CurrentMembership(aContext.mState);
  if (TimeSinceAck(aContext, aSpare.mId) >= kSpareRemovalTimeout) {
    ProposeMembership(aContext,
                      WithoutMember(membership, aSpare.mId),
                      aSpare.mId,
                      "silent spare removed");
    return true;
  }
  const auto* lost = FindLostVoter(aContext);
  // NOTE: no command is accepted before the expected instances vote; spares
  // must not take their places.
  const auto isWanted = membership.mExpected.empty() &&
                        CountVoters(membership) < WantedVoters(aContext);
  const auto mayReplace =
    lost != nullptr &&
    HasLiveQuorum(aContext, WithoutMember(membership, lost->mId));
  if (!IsCaughtUp(aContext, aSpare) || (!mayReplace && !isWanted)) {
    return false;
  }
  auto next = membership;
  for (auto& it : next.mMembers) {
    if (it.mId == aSpare.mId) {
      it.mRole = MemberRole::Learner;
      it.mReplaces = mayReplace ? lost->mId : 0;
    }
  }
  ProposeMembership(aContext,
                    next,
                    aSpare.mId,
                    mayReplace ? "spare replaces a lost voter"
                               : "spare became learner");
  return true;
}

} // namespace

auto
HandleBootstrap(StepContext& aContext, const BootstrapInput& aInput) -> void
{
  auto& state = aContext.mState;
  if (state.mVote.mCluster != 0 || LastIndex(state.mLog) != 0) {
    RejectMembershipChange(aContext,
                           "this disk already belongs to a control log");
    return;
  }
  state.mVote.mCluster = aInput.mCluster;
  state.mVote.mTerm = 1;
  state.mVote.mVote = state.mVote.mMember;
  aContext.mIsVoteDirty = true;
  auto membership = Membership{ { Member{ state.mVote.mMember,
                                          state.mInstance,
                                          state.mAddress,
                                          aInput.mFailureDomain,
                                          MemberRole::Voter,
                                          0 } },
                                aInput.mExpected };
  AppendEntries(
    aContext,
    { LogEntry{
      1, 1, EntryKind::Membership, 0, EncodeMembership(membership) } });
  // NOTE: the only voter need not wait for another leader.
  state.mElectionDeadline = aContext.mNow;
}

auto
HandleAddMember(StepContext& aContext, const AddMemberInput& aInput) -> void
{
  const auto& membership = CurrentMembership(aContext.mState);
  if (FindMember(membership, aInput.mMember.mId)) {
    return;
  }
  const auto& instance = aInput.mMember.mInstance;
  const auto isAutomatic = aInput.mRule == JoinRule::Automatic;
  if (isAutomatic && FindMemberOf(membership, instance)) {
    HandleReplaceMember(aContext, { aInput.mMember });
    return;
  }
  if (FindMemberOf(membership, instance)) {
    RejectMembershipChange(
      aContext,
      "the instance is already a member with another disk; replace it");
    return;
  }
  const auto isExpected = std::count(membership.mExpected.begin(),
                                     membership.mExpected.end(),
                                     instance) > 0;
  if (aInput.mRule == JoinRule::Expected && !isExpected) {
    RejectMembershipChange(
      aContext, "the instance is not expected; an operator must add it");
    return;
  }
  const auto mayBeSpare = isAutomatic && !isExpected;
  const auto limit = mayBeSpare   ? kMaxMembers - CountAwaited(membership)
                     : isExpected ? kMaxMembers
                                  : kMaxVoters;
  if (membership.mMembers.size() >= limit) {
    RejectMembershipChange(aContext,
                           "the maximum number of members is reached");
    return;
  }
  if (!CanChangeMembership(aContext)) {
    return;
  }
  auto next = membership;
  next.mMembers.push_back(aInput.mMember);
  next.mMembers.back().mRole =
    mayBeSpare ? MemberRole::Spare : MemberRole::Learner;
  next.mMembers.back().mReplaces = 0;
  ProposeMembership(aContext,
                    next,
                    aInput.mMember.mId,
                    mayBeSpare ? "spare added" : "learner added");
}

auto
HandleReplaceMember(StepContext& aContext, const ReplaceMemberInput& aInput)
  -> void
{
  const auto& membership = CurrentMembership(aContext.mState);
  if (FindMember(membership, aInput.mMember.mId)) {
    RejectMembershipChange(aContext, "this disk is already a member");
    return;
  }
  const auto* former = FindMemberOf(membership, aInput.mMember.mInstance);
  if (!former) {
    RejectMembershipChange(aContext, "the instance is not a member; add it");
    return;
  }
  if (!CanChangeMembership(aContext)) {
    return;
  }
  auto next = membership;
  auto replaced = former->mId;
  if (former->mRole != MemberRole::Voter) {
    // NOTE: only voters count towards a quorum, so others can be removed at
    // once.
    const auto before = former->mReplaces;
    next = WithoutMember(std::move(next), former->mId);
    replaced = before;
  } else if (!HasLiveQuorum(aContext, WithoutMember(membership, former->mId))) {
    RejectMembershipChange(aContext,
                           "the other voters that answer do not form a quorum");
    return;
  }
  next.mMembers.push_back(aInput.mMember);
  next.mMembers.back().mRole = MemberRole::Learner;
  next.mMembers.back().mReplaces = replaced;
  if (former->mRole == MemberRole::Spare) {
    next.mMembers.back().mRole = MemberRole::Spare;
  }
  ProposeMembership(aContext, next, aInput.mMember.mId, "replacement started");
}

auto
HandleRemoveMember(StepContext& aContext, const RemoveMemberInput& aInput)
  -> void
{
  const auto& membership = CurrentMembership(aContext.mState);
  const auto* member = FindMemberOf(membership, aInput.mInstance);
  const auto id = member ? member->mId : 0;
  auto next = WithoutMember(membership, id);
  if (std::erase(next.mExpected, aInput.mInstance) == 0 && !member) {
    RejectMembershipChange(aContext, "the instance is not a member");
    return;
  }
  if (!CanChangeMembership(aContext)) {
    return;
  }
  if (!HasLiveQuorum(aContext, next)) {
    RejectMembershipChange(
      aContext, "the remaining voters that answer do not form a quorum");
    return;
  }
  ProposeMembership(aContext, next, id, "member removed");
}

auto
AdvanceMembership(StepContext& aContext) -> void
{
  const auto& state = aContext.mState;
  if (state.mCommit < state.mTermStart ||
      state.mMemberships.back().mIndex > state.mCommit) {
    return;
  }
  for (const auto& it : CurrentMembership(state).mMembers) {
    if (it.mRole == MemberRole::Learner && IsCaughtUp(aContext, it)) {
      AdvanceLearner(aContext, it.mId);
      return;
    }
  }
  for (const auto& it : CurrentMembership(state).mMembers) {
    if (it.mRole == MemberRole::Spare && AdvanceSpare(aContext, it)) {
      return;
    }
  }
}

} // namespace cuminslip
