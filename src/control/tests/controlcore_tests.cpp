#include "control/tests/testcluster.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <bit>

using namespace cuminslip;

namespace {

namespace data = boost::unit_test::data;

} // namespace

BOOST_AUTO_TEST_SUITE(ControlCoreTests)

BOOST_DATA_TEST_CASE(MembersBecomeVotersOneAtATime, data::make({ 1, 3, 5, 7 }))
{
  auto cluster = TestCluster(static_cast<std::size_t>(sample));

  const auto leader = cluster.Leader();
  BOOST_REQUIRE(leader < cluster.mMembers.size());
  const auto token = cluster.Propose(leader, PublishOf("ana", 0, "r1"));
  cluster.Run(Millis(100));

  BOOST_TEST(cluster.Voters(leader) == cluster.mMembers.size());
  BOOST_TEST(IsAccepted(cluster, token));
  for (const auto& it : cluster.mMembers) {
    BOOST_TEST(TemplateRevision(it.mState) > 0U);
  }
}

BOOST_AUTO_TEST_CASE(AnIsolatedLeaderAcceptsNothingAndStepsDown)
{
  auto cluster = TestCluster(3);
  const auto old = cluster.Leader();
  cluster.Isolate(old);
  const auto lost = cluster.Propose(old, PublishOf("ana", 0, "r1", "lost"));
  cluster.Run(Seconds(10));

  BOOST_TEST((cluster.mMembers[old].mCore.mRole != CoreRole::Leader));
  BOOST_TEST(!HasLeaderLease(cluster.mMembers[old].mCore, cluster.mNow));
  const auto leader = cluster.Leader();
  BOOST_REQUIRE(leader != old);
  const auto kept = cluster.Propose(leader, PublishOf("ana", 0, "r2", "kept"));
  cluster.Run(Seconds(60));
  const auto term = cluster.mMembers[leader].mCore.mVote.mTerm;
  cluster.mBrokenLinks.clear();
  cluster.Run(Seconds(10));

  BOOST_TEST(!IsAccepted(cluster, lost));
  BOOST_TEST(IsAccepted(cluster, kept));
  BOOST_TEST(cluster.mMembers[leader].mCore.mVote.mTerm == term);
  BOOST_TEST(cluster.mMembers[old].mState.mTemplates.at({ "ana" }).mDocument ==
             "kept");
}

BOOST_AUTO_TEST_CASE(AReconnectedFollowerDoesNotForceAnElection)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto term = cluster.mMembers[leader].mCore.mVote.mTerm;
  const auto follower = Others(cluster, leader).front();
  cluster.Isolate(follower);
  cluster.Run(Seconds(600));
  cluster.mBrokenLinks.clear();
  cluster.Run(Seconds(10));

  BOOST_TEST(cluster.Leader() == leader);
  for (const auto& it : cluster.mMembers) {
    BOOST_TEST(it.mCore.mVote.mTerm == term);
  }
}

BOOST_AUTO_TEST_CASE(LinksThatFailOneWayOnly)
{
  for (const auto isDeafLeader : { true, false }) {
    auto cluster = TestCluster(3);
    const auto leader = cluster.Leader();
    const auto others = Others(cluster, leader);
    if (isDeafLeader) {
      cluster.Cut(others[0], leader);
      cluster.Cut(others[1], leader);
    } else {
      cluster.Cut(leader, others[0]);
    }
    const auto token =
      cluster.Propose(leader, PublishOf("ana", 0, "r1", "first"));
    cluster.Run(Seconds(30));

    const auto present = cluster.Leader();
    BOOST_REQUIRE(present < 3U);
    BOOST_TEST((present != leader) == isDeafLeader);
    const auto after =
      cluster.Propose(present, PublishOf("bea", 0, "r2", "second"));
    cluster.Run(Seconds(1));
    BOOST_TEST(IsAccepted(cluster, after));
    BOOST_TEST((isDeafLeader || IsAccepted(cluster, token)));
  }
}

