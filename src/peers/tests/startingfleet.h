#pragma once

#include "control/tests/testcluster.h"
#include "peers/internal/founding.h"

#include <numeric>

namespace cuminslip {

/// Control instances that start together, by a manual clock: their calls pass
/// over links that are late, reset or one-way for a time. They decide with
/// DecideFounding, and their control logs take part in a TestCluster, which
/// throws when two logs contradict each other.
struct StartingFleet
{
  static constexpr auto kStep = Millis(10);
  /// As in joining.cpp.
  static constexpr auto kJoinPause = Millis(300);
  static constexpr auto kRejoinAfter = Millis(4000);

  struct Node
  {
    bool mIsSeed = false;
    bool mMayFound = false;
    /// Calls of an earlier start are void.
    int mStart = 0;
    TimePoint mNextRound{};
    bool mIsRejoin = false;
    int mLateRounds = 0;
    std::vector<std::size_t> mAsked;
    FoundingSurvey mSurvey;
  };

  /// One call; each leg passes the link once. Even numbers of legs left lead
  /// to the callee, odd ones back.
  struct Call
  {
    std::size_t mFrom = 0;
    std::size_t mTo = 0;
    bool mIsJoin = false;
    int mStart = 0;
    int mLegsLeft = 0;
    TimePoint mNextAt{};
    TimePoint mLimit{};
    SurveyOutcome mOutcome = SurveyOutcome::TimedOut;
    std::string mLeader;
  };

  TestCluster mCluster{ 1 };
  std::vector<Node> mNodes;
  std::vector<Call> mCalls;
  std::set<std::pair<std::size_t, std::size_t>> mSessions;
  std::map<std::pair<std::size_t, std::size_t>, Millis> mDelays;
  std::set<ClusterId> mFounded;

  StartingFleet(std::size_t aSize, std::size_t aSeeds, std::uint64_t aSeed)
    : mNodes(aSize)
  {
    mCluster.mMembers = std::vector<TestMember>(aSize);
    mCluster.mNetwork.clear();
    mCluster.mLeaders.clear();
    mCluster.mCommitted.clear();
    mCluster.mResults.clear();
    mCluster.mRandom.seed(aSeed);
    auto order = std::vector<std::size_t>(aSize);
    std::iota(order.begin(), order.end(), std::size_t{ 0 });
    std::shuffle(order.begin(), order.end(), mCluster.mRandom);
    for (auto n = std::size_t{ 0 }; n < aSize; ++n) {
      mNodes[order[n]].mIsSeed = n < aSeeds;
      mCluster.mMembers[n].mDisk.mVote.mMember = mCluster.mRandom() | 1U;
    }
  }

  auto Random(std::size_t aBelow) -> std::size_t
  {
    return mCluster.mRandom() % aBelow;
  }

  auto Now() const -> TimePoint { return mCluster.mNow; }

  auto IsUp(std::size_t aNumber) const -> bool
  {
    return mCluster.mMembers[aNumber].mIsUp;
  }

  auto Seeds() const -> std::vector<std::size_t>
  {
    auto seeds = std::vector<std::size_t>{};
    for (auto n = std::size_t{ 0 }; n < mNodes.size(); ++n) {
      if (mNodes[n].mIsSeed) {
        seeds.push_back(n);
      }
    }
    return seeds;
  }

  auto ClusterOf(std::size_t aNumber) const -> ClusterId
  {
    const auto& it = mCluster.mMembers[aNumber];
    return it.mIsUp ? it.mCore.mVote.mCluster : it.mDisk.mVote.mCluster;
  }

  auto Start(std::size_t aNumber, bool aMayFound) -> void
  {
    auto& node = mNodes[aNumber];
    mCluster.Start(aNumber);
    // NOTE: kept on the disk, as by KeepFoundingPermit.
    node.mMayFound = node.mMayFound || aMayFound;
    ++node.mStart;
    node.mAsked.clear();
    node.mIsRejoin = false;
    node.mLateRounds = 0;
    node.mNextRound = Now();
  }

  /// Ends the process and its connections.
  auto Stop(std::size_t aNumber, bool aIsEmptied) -> void
  {
    if (aIsEmptied) {
      mNodes[aNumber].mMayFound = false;
      mCluster.Wipe(aNumber);
      mCluster.mMembers[aNumber].mDisk.mVote.mMember = mCluster.mRandom() | 1U;
    } else {
      mCluster.Crash(aNumber);
    }
    ++mNodes[aNumber].mStart;
    std::erase_if(mSessions, [&](const auto& aItem) {
      return aItem.first == aNumber || aItem.second == aNumber;
    });
  }

