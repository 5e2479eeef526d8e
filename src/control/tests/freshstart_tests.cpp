#include "control/tests/testcluster.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

struct FreshCluster : TestCluster
{
  explicit FreshCluster(std::size_t aSize, std::uint64_t aSeed = 1)
    : TestCluster(aSize, aSeed)
  {
    Run(Seconds(2));
    // NOTE: members know after a restart what was committed up to the latest
    // published template, and only a committed membership counts.
    const auto token = Propose(Leader(), PublishOf("ana", 0, "r1"));
    Run(Millis(500));
    BOOST_REQUIRE(IsAccepted(*this, token));
  }

  auto CrashAll() -> void
  {
    for (auto n = std::size_t{ 0 }; n < mMembers.size(); ++n) {
      Crash(n);
    }
    mNetwork.clear();
  }

  auto LeaseHolders() const -> std::set<std::size_t>
  {
    auto holders = std::set<std::size_t>{};
    for (auto n = std::size_t{ 0 }; n < mMembers.size(); ++n) {
      if (mMembers[n].mIsUp && HasLeaderLease(mMembers[n].mCore, mNow)) {
        holders.insert(n);
      }
    }
    return holders;
  }

  /// Runs until there is a leader with a lease, for aLimit at most.
  auto TimeToLease(Millis aLimit) -> Millis
  {
    auto time = Millis(0);
    while (LeaseHolders().empty() && time < aLimit) {
      Run(Millis(10));
      time += Millis(10);
    }
    return time;
  }
};

const auto kElectionMin = CoreOptions{}.mElectionMin;

} // namespace

BOOST_AUTO_TEST_SUITE(FreshStartTests)

/// After a loss of power, callers leave when they have waited for two seconds.
BOOST_AUTO_TEST_CASE(MembersThatAllStartTogetherElectALeaderEarly)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 40; ++seed) {
    for (const auto size : { 3U, 5U }) {
      auto cluster = FreshCluster(size, seed);
      cluster.CrashAll();
      cluster.Run(Millis(500));
      for (auto n = 0U; n < size; ++n) {
        cluster.Start(n);
        cluster.Run(Millis(20));
      }
      BOOST_TEST((cluster.TimeToLease(kElectionMin) < Millis(1000)),
                 "seed " << seed << ", " << size << " members");
    }
  }
}

BOOST_AUTO_TEST_CASE(WithOneVoterMissingTheLeaseIsAwaited)
{
  auto cluster = FreshCluster(3);
  cluster.CrashAll();
  cluster.Start(0);
  cluster.Start(1);
  BOOST_TEST((cluster.TimeToLease(Seconds(10)) >= kElectionMin));
}

/// The others restart while the leader only can't reach them: it may still
/// serve reads by its lease.
BOOST_AUTO_TEST_CASE(ALeaderThatIsCutOffKeepsItsLeaseFromOthersThatRestart)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 20; ++seed) {
    auto cluster = FreshCluster(5, seed);
    const auto leader = cluster.Leader();
    cluster.Isolate(leader);
    for (const auto n : Others(cluster, leader)) {
      cluster.Crash(n);
      cluster.Start(n);
    }
    for (auto time = Millis(0); time < Seconds(6); time += Millis(10)) {
      cluster.Run(Millis(10));
      BOOST_REQUIRE_LE(cluster.LeaseHolders().size(), 1U);
    }
    BOOST_TEST((cluster.Leader() != leader));
  }
}

