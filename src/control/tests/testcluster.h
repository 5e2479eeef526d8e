#pragma once

#include "control/controlcodec.h"
#include "control/controlcore.h"
#include "control/statemachine.h"
#include "control/tests/diskimage.h"

#include <random>
#include <stdexcept>

namespace cuminslip {

struct TestMember
{
  bool mIsUp = false;
  bool mIsWiped = false;
  /// Its writes wait for room.
  bool mIsDiskFull = false;
  CoreState mCore;
  ControlState mState;
  DiskImage mDisk;
  std::vector<std::pair<DiskWrite, Revision>> mUnsynced;
  Revision mHighestRevision = 0;
};

struct TestMessage
{
  TimePoint mAt{};
  std::size_t mFrom = 0;
  OutgoingMessage mMessage;
};

/// Simulates control cores with a manual clock and with disks and links that
/// fail on demand. Throws when members contradict each other.
struct TestCluster
{
  std::vector<TestMember> mMembers;
  std::vector<TestMessage> mNetwork;
  std::set<std::pair<std::size_t, std::size_t>> mBrokenLinks;
  TimePoint mNow{ Seconds(1000) };
  std::mt19937_64 mRandom;
  Millis mDelay{ 1 };
  Millis mExtraDelay{ 0 };
  int mDropPercent = 0;
  int mDuplicatePercent = 0;
  /// Writes stay unsynced until Sync is called.
  bool mIsManualSync = false;
  MemberId mNextMember = 100;
  std::uint64_t mNextToken = 1;

  std::map<Term, MemberId> mLeaders;
  std::map<Revision, LogEntry> mCommitted;
  std::map<Revision, CommandResult> mResults;
  /// Log positions of proposals by token.
  std::map<std::uint64_t, ProposalPosition> mProposalPositions;

  explicit TestCluster(std::size_t aSize,
                       std::uint64_t aSeed = 1,
                       std::size_t aJoined = SIZE_MAX,
                       std::size_t aNamed = SIZE_MAX)
    : mMembers(aSize)
    , mRandom(aSeed)
  {
    for (auto n = std::size_t{ 0 }; n < aSize; ++n) {
      mMembers[n].mDisk.mVote.mMember = mNextMember++;
      Start(n);
    }
    auto found = BootstrapInput{ 77, { "d0" }, {} };
    for (auto n = std::size_t{ 1 }; n < std::min(aSize, aNamed); ++n) {
      found.mExpected.push_back(InstanceOf(n));
    }
    Feed(0, found);
    Run(Seconds(2));
    Join(1, aJoined);
  }

  /// Adds the members from aFirst up to but not including aEnd, one by one.
  auto Join(std::size_t aFirst, std::size_t aEnd) -> void
  {
    for (auto n = aFirst; n < std::min(aEnd, mMembers.size()); ++n) {
      Feed(0, AddMemberInput{ MemberOf(n), JoinRule::Expected });
      Run(Seconds(3));
    }
  }

  static auto InstanceOf(std::size_t aNumber) -> InstanceId
  {
    return { "i" + std::to_string(aNumber) };
  }

  auto MemberOf(std::size_t aNumber) const -> Member
  {
    return { mMembers[aNumber].mDisk.mVote.mMember,
             InstanceOf(aNumber),
             std::to_string(aNumber),
             { "d" + std::to_string(aNumber) },
             MemberRole::Learner,
             0 };
  }

  auto Start(std::size_t aNumber) -> void
  {
    auto& it = mMembers[aNumber];
    it.mDisk.mVote.mBoot = NextBoot(it.mDisk.mVote.mBoot, mRandom());
    auto state =
      DecodeOrThrow<ControlState>([&] { return StateOf(it.mDisk.mSnapshot); });
    it.mState = std::move(state);
    it.mCore = StartCore({},
                         InstanceOf(aNumber),
                         std::to_string(aNumber),
                         { it.mDisk.mVote,
                           it.mDisk.mSnapshot,
                           it.mDisk.mEntries,
                           it.mDisk.mSnapshot.mIndex,
                           it.mDisk.mSnapshot.mTerm,
                           it.mDisk.mFloor },
                         mRandom(),
                         mNow);
    it.mUnsynced.clear();
    it.mIsUp = true;
    Feed(aNumber, TickInput{});
  }

  /// Simulates a power loss that keeps the first aKept unsynced writes.
  auto Crash(std::size_t aNumber, std::size_t aKept = 0) -> void
  {
    auto& it = mMembers[aNumber];
    for (auto n = std::size_t{ 0 }; n < aKept && n < it.mUnsynced.size(); ++n) {
      it.mDisk.Apply(it.mUnsynced[n].first, it.mUnsynced[n].second);
    }
    it.mUnsynced.clear();
    it.mIsUp = false;
  }