  auto DelayOf(std::size_t aFrom, std::size_t aTo) const -> Millis
  {
    const auto it = mDelays.find({ aFrom, aTo });
    return it == mDelays.end() ? Millis(1) : it->second;
  }

  auto Send(std::size_t aFrom, std::size_t aTo, bool aIsJoin) -> void
  {
    // NOTE: a new session takes a connection and a call that opens it.
    const auto legs = mSessions.contains({ aFrom, aTo }) ? 2 : 6;
    mCalls.push_back({ aFrom,
                       aTo,
                       aIsJoin,
                       mNodes[aFrom].mStart,
                       legs,
                       Now() + DelayOf(aFrom, aTo),
                       Now() + SurveyLimit(mNodes[aFrom].mLateRounds),
                       SurveyOutcome::TimedOut });
    mNodes[aFrom].mAsked.push_back(aTo);
  }

  auto BeginRound(std::size_t aNumber) -> void
  {
    auto& node = mNodes[aNumber];
    const auto& core = mCluster.mMembers[aNumber].mCore;
    const auto hasLog = core.mVote.mCluster != 0;
    const auto isForgotten =
      core.mRole != CoreRole::Leader && core.mRole != CoreRole::Halted &&
      MillisBetween(core.mLeaderContact, Now()) > kRejoinAfter;
    node.mNextRound = Now() + (hasLog ? kRejoinAfter : kJoinPause);
    node.mIsRejoin = hasLog;
    if (hasLog && !isForgotten) {
      return;
    }
    node.mSurvey = { TestCluster::InstanceOf(aNumber), node.mMayFound, {}, {} };
    for (const auto seed : Seeds()) {
      node.mSurvey.mNamed.push_back(TestCluster::InstanceOf(seed));
      if (seed != aNumber) {
        node.mSurvey.mAnswers.push_back({ std::to_string(seed) });
        Send(aNumber, seed, hasLog);
      }
    }
    EndRoundIfAnswered(aNumber);
  }

  auto EndRoundIfAnswered(std::size_t aNumber) -> void
  {
    auto& node = mNodes[aNumber];
    if (!node.mAsked.empty()) {
      return;
    }
    node.mNextRound = Now() + (node.mIsRejoin ? kRejoinAfter : kJoinPause);
    if (node.mIsRejoin) {
      return;
    }
    const auto decision = DecideFounding(node.mSurvey);
    node.mLateRounds = HasTimedOut(node.mSurvey) ? node.mLateRounds + 1 : 0;
    if (decision.mStep == FoundingStep::Found) {
      Found(aNumber);
    } else if (decision.mStep == FoundingStep::Join) {
      node.mIsRejoin = true;
      for (const auto& address : decision.mWithLog) {
        Send(aNumber, std::stoul(address), true);
      }
    }
  }

  auto Found(std::size_t aNumber) -> void
  {
    auto input = BootstrapInput{ mCluster.mRandom() | 1U, { "d0" }, {} };
    for (const auto seed : Seeds()) {
      if (seed != aNumber) {
        input.mExpected.push_back(TestCluster::InstanceOf(seed));
      }
    }
    if (mCluster.Feed(aNumber, input).mMembershipProblem.empty()) {
      mFounded.insert(input.mCluster);
    }
  }

  /// The callee's answer.
  auto Answer(Call& aCall) -> void
  {
    aCall.mOutcome =
      ClusterOf(aCall.mTo) != 0 ? SurveyOutcome::HasLog : SurveyOutcome::NoLog;
    const auto& core = mCluster.mMembers[aCall.mTo].mCore;
    const auto* leader = FindMember(CurrentMembership(core), core.mLeader);
    aCall.mLeader = aCall.mIsJoin && leader ? leader->mAddress : std::string{};
    if (aCall.mIsJoin && core.mRole == CoreRole::Leader) {
      auto member = mCluster.MemberOf(aCall.mFrom);
      mCluster.Feed(aCall.mTo, AddMemberInput{ member, JoinRule::Automatic });
    }
  }

