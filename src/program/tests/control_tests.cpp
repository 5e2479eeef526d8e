#include "program/tests/processes.h"
#include "wire/testing/background.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <random>

using namespace cuminslip;
using namespace cuminslip::program::testing;
using cuminslip::wire::testing::RunInBackground;

namespace {

constexpr auto kControls = std::size_t{ 3 };

/// An operator who publishes one template after another and resends each change
/// with the same request id until it has a definite answer.
struct Operator
{
  const Deployment& mDeployment;
  std::uint64_t mRevision = 0;
  int mNumber = 0;
  std::mt19937_64 mRandom;

  auto PublishNext() -> void
  {
    ++mNumber;
    const auto id = "change-" + std::to_string(mNumber);
    const auto isDone = WaitUntil([&] {
      auto instance = mRandom() % mDeployment.Count();
      while (!mDeployment.IsRunning(instance)) {
        instance = mRandom() % mDeployment.Count();
      }
      const auto answer =
        Publish(mDeployment, instance, mNumber, mRevision, id);
      if (answer.mStatus != 200) {
        BOOST_TEST((answer.mStatus == 503 || answer.mStatus == 0),
                   "status " << answer.mStatus << " " << answer.mBody);
        return false;
      }
      const auto revision =
        static_cast<std::uint64_t>(NumberOf(answer.mBody, "revision"));
      BOOST_TEST(revision > mRevision);
      mRevision = revision;
      return true;
    });
    BOOST_REQUIRE_MESSAGE(isDone, "change " << mNumber << " never accepted");
  }
};

auto
HasRevisionEverywhere(const Deployment& aDeployment, std::uint64_t aRevision)
  -> bool
{
  for (auto i = std::size_t{ 0 }; i < aDeployment.Count(); ++i) {
    if (aDeployment.IsRunning(i) && RevisionAt(aDeployment, i) != aRevision) {
      return false;
    }
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlProcessTests)

BOOST_AUTO_TEST_CASE(KillsAtRandomMomentsLoseNoAcceptedChange)
{
  constexpr auto kSeed = std::uint64_t{ 11 };
  constexpr auto kChanges = 60;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  auto deployment = Deployment(4, kControls);
  deployment.StartAll();
  auto random = std::mt19937_64(kSeed);
  auto person = Operator{ deployment, 0, 0, std::mt19937_64(kSeed + 1) };
  for (auto i = 0; i < kChanges; ++i) {
    person.PublishNext();
    if (random() % 6 == 0) {
      const auto victim = random() % kControls;
      deployment.Kill(victim);
      person.PublishNext();
      deployment.Start(victim);
    }
  }

  BOOST_TEST(WaitUntil(
    [&] { return HasRevisionEverywhere(deployment, person.mRevision); }));
}

BOOST_AUTO_TEST_CASE(ASecondLossRightAfterARepairLosesNothing)
{
  auto deployment = Deployment(kControls, kControls);
  deployment.StartAll();
  auto person = Operator{ deployment, 0, 0, std::mt19937_64(5) };
  for (auto i = 0; i < 5; ++i) {
    person.PublishNext();
  }
  deployment.Kill(0);
  deployment.EraseDisk(0);
  person.PublishNext();
  deployment.Start(0);
  deployment.Kill(1);
  // NOTE: the emptied instance counts towards no quorum, so nothing may be
  // accepted until the second one is back.
  const auto answer = Publish(deployment, 2, 99, person.mRevision, "too-early");
  BOOST_TEST(answer.mStatus != 200);
  deployment.Start(1);
  const auto isBack =
    WaitUntil([&] { return RevisionAt(deployment, 2) >= person.mRevision; });
  BOOST_TEST(isBack);
}

BOOST_AUTO_TEST_CASE(AReplacedInstanceCarriesTheQuorumAfterASecondLoss)
{
  auto deployment = Deployment(kControls, kControls);
  deployment.StartAll();
  auto person = Operator{ deployment, 0, 0, std::mt19937_64(8) };
  for (auto i = 0; i < 5; ++i) {
    person.PublishNext();
  }
  deployment.Kill(0);
  deployment.EraseDisk(0);
  person.PublishNext();
  deployment.Start(0);
  const auto path = "/operator/v1/control/members/" + deployment.Name(0);
  BOOST_TEST(WaitUntil([&] {
    return Call(deployment.Ports(1).mOperator,
                "POST",
                path + "/replace",
                "operator")
             .mStatus == 200;
  }));
  BOOST_TEST(WaitUntil([&] {
    const auto answer = Call(deployment.Ports(2).mOperator,
                             "GET",
                             "/operator/v1/revisions",
                             "operator");
    return answer.mBody.find("learner") == std::string::npos &&
           answer.mBody.find(deployment.Name(0)) != std::string::npos;
  }));
  deployment.Kill(1);
  person.PublishNext();
  BOOST_TEST(WaitUntil(
    [&] { return HasRevisionEverywhere(deployment, person.mRevision); }));
}

BOOST_AUTO_TEST_CASE(OperatorsWithEqualNumbersHaveOneWinner)
{
  auto deployment = Deployment(kControls, kControls);
  deployment.StartAll();
  auto person = Operator{ deployment, 0, 0, std::mt19937_64(6) };
  person.PublishNext();
  for (auto round = 0; round < 5; ++round) {
    const auto expected = person.mRevision;
    auto answers = std::vector<std::future<wire::HttpResponse>>{};
    for (auto i = std::size_t{ 0 }; i < kControls; ++i) {
      answers.push_back(RunInBackground([&, i] {
        return Publish(deployment,
                       i,
                       100 + static_cast<int>(i),
                       expected,
                       "race-" + std::to_string(round) + "-" +
                         std::to_string(i));
      }));
    }
    auto winners = 0;
    for (auto& future : answers) {
      const auto answer = future.get();
      BOOST_TEST((answer.mStatus == 200 || answer.mStatus == 409));
      if (answer.mStatus == 200) {
        ++winners;
        person.mRevision =
          static_cast<std::uint64_t>(NumberOf(answer.mBody, "revision"));
      }
    }
    BOOST_TEST(winners == 1);
  }
}

BOOST_AUTO_TEST_CASE(AFrozenLeaderNeitherAcceptsNorReverts)
{
  auto deployment = Deployment(kControls, kControls);
  deployment.StartAll();
  auto person = Operator{ deployment, 0, 0, std::mt19937_64(7) };
  person.PublishNext();
  const auto leaderOf = [&](std::size_t aInstance) {
    const auto answer = Call(deployment.Ports(aInstance).mOperator,
                             "GET",
                             "/operator/v1/status",
                             "operator");
    for (auto i = std::size_t{ 0 }; i < kControls; ++i) {
      const auto text = "\"leader\":\"" + deployment.Name(i) + "\"";
      if (answer.mBody.find(text) != std::string::npos) {
        return i;
      }
    }
    return kControls;
  };
  const auto leader = leaderOf(0);
  BOOST_REQUIRE(leader < kControls);
  deployment.Signal(leader, SIGSTOP);
  const auto other = (leader + 1) % kControls;
  const auto isAccepted = WaitUntil([&] {
    const auto answer =
      Publish(deployment, other, 50, person.mRevision, "while-frozen");
    if (answer.mStatus == 200) {
      person.mRevision =
        static_cast<std::uint64_t>(NumberOf(answer.mBody, "revision"));
    }
    return answer.mStatus == 200;
  });
  BOOST_TEST(isAccepted);
  deployment.Signal(leader, SIGCONT);
  const auto late = Publish(deployment, leader, 51, 1, "by-the-old-leader");
  BOOST_TEST(late.mStatus != 200);
  BOOST_TEST(WaitUntil(
    [&] { return HasRevisionEverywhere(deployment, person.mRevision); }));
}

BOOST_AUTO_TEST_SUITE_END()