  auto Wipe(std::size_t aNumber) -> void
  {
    Crash(aNumber);
    mMembers[aNumber].mDisk = {};
    mMembers[aNumber].mDisk.mVote.mMember = mNextMember++;
    mMembers[aNumber].mIsWiped = true;
    mMembers[aNumber].mHighestRevision = 0;
  }

  template<class Value, class Function>
  static auto DecodeOrThrow(Function aDecode) -> Value
  {
    auto outcome = CollectOutcome<Value>(aDecode);
    if (!outcome.mValue) {
      throw std::logic_error(FormatFindings(outcome.mFindings));
    }
    return std::move(*outcome.mValue);
  }

  static auto StateOf(const Snapshot& aSnapshot) -> leaf::result<ControlState>
  {
    return aSnapshot.mIndex == 0 ? leaf::result<ControlState>(ControlState{})
                                 : DecodeControlState(*aSnapshot.mState);
  }

  auto Feed(std::size_t aNumber, const CoreInput& aInput) -> CoreOutput
  {
    auto& it = mMembers[aNumber];
    auto result = Step(std::move(it.mCore), aInput, mNow);
    it.mCore = std::move(result.mState);
    auto& output = result.mOutput;
    for (const auto& message : output.mMessages) {
      Send(aNumber, message);
    }
    if (it.mCore.mRole == CoreRole::Leader) {
      CheckLeader(it.mCore);
    }
    for (const auto& place : output.mProposalPositions) {
      mProposalPositions[place.mToken] = place;
    }
    if (output.mRestore) {
      it.mState =
        DecodeOrThrow<ControlState>([&] { return StateOf(*output.mRestore); });
    }
    for (const auto& entry : output.mCommitted) {
      ApplyChecked(it, entry);
    }
    for (const auto& write : output.mWrites) {
      it.mUnsynced.emplace_back(write, TemplateRevision(it.mState));
    }
    if (!mIsManualSync && !it.mIsDiskFull) {
      Sync(aNumber);
    }
    return std::move(output);
  }

  /// Fills a member's disk, or makes room on it again.
  auto SetDiskFull(std::size_t aNumber, bool aIsFull) -> void
  {
    mMembers[aNumber].mIsDiskFull = aIsFull;
    if (mMembers[aNumber].mIsUp) {
      Feed(aNumber, DiskSpaceInput{ aIsFull });
    }
  }

  auto Sync(std::size_t aNumber) -> void
  {
    auto& it = mMembers[aNumber];
    auto done = std::exchange(it.mUnsynced, {});
    for (const auto& [write, floor] : done) {
      it.mDisk.Apply(write, floor);
    }
    // NOTE: a revision is served only once the floor is durable.
    it.mDisk.mFloor = std::max(it.mDisk.mFloor, TemplateRevision(it.mState));
    CheckRevisionNotReverted(it);
    if (!done.empty()) {
      Feed(aNumber, DiskDoneInput{ done.back().first.mId });
    }
  }

  auto CheckRevisionNotReverted(TestMember& aMember) -> void
  {
    const auto revision = TemplateRevision(aMember.mState);
    if (revision < aMember.mHighestRevision &&
        aMember.mCore.mApplied >= aMember.mHighestRevision) {
      throw std::logic_error("a published revision was reverted");
    }
    aMember.mHighestRevision = std::max(revision, aMember.mHighestRevision);
  }

  auto CheckLeader(const CoreState& aCore) -> void
  {
    const auto [it, isNew] =
      mLeaders.try_emplace(aCore.mVote.mTerm, aCore.mVote.mMember);
    if (it->second != aCore.mVote.mMember) {
      throw std::logic_error("two leaders in one term");
    }
  }

  auto ApplyChecked(TestMember& aMember, const LogEntry& aEntry) -> void
  {
    const auto [known, isNew] = mCommitted.try_emplace(aEntry.mIndex, aEntry);
    if (!(known->second == aEntry)) {
      throw std::logic_error("a committed entry was changed");
    }
    const auto result = ApplyEntry(aMember.mState, {}, aEntry);
    const auto [first, isFirst] = mResults.try_emplace(aEntry.mIndex, result);
    if (!(first->second == result)) {
      throw std::logic_error("two members computed different results");
    }
  }

  auto Chance(int aPercent) -> bool
  {
    return static_cast<int>(mRandom() % 100) < aPercent;
  }