  auto EndCall(const Call& aCall) -> void
  {
    auto& node = mNodes[aCall.mFrom];
    if (aCall.mOutcome == SurveyOutcome::NoLog ||
        aCall.mOutcome == SurveyOutcome::HasLog) {
      mSessions.insert({ aCall.mFrom, aCall.mTo });
    } else {
      mSessions.erase({ aCall.mFrom, aCall.mTo });
    }
    if (node.mStart != aCall.mStart) {
      return;
    }
    for (auto& it : node.mSurvey.mAnswers) {
      if (it.mAddress == std::to_string(aCall.mTo)) {
        it.mOutcome = aCall.mIsJoin ? it.mOutcome : aCall.mOutcome;
        it.mLeader = aCall.mLeader;
      }
    }
    const auto asked =
      std::find(node.mAsked.begin(), node.mAsked.end(), aCall.mTo);
    if (asked != node.mAsked.end()) {
      node.mAsked.erase(asked);
    }
    if (!IsUp(aCall.mFrom) || !node.mAsked.empty()) {
      return;
    }
    if (!aCall.mIsJoin) {
      EndRoundIfAnswered(aCall.mFrom);
      return;
    }
    for (const auto& leader : LeadersNotAsked(node.mSurvey)) {
      node.mSurvey.mAnswers.push_back({ leader });
      Send(aCall.mFrom, std::stoul(leader), true);
    }
    const auto hasLog = ClusterOf(aCall.mFrom) != 0;
    node.mNextRound = Now() + (hasLog ? kRejoinAfter : kJoinPause);
  }

  /// Moves a call on. True when it has ended.
  auto Advance(Call& aCall) -> bool
  {
    if (Now() >= aCall.mLimit || mNodes[aCall.mFrom].mStart != aCall.mStart) {
      aCall.mOutcome = SurveyOutcome::TimedOut;
      return true;
    }
    while (aCall.mLegsLeft > 0 && Now() >= aCall.mNextAt) {
      const auto isThere = aCall.mLegsLeft % 2 == 0;
      const auto from = isThere ? aCall.mFrom : aCall.mTo;
      const auto to = isThere ? aCall.mTo : aCall.mFrom;
      if (mCluster.mBrokenLinks.contains({ from, to })) {
        return false;
      }
      if (!IsUp(aCall.mTo)) {
        aCall.mOutcome = SurveyOutcome::Disconnected;
        return true;
      }
      if (aCall.mLegsLeft == 2) {
        Answer(aCall);
      }
      --aCall.mLegsLeft;
      aCall.mNextAt += DelayOf(to, from);
    }
    return aCall.mLegsLeft == 0;
  }

  auto Run(Millis aTime) -> void
  {
    const auto end = Now() + aTime;
    while (Now() < end) {
      mCluster.Run(kStep);
      auto calls = std::exchange(mCalls, {});
      auto ended = std::vector<Call>{};
      for (auto& it : calls) {
        (Advance(it) ? ended : mCalls).push_back(it);
      }
      std::for_each(
        ended.begin(), ended.end(), [&](const Call& aItem) { EndCall(aItem); });
      for (auto n = std::size_t{ 0 }; n < mNodes.size(); ++n) {
        if (IsUp(n) && mNodes[n].mAsked.empty() &&
            Now() >= mNodes[n].mNextRound) {
          BeginRound(n);
        }
      }
    }
  }

  /// The state of all instances, for the message of a failed check.
  auto Describe() const -> std::string
  {
    auto text = "logs founded " + std::to_string(mFounded.size());
    for (auto n = std::size_t{ 0 }; n < mNodes.size(); ++n) {
      const auto& core = mCluster.mMembers[n].mCore;
      const auto& membership = CurrentMembership(core);
      text += "; i" + std::to_string(n) + (mNodes[n].mIsSeed ? " seed" : "") +
              (ClusterOf(n) != 0 ? " log" : "") + " role " +
              std::to_string(static_cast<int>(core.mRole)) + " voters " +
              std::to_string(mCluster.Voters(n)) + "/" +
              std::to_string(membership.mMembers.size()) + " expected " +
              std::to_string(membership.mExpected.size());
    }
    return text;
  }

  /// Publishes at the leader until it is accepted. The time that it took, or
  /// aLimit.
  auto Publish(const std::string& aRequest, Millis aLimit) -> Millis
  {
    const auto begin = Now();
    auto tokens = std::vector<std::uint64_t>{};
    while (MillisBetween(begin, Now()) < aLimit) {
      const auto leader = mCluster.Leader();
      if (leader < mNodes.size()) {
        const auto& known = mCluster.mMembers[leader].mState.mTemplates;
        const auto it = known.find({ "ana" });
        const auto revision = it == known.end() ? 0 : it->second.mRevision;
        tokens.push_back(mCluster.Propose(
          leader,
          PublishOf(
            "ana", revision, aRequest + std::to_string(tokens.size()))));
      }
      Run(Millis(100));
      for (const auto token : tokens) {
        if (IsAccepted(mCluster, token)) {
          return MillisBetween(begin, Now());
        }
      }
    }
    return aLimit;
  }
};

} // namespace cuminslip