BOOST_AUTO_TEST_CASE(MessagesOfAFormerLeaderAreIgnored)
{
  auto cluster = TestCluster(3);
  const auto old = cluster.Leader();
  cluster.Propose(old, PublishOf("ana", 0, "r1", "old"));
  auto late = std::exchange(cluster.mNetwork, {});
  cluster.Isolate(old);
  cluster.Run(Seconds(10));
  const auto leader = cluster.Leader();
  cluster.Propose(leader, PublishOf("ana", 0, "r2", "new"));
  cluster.Run(Seconds(1));
  cluster.mNetwork = std::move(late);
  cluster.Run(Seconds(5));

  for (const auto it : Others(cluster, old)) {
    BOOST_TEST(cluster.mMembers[it].mState.mTemplates.at({ "ana" }).mDocument ==
               "new");
  }
}

BOOST_AUTO_TEST_CASE(NothingIsAcceptedBeforeAQuorumHasSynced)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  cluster.mIsManualSync = true;
  const auto token = cluster.Propose(leader, PublishOf("ana", 0, "r1"));
  cluster.Run(Millis(100));
  BOOST_TEST(!IsAccepted(cluster, token));
  cluster.Sync(leader);
  cluster.Run(Millis(100));
  BOOST_TEST(!IsAccepted(cluster, token));
  cluster.Sync(Others(cluster, leader).front());
  cluster.Run(Millis(100));

  BOOST_TEST(IsAccepted(cluster, token));
}

BOOST_DATA_TEST_CASE(CrashesBeforeAndAfterEachSync,
                     data::make({ 0, 1, 2, 3, 4, 5, 6, 7 }))
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto others = Others(cluster, leader);
  cluster.mIsManualSync = true;
  const auto token = cluster.Propose(leader, PublishOf("ana", 0, "r1"));
  cluster.Run(Millis(20));
  // Each bit selects a member that syncs before all members crash.
  const auto numbers = std::vector{ leader, others[0], others[1] };
  for (auto n = 0U; n < 3; ++n) {
    if ((static_cast<unsigned>(sample) >> n) & 1U) {
      cluster.Sync(numbers[n]);
    }
  }
  cluster.Run(Millis(20));
  const auto wasAccepted = IsAccepted(cluster, token);
  BOOST_TEST(wasAccepted == (std::popcount(static_cast<unsigned>(sample)) > 1));
  for (const auto it : numbers) {
    cluster.Crash(it);
  }
  cluster.mNetwork.clear();
  cluster.mIsManualSync = false;
  for (const auto it : numbers) {
    cluster.Start(it);
  }
  cluster.Run(Seconds(15));

  BOOST_REQUIRE(cluster.Leader() < 3U);
  BOOST_TEST((!wasAccepted || IsAccepted(cluster, token)));
  const auto resent =
    cluster.Propose(cluster.Leader(), PublishOf("ana", 0, "r1"));
  cluster.Run(Seconds(1));
  BOOST_TEST(IsAccepted(cluster, resent));
}

BOOST_AUTO_TEST_CASE(OnlyOneOfTwoPublishesOfTheSameRevisionSucceeds)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto one = cluster.Propose(leader, PublishOf("ana", 0, "r1", "one"));
  const auto two = cluster.Propose(leader, PublishOf("ana", 0, "r2", "two"));
  cluster.Run(Seconds(1));

  BOOST_TEST(IsAccepted(cluster, one));
  const auto told = cluster.ResultOf(two);
  BOOST_REQUIRE(told.has_value());
  BOOST_TEST((told->mStatus == CommandStatus::RevisionConflict));
  BOOST_TEST(told->mBytes == "one");
}