/// A member grants an early vote only while it had no contact with a leader.
BOOST_AUTO_TEST_CASE(AVoteAfterAContactWithALeaderIsRefused)
{
  auto cluster = FreshCluster(3);
  const auto leader = cluster.Leader();
  const auto voter = Others(cluster, leader).front();
  const auto ask = [&](bool aIsEarly) {
    const auto& core = cluster.mMembers[voter].mCore;
    const auto& other = cluster.mMembers[Others(cluster, leader).back()];
    auto message = ControlMessage{};
    message.mCluster = core.mVote.mCluster;
    message.mFrom = other.mDisk.mVote.mMember;
    message.mTo = core.mVote.mMember;
    message.mFromAddress = "0";
    message.mBoot = other.mDisk.mVote.mBoot;
    message.mTerm = core.mVote.mTerm + 1;
    message.mBody = VoteRequest{ 1000, 1000, aIsEarly };
    cluster.mNetwork.clear();
    cluster.Feed(voter, MessageInput{ message });
    BOOST_REQUIRE(!cluster.mNetwork.empty());
    const auto& body = cluster.mNetwork.back().mMessage.mMessage.mBody;
    return std::get<VoteReply>(body).mIsGranted;
  };
  BOOST_TEST(!ask(true));
  cluster.Crash(voter);
  cluster.Start(voter);
  BOOST_TEST(!ask(false));
  BOOST_TEST(ask(true));
}

/// The leader has restarted and stated that, then leads again; a voter that
/// acknowledged it restarts. A candidate that still counts the statement must
/// not lead with the vote of that voter alone.
BOOST_AUTO_TEST_CASE(AnEarlyElectionNeedsEveryVote)
{
  auto cluster = FreshCluster(3);
  cluster.CrashAll();
  for (auto n = 0U; n < 3; ++n) {
    cluster.Start(n);
  }
  BOOST_REQUIRE((cluster.TimeToLease(Seconds(10)) < Seconds(10)));
  const auto leader = cluster.Leader();
  const auto voter = Others(cluster, leader).front();
  const auto candidate = Others(cluster, leader).back();
  cluster.Isolate(leader);
  cluster.Crash(voter);
  cluster.Crash(candidate);
  cluster.Start(voter);
  cluster.Start(candidate);
  const auto& core = cluster.mMembers[candidate].mCore;
  while (core.mRole != CoreRole::PreCandidate) {
    cluster.Run(Millis(10));
  }
  auto statement = ControlMessage{};
  statement.mCluster = core.mVote.mCluster;
  statement.mFrom = cluster.mMembers[leader].mDisk.mVote.mMember;
  statement.mTo = core.mVote.mMember;
  statement.mFromAddress = std::to_string(leader);
  statement.mBoot = cluster.mMembers[leader].mDisk.mVote.mBoot;
  statement.mTerm = core.mVote.mTerm;
  statement.mBody = PreVoteReply{ core.mVote.mTerm + 1, false, true };
  cluster.Feed(candidate, MessageInput{ statement });
  BOOST_REQUIRE(cluster.LeaseHolders().contains(leader));
  while (cluster.LeaseHolders().contains(leader)) {
    BOOST_REQUIRE_EQUAL(cluster.LeaseHolders().size(), 1U);
    cluster.Run(Millis(10));
  }
}

/// Members crash, restart and lose messages at random; never do two hold a
/// lease.
BOOST_AUTO_TEST_CASE(LeasesExcludeEachOtherWhateverRestarts)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 60; ++seed) {
    auto cluster = FreshCluster(seed % 2 == 0 ? 3 : 5, seed);
    cluster.mDropPercent = static_cast<int>(seed % 4) * 10;
    cluster.mDuplicatePercent = 10;
    cluster.mExtraDelay = Millis(seed % 3 == 0 ? 1500 : 30);
    for (auto step = 0; step < 120; ++step) {
      const auto n = cluster.mRandom() % cluster.mMembers.size();
      if (cluster.Chance(8)) {
        cluster.CrashAll();
      } else if (cluster.Chance(30)) {
        cluster.Crash(n);
      }
      for (auto k = std::size_t{ 0 }; k < cluster.mMembers.size(); ++k) {
        if (!cluster.mMembers[k].mIsUp && cluster.Chance(60)) {
          cluster.Start(k);
        }
      }
      for (auto i = 0; i < 15; ++i) {
        cluster.Run(Millis(10));
        BOOST_REQUIRE_LE(cluster.LeaseHolders().size(), 1U);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
