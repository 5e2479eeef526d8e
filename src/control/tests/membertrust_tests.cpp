#include "control/tests/testcluster.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

BOOST_AUTO_TEST_SUITE(MemberTrustTests)

BOOST_AUTO_TEST_CASE(AWipedMemberCountsTowardsNoQuorumUntilReplaced)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto others = Others(cluster, leader);
  cluster.Wipe(others[0]);
  cluster.Start(others[0]);
  cluster.Crash(others[1]);
  cluster.Run(Seconds(10));
  BOOST_TEST(cluster.Leader() == 3U);
  cluster.Start(others[1]);
  cluster.Run(Seconds(10));
  const auto present = cluster.Leader();
  BOOST_REQUIRE(present < 3U);
  BOOST_TEST(cluster.mMembers[others[0]].mCore.mVote.mCluster == 0U);

  const auto replaced =
    cluster.Feed(present, ReplaceMemberInput{ cluster.MemberOf(others[0]) });
  BOOST_TEST(replaced.mMembershipProblem == "");
  cluster.Run(Seconds(10));
  BOOST_TEST(cluster.Voters(present) == 3U);

  // Another member fails right after the replacement.
  cluster.Crash(others[1]);
  cluster.Run(Seconds(10));
  const auto last = cluster.Leader();
  BOOST_REQUIRE(last < 3U);
  const auto token = cluster.Propose(last, PublishOf("ana", 0, "r1"));
  cluster.Run(Seconds(1));
  BOOST_TEST(IsAccepted(cluster, token));
}

BOOST_AUTO_TEST_CASE(AMemberWithAnOldDiskIsHalted)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto other = Others(cluster, leader).front();
  const auto image = cluster.mMembers[other].mDisk;
  cluster.Crash(other);
  cluster.Start(other);
  cluster.Run(Seconds(2));
  cluster.Propose(leader, PublishOf("ana", 0, "r1"));
  cluster.Run(Seconds(2));
  cluster.Crash(other);
  cluster.mMembers[other].mDisk = image;
  cluster.mMembers[other].mHighestRevision = 0;
  cluster.Start(other);
  cluster.Run(Seconds(10));

  BOOST_TEST((cluster.mMembers[other].mCore.mRole == CoreRole::Halted));
  BOOST_TEST(cluster.Leader() == leader);
}

BOOST_AUTO_TEST_CASE(AMemberThatLostAcknowledgedEntriesIsHalted)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto other = Others(cluster, leader).front();
  const auto image = cluster.mMembers[other].mDisk;
  cluster.Propose(leader, PublishOf("ana", 0, "r1"));
  cluster.Run(Seconds(1));
  cluster.Crash(other);
  cluster.mMembers[other].mDisk = image;
  cluster.Start(other);
  cluster.Run(Seconds(5));

  BOOST_TEST((cluster.mMembers[other].mCore.mRole == CoreRole::Halted));
}

BOOST_AUTO_TEST_CASE(AChangeThatWouldLoseTheQuorumIsRefused)
{
  auto cluster = TestCluster(3);
  const auto leader = cluster.Leader();
  const auto others = Others(cluster, leader);
  cluster.Crash(others[0]);
  cluster.Run(Seconds(3));

  const auto removal = cluster.Feed(
    leader, RemoveMemberInput{ TestCluster::InstanceOf(others[1]) });
  BOOST_TEST(!removal.mMembershipProblem.empty());
  const auto unknown = cluster.Feed(leader, RemoveMemberInput{ { "nobody" } });
  BOOST_TEST(!unknown.mMembershipProblem.empty());
  const auto first = cluster.Feed(
    leader, RemoveMemberInput{ TestCluster::InstanceOf(others[0]) });
  BOOST_TEST(first.mMembershipProblem == "");
  const auto second = cluster.Feed(
    leader, RemoveMemberInput{ TestCluster::InstanceOf(others[1]) });
  BOOST_TEST(second.mMembershipProblem ==
             "another membership change is under way");
}

BOOST_AUTO_TEST_CASE(NothingIsAcceptedBeforeAllExpectedMembersVote)
{
  auto founder = TestCluster(1);
  founder.mMembers[0].mDisk = {};
  founder.mMembers[0].mDisk.mVote.mMember = 5;
  founder.Start(0);
  founder.mCommitted.clear();
  founder.mResults.clear();
  founder.mLeaders.clear();
  founder.Feed(0, BootstrapInput{ 78, { "d0" }, { { "i1" }, { "i2" } } });
  founder.Run(Seconds(2));
  BOOST_REQUIRE(founder.Leader() == 0U);
  const auto early = founder.Propose(0, PublishOf("ana", 0, "r1"));
  BOOST_TEST((founder.mProposalPositions.at(early).mProposalStatus ==
              ProposalStatus::NotJoined));

  // An operator may remove an expected instance that never joined.
  for (const auto* name : { "i1", "i2" }) {
    const auto removal = founder.Feed(0, RemoveMemberInput{ { name } });
    BOOST_TEST(removal.mMembershipProblem == "");
    founder.Run(Seconds(1));
  }
  const auto later = founder.Propose(0, PublishOf("ana", 0, "r1"));
  founder.Run(Seconds(1));
  BOOST_TEST(IsAccepted(founder, later));
}

BOOST_AUTO_TEST_SUITE_END()