BOOST_AUTO_TEST_CASE(AResendGetsTheFirstAnswerAfterASnapshotAndALeaderChange)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto first = cluster.Propose(leader, PublishOf("ana", 0, "r1"));
  cluster.Run(Seconds(1));
  for (auto n = std::size_t{ 0 }; n < 3; ++n) {
    cluster.TakeSnapshot(n);
  }
  for (auto n = std::size_t{ 0 }; n < 3; ++n) {
    cluster.Crash(n);
    cluster.Start(n);
  }
  cluster.Crash(leader);
  cluster.Run(Seconds(15));
  const auto present = cluster.Leader();
  BOOST_REQUIRE((present < 3U && present != leader));
  const auto again = cluster.Propose(present, PublishOf("ana", 0, "r1"));
  cluster.Run(Seconds(1));

  BOOST_TEST((cluster.ResultOf(again) == cluster.ResultOf(first)));
}

BOOST_AUTO_TEST_CASE(ALaggingFollowerReceivesTheSnapshotInPieces)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto other = Others(cluster, leader).front();
  cluster.Crash(other);
  const auto text = std::string(200000, 'x');
  for (auto n = 0; n < 600; ++n) {
    const auto name = std::to_string(n);
    cluster.Propose(
      leader, PublishOf("a" + std::to_string(n % 4), 0, "r" + name, text));
  }
  cluster.Run(Seconds(3));
  cluster.TakeSnapshot(leader);
  cluster.Start(other);
  cluster.Run(Seconds(5));

  BOOST_TEST(
    (cluster.mMembers[other].mState == cluster.mMembers[leader].mState));
}

BOOST_AUTO_TEST_CASE(AJumpOfTheClockEndsTheLease)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  BOOST_TEST(HasLeaderLease(cluster.mMembers[leader].mCore, cluster.mNow));
  cluster.mNow += Seconds(3600);

  BOOST_TEST(!HasLeaderLease(cluster.mMembers[leader].mCore, cluster.mNow));
}

BOOST_AUTO_TEST_CASE(AcceptsNothingBeforeAllNamedInstancesJoined)
{
  struct Row
  {
    std::size_t mNamed;
    std::size_t mJoined;
    bool mIsAccepted;
  };
  for (const auto& row : { Row{ 3, 1, false },
                           Row{ 3, 2, false },
                           Row{ 5, 1, false },
                           Row{ 5, 2, false },
                           Row{ 5, 3, false },
                           Row{ 5, 4, false },
                           Row{ 3, 3, true },
                           Row{ 5, 5, true },
                           Row{ 1, 1, true } }) {
    auto cluster = TestCluster(row.mNamed, 1, row.mJoined);
    const auto token = cluster.Propose(0, PublishOf("ana", 0, "r1"));
    cluster.Run(Seconds(1));
    BOOST_TEST_CONTEXT(row.mJoined << " of " << row.mNamed)
    {
      const auto fate = cluster.mProposalPositions.at(token).mProposalStatus;
      BOOST_TEST((fate == ProposalStatus::Appended) == row.mIsAccepted);
    }
  }
}

BOOST_AUTO_TEST_CASE(RemovingAnInstanceThatNeverJoinedAllowsCommands)
{
  auto cluster = TestCluster(3, 1, 2);
  cluster.Feed(0, RemoveMemberInput{ TestCluster::InstanceOf(2) });
  cluster.Run(Seconds(1));
  const auto token = cluster.Propose(0, PublishOf("ana", 0, "r1"));
  cluster.Run(Seconds(1));

  BOOST_TEST(IsAccepted(cluster, token));
}

BOOST_AUTO_TEST_CASE(AFullDiskRefusesNewChanges)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  cluster.Feed(leader, DiskSpaceInput{ true });
  const auto refused = cluster.Propose(leader, PublishOf("ana", 0, "r1"));
  BOOST_TEST((cluster.mProposalPositions.at(refused).mProposalStatus ==
              ProposalStatus::DiskFull));
  cluster.Feed(leader, DiskSpaceInput{ false });
  const auto taken = cluster.Propose(leader, PublishOf("ana", 0, "r1"));
  cluster.Run(Seconds(1));

  BOOST_TEST(IsAccepted(cluster, taken));
}

BOOST_AUTO_TEST_SUITE_END()