  auto Send(std::size_t aFrom, const OutgoingMessage& aMessage) -> void
  {
    const auto to = std::stoul(aMessage.mAddress);
    if (mBrokenLinks.contains({ aFrom, to }) || Chance(mDropPercent)) {
      return;
    }
    for (auto n = Chance(mDuplicatePercent) ? 2 : 1; n > 0; --n) {
      auto delay = Micros(mDelay);
      if (mExtraDelay.count() > 0) {
        delay += Micros(mRandom() % Micros(mExtraDelay).count());
      }
      mNetwork.push_back({ mNow + delay, aFrom, aMessage });
    }
  }

  auto Cut(std::size_t aFrom, std::size_t aTo) -> void
  {
    mBrokenLinks.insert({ aFrom, aTo });
  }

  auto Isolate(std::size_t aNumber) -> void
  {
    for (auto n = std::size_t{ 0 }; n < mMembers.size(); ++n) {
      Cut(n, aNumber);
      Cut(aNumber, n);
    }
  }

  /// Advances the clock by aTime and delivers messages every 10 ms.
  auto Run(Millis aTime) -> void
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += Millis(10);
      auto due = std::vector<TestMessage>{};
      std::erase_if(mNetwork, [&](auto& aMessage) {
        if (aMessage.mAt <= mNow) {
          due.push_back(std::move(aMessage));
          return true;
        }
        return false;
      });
      for (const auto& it : due) {
        const auto to = std::stoul(it.mMessage.mAddress);
        if (mMembers[to].mIsUp) {
          Feed(to, MessageInput{ it.mMessage.mMessage });
        }
      }
      // NOTE: members tick every 50 ms, as in the peer task.
      if (mNow.time_since_epoch() % Millis(50) != Micros(0)) {
        continue;
      }
      for (auto n = std::size_t{ 0 }; n < mMembers.size(); ++n) {
        if (mMembers[n].mIsUp) {
          Feed(n, TickInput{});
        }
      }
    }
  }

  /// Number of the leader with the highest term; mMembers.size() for none.
  auto Leader() const -> std::size_t
  {
    auto best = mMembers.size();
    for (auto n = std::size_t{ 0 }; n < mMembers.size(); ++n) {
      const auto& core = mMembers[n].mCore;
      const auto isLeader = mMembers[n].mIsUp && core.mRole == CoreRole::Leader;
      if (isLeader && (best == mMembers.size() ||
                       core.mVote.mTerm > mMembers[best].mCore.mVote.mTerm)) {
        best = n;
      }
    }
    return best;
  }

  auto Propose(std::size_t aNumber, const Command& aCommand) -> std::uint64_t
  {
    const auto token = mNextToken++;
    Feed(aNumber, ProposeInput{ { { token, EncodeCommand(aCommand) } } });
    return token;
  }

  /// Result of a proposal, once its entry is committed with the same term.
  auto ResultOf(std::uint64_t aToken) const -> std::optional<CommandResult>
  {
    const auto place = mProposalPositions.find(aToken);
    if (place == mProposalPositions.end() ||
        place->second.mProposalStatus != ProposalStatus::Appended) {
      return std::nullopt;
    }
    const auto entry = mCommitted.find(place->second.mIndex);
    if (entry == mCommitted.end() ||
        entry->second.mTerm != place->second.mTerm) {
      return std::nullopt;
    }
    return mResults.at(place->second.mIndex);
  }

  auto Voters(std::size_t aNumber) const -> std::size_t
  {
    auto count = std::size_t{ 0 };
    for (const auto& it : CurrentMembership(mMembers[aNumber].mCore).mMembers) {
      count += it.mRole == MemberRole::Voter ? 1 : 0;
    }
    return count;
  }

  auto TakeSnapshot(std::size_t aNumber) -> void
  {
    const auto& it = mMembers[aNumber];
    Feed(aNumber,
         SnapshotInput{ it.mCore.mApplied,
                        std::make_shared<const std::string>(
                          EncodeControlState(it.mState)) });
  }
};

/// Numbers of all members but aNumber.
inline auto
Others(const TestCluster& aCluster, std::size_t aNumber)
  -> std::vector<std::size_t>
{
  auto others = std::vector<std::size_t>{};
  for (auto n = std::size_t{ 0 }; n < aCluster.mMembers.size(); ++n) {
    if (n != aNumber) {
      others.push_back(n);
    }
  }
  return others;
}

inline auto
IsAccepted(const TestCluster& aCluster, std::uint64_t aToken) -> bool
{
  const auto result = aCluster.ResultOf(aToken);
  return result && result->mStatus == CommandStatus::Accepted;
}

inline auto
PublishOf(std::string aAccount,
          Revision aExpected,
          std::string aRequest,
          std::string aText = "text") -> Command
{
  return PublishCommand{ { std::move(aAccount) },
                         aExpected,
                         { std::move(aRequest) },
                         std::move(aText) };
}

} // namespace cuminslip
