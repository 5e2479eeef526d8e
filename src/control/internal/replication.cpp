#include "control/internal/stepcontext.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// Highest value, an acknowledged time or index, that a quorum of voters has
/// reached. aOwn is this member's value.
template<class Value, class Function>
auto
QuorumValue(const CoreState& aState, Value aOwn, Function aOfProgress) -> Value
{
  const auto& membership = CurrentMembership(aState);
  auto values = std::vector<Value>{};
  for (const auto& it : membership.mMembers) {
    if (it.mRole != MemberRole::Voter) {
      continue;
    }
    if (it.mId == aState.mVote.mMember) {
      values.push_back(aOwn);
      continue;
    }
    const auto progress = aState.mProgress.find(it.mId);
    const auto counts =
      progress != aState.mProgress.end() && !progress->second.mIsUntrusted;
    values.push_back(counts ? aOfProgress(progress->second) : Value{});
  }
  if (values.empty()) {
    return Value{};
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[QuorumSize(membership) - 1];
}

auto
EntriesFrom(const CoreState& aState, Revision aFrom) -> std::vector<LogEntry>
{
  auto entries = std::vector<LogEntry>{};
  auto bytes = std::size_t{ 0 };
  for (auto index = aFrom; index <= LastIndex(aState.mLog); ++index) {
    const auto& entry =
      aState.mLog.mEntries[index - aState.mLog.mBaseIndex - 1];
    bytes += entry.mPayload.size();
    if (!entries.empty() && bytes > aState.mOptions.mMaxMessageBytes) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

/// Appends the new entries of aRequest. False when an entry conflicts with a
/// committed one, which only a faulty peer can send.
auto
MergeEntries(StepContext& aContext, const AppendRequest& aRequest) -> bool
{
  auto& state = aContext.mState;
  auto fresh = std::vector<LogEntry>{};
  for (const auto& it : aRequest.mEntries) {
    if (it.mIndex <= state.mLog.mBaseIndex) {
      continue;
    }
    const auto term = TermAt(state.mLog, it.mIndex);
    if (fresh.empty() && term == it.mTerm) {
      continue;
    }
    if (fresh.empty() && term) {
      if (it.mIndex <= state.mCommit) {
        return false;
      }
      TruncateLog(aContext, it.mIndex);
    }
    fresh.push_back(it);
  }
  AppendEntries(aContext, std::move(fresh));
  return true;
}

auto
IsConsecutive(const AppendRequest& aRequest) -> bool
{
  auto expected = aRequest.mPreviousIndex + 1;
  auto term = aRequest.mPreviousTerm;
  for (const auto& it : aRequest.mEntries) {
    if (it.mIndex != expected || it.mTerm < term) {
      return false;
    }
    term = it.mTerm;
    ++expected;
  }
  return true;
}

/// Last index where the log of a leader with another entry at aIndex may match.
auto
ConflictHint(const CoreState& aState, Revision aIndex) -> Revision
{
  const auto last = LastIndex(aState.mLog);
  if (aIndex > last) {
    return last;
  }
  const auto term = TermAt(aState.mLog, aIndex);
  auto hint = aIndex;
  while (hint > aState.mCommit && hint > aState.mLog.mBaseIndex &&
         TermAt(aState.mLog, hint) == term) {
    --hint;
  }
  return hint;
}

} // namespace

auto
LeaderClock(const StepContext& aContext) -> LogMillis
{
  const auto& state = aContext.mState;
  const auto passed = MillisBetween(state.mLeaderSince, aContext.mNow).count();
  return state.mClockBase + static_cast<LogMillis>(std::max<long>(passed, 0));
}

auto
QuorumAckTime(const CoreState& aState, TimePoint aNow) -> TimePoint
{
  return QuorumValue(aState, aNow, [](const Progress& aItem) {
    return aItem.mLastAckedSendTime;
  });
}

auto
HasLeaderLease(const CoreState& aState, TimePoint aNow) -> bool
{
  if (aState.mRole != CoreRole::Leader || aState.mCommit < aState.mTermStart) {
    return false;
  }
  const auto share = 100 - aState.mOptions.mDriftPercent;
  const auto lease = Micros(aState.mOptions.mElectionMin) * share / 100;
  return aNow < QuorumAckTime(aState, aNow) + lease;
}

auto
QuorumAge(const CoreState& aState, TimePoint aNow) -> std::optional<Millis>
{
  if (aState.mRole == CoreRole::Leader && aState.mCommit >= aState.mTermStart) {
    return MillisBetween(QuorumAckTime(aState, aNow), aNow);
  }
  if (!aState.mQuorumContact) {
    return std::nullopt;
  }
  return MillisBetween(*aState.mQuorumContact, aNow);
}

auto
BecomeLeader(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  state.mRole = CoreRole::Leader;
  state.mLeader = state.mVote.mMember;
  state.mLeaderSince = aContext.mNow;
  state.mNextHeartbeat = aContext.mNow + state.mOptions.mHeartbeat;
  state.mClockBase = state.mLog.mEntries.empty()
                       ? state.mSnapshot.mClock
                       : state.mLog.mEntries.back().mClock;
  state.mProgress.clear();
  state.mTermStart = LastIndex(state.mLog) + 1;
  AddEvent(aContext, CoreEventKind::LeaderElected, state.mVote.mMember, "");
  AppendEntries(aContext,
                { LogEntry{ state.mTermStart,
                            state.mVote.mTerm,
                            EntryKind::NoOperation,
                            LeaderClock(aContext),
                            "" } });
  BroadcastAppend(aContext, false);
}

auto
SendAppend(StepContext& aContext,
           const Member& aTo,
           Progress& aProgress,
           bool aIsHeartbeat) -> void
{
  auto& state = aContext.mState;
  const auto previous = aProgress.mNext - 1;
  const auto term = TermAt(state.mLog, previous);
  if (!term) {
    SendSnapshotPiece(aContext, aTo, aProgress);
    return;
  }
  aProgress.mSnapshotIndex = 0;
  auto entries = EntriesFrom(state, aProgress.mNext);
  if (entries.empty() && !aIsHeartbeat) {
    return;
  }
  const auto age =
    MillisBetween(QuorumAckTime(state, aContext.mNow), aContext.mNow);
  const auto count = entries.size();
  SendNow(
    aContext,
    aTo,
    AppendRequest{
      previous, *term, std::move(entries), state.mCommit, aContext.mNow, age });
  if (!aProgress.mIsProbing) {
    aProgress.mNext += count;
  }
}

auto
BroadcastAppend(StepContext& aContext, bool aIsHeartbeat) -> void
{
  auto& state = aContext.mState;
  // NOTE: a copy, as the membership belongs to the state that sending changes.
  const auto members = CurrentMembership(state).mMembers;
  for (const auto& it : members) {
    if (it.mId == state.mVote.mMember) {
      continue;
    }
    auto [progress, isNew] = state.mProgress.try_emplace(it.mId);
    if (isNew) {
      progress->second.mNext = LastIndex(state.mLog) + 1;
    }
    const auto isBusy =
      progress->second.mIsProbing || progress->second.mSnapshotIndex != 0;
    if (isNew || aIsHeartbeat || !isBusy) {
      SendAppend(aContext, it, progress->second, aIsHeartbeat || isNew);
    }
  }
}

auto
TickLeader(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  const auto heard =
    std::max(QuorumAckTime(state, aContext.mNow), state.mLeaderSince);
  if (aContext.mNow - heard > state.mOptions.mElectionMin) {
    StepDown(aContext, "no quorum answered");
    return;
  }
  AdvanceMembership(aContext);
  if (aContext.mNow < state.mNextHeartbeat) {
    return;
  }
  state.mNextHeartbeat = aContext.mNow + state.mOptions.mHeartbeat;
  BroadcastAppend(aContext, true);
}

auto
AdvanceLeaderCommit(StepContext& aContext) -> void
{
  auto& state = aContext.mState;
  if (state.mRole != CoreRole::Leader) {
    return;
  }
  const auto index = QuorumValue(
    state, state.mDurable, [](const Progress& aItem) { return aItem.mMatch; });
  // NOTE: entries of earlier terms must not be committed by counting replicas.
  if (index < state.mTermStart || index <= state.mCommit) {
    return;
  }
  AdvanceCommit(aContext, index);
  const auto isIn =
    FindMember(CurrentMembership(state), state.mVote.mMember) != nullptr;
  if (!isIn && state.mCommit >= state.mMemberships.back().mIndex) {
    BroadcastAppend(aContext, true);
    StepDown(aContext, "removed from the membership");
    return;
  }
  // NOTE: without entries to send, followers would learn the commit index only
  // with the next heartbeat.
  if (state.mCommit == LastIndex(state.mLog)) {
    state.mNextHeartbeat = aContext.mNow + state.mOptions.mHeartbeat;
    BroadcastAppend(aContext, true);
  }
}

auto
HandleAppendRequest(StepContext& aContext,
                    const ControlMessage& aMessage,
                    const AppendRequest& aRequest) -> void
{
  auto& state = aContext.mState;
  const auto reply = [&](bool aIsAccepted, Revision aMatch) {
    ReplyAfterWrite(
      aContext,
      aMessage,
      AppendReply{
        aIsAccepted, aRequest.mPreviousIndex, aMatch, aRequest.mSentAt });
  };
  if (aMessage.mTerm < state.mVote.mTerm) {
    reply(false, 0);
    return;
  }
  if (!IsConsecutive(aRequest)) {
    return;
  }
  if (state.mLeader != aMessage.mFrom || state.mRole != CoreRole::Follower) {
    BecomeFollower(aContext, aMessage.mTerm, aMessage.mFrom);
  }
  ResetElectionDeadline(aContext);
  state.mLeaderContact = aContext.mNow;
  const auto contact = aContext.mNow - aRequest.mQuorumAge;
  state.mQuorumContact =
    std::max(state.mQuorumContact.value_or(contact), contact);
  if (aRequest.mPreviousIndex >= state.mLog.mBaseIndex &&
      TermAt(state.mLog, aRequest.mPreviousIndex) != aRequest.mPreviousTerm) {
    reply(false, ConflictHint(state, aRequest.mPreviousIndex));
    return;
  }
  const auto match = aRequest.mPreviousIndex + aRequest.mEntries.size();
  if (!MergeEntries(aContext, aRequest)) {
    return;
  }
  state.mLeaderCommit = std::max(state.mLeaderCommit, aRequest.mCommit);
  AdvanceCommit(aContext, std::min(aRequest.mCommit, match));
  reply(true, match);
}

auto
HandleAppendReply(StepContext& aContext,
                  const ControlMessage& aMessage,
                  const AppendReply& aReply) -> void
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
  if (!aReply.mIsAccepted) {
    // NOTE: a late refusal of a request from before the match was found.
    if (aReply.mPreviousIndex < progress.mMatch ||
        aReply.mPreviousIndex >= progress.mNext) {
      return;
    }
    progress.mIsProbing = true;
    progress.mNext = std::max(aReply.mMatch, progress.mMatch) + 1;
    SendAppend(aContext, *member, progress, true);
    return;
  }
  progress.mMatch = std::max(progress.mMatch, aReply.mMatch);
  progress.mNext = std::max(progress.mNext, progress.mMatch + 1);
  progress.mIsProbing = false;
  AdvanceLeaderCommit(aContext);
  if (state.mRole == CoreRole::Leader &&
      progress.mNext <= LastIndex(state.mLog)) {
    SendAppend(aContext, *member, progress, false);
  }
}

} // namespace cuminslip
