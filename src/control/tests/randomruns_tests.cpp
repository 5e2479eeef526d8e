#include "control/tests/testcluster.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace cuminslip;

namespace {

namespace data = boost::unit_test::data;

/// Seeds of the random runs; CUMINSLIP_SEEDS=FIRST:COUNT overrides them.
auto
Seeds() -> std::vector<std::uint64_t>
{
  auto first = std::uint64_t{ 1 };
  auto count = std::uint64_t{ 40 };
  if (const auto* text = std::getenv("CUMINSLIP_SEEDS")) {
    auto* end = static_cast<char*>(nullptr);
    first = std::strtoull(text, &end, 10);
    count = *end == ':' ? std::strtoull(end + 1, nullptr, 10) : 1;
  }
  auto seeds = std::vector<std::uint64_t>{};
  for (auto n = first; n < first + count; ++n) {
    seeds.push_back(n);
  }
  return seeds;
}

/// A client that publishes, resends and claims, and records the answers.
struct RandomClient
{
  struct Sent
  {
    Command mCommand;
    std::uint64_t mToken = 0;
    std::optional<CommandResult> mAnswer;
  };

  std::vector<Sent> mSent;
  /// Tokens of the claims that were accepted, by key.
  std::map<std::string, std::string> mRuns;
  int mNext = 0;

  auto Act(TestCluster& aCluster) -> void
  {
    const auto target = aCluster.mRandom() % aCluster.mMembers.size();
    if (!aCluster.mMembers[target].mIsUp) {
      return;
    }
    auto command = Command{};
    if (!mSent.empty() && aCluster.Chance(30)) {
      command = mSent[aCluster.mRandom() % mSent.size()].mCommand;
    } else if (aCluster.Chance(50)) {
      command = NewPublish(aCluster, target);
    } else {
      const auto name = std::to_string(mNext++);
      command = ClaimRunCommand{ { "ana" },
                                 { "key" + std::to_string(mNext % 5) },
                                 "body",
                                 "token" + name,
                                 60000 };
    }
    const auto token = aCluster.Propose(target, command);
    mSent.push_back({ command, token, std::nullopt });
  }

  auto NewPublish(TestCluster& aCluster, std::size_t aTarget) -> Command
  {
    const auto account = "a" + std::to_string(aCluster.mRandom() % 3);
    const auto& templates = aCluster.mMembers[aTarget].mState.mTemplates;
    const auto it = templates.find({ account });
    const auto expected = it == templates.end() ? 0 : it->second.mRevision;
    return PublishOf(account, expected, "r" + std::to_string(mNext++));
  }

  auto Check(const TestCluster& aCluster) -> void
  {
    auto winners = std::map<std::pair<std::string, Revision>, std::string>{};
    auto answers = std::map<std::string, CommandResult>{};
    for (auto& it : mSent) {
      const auto answer = aCluster.ResultOf(it.mToken);
      if (!answer) {
        continue;
      }
      if (const auto* publish = std::get_if<PublishCommand>(&it.mCommand)) {
        CheckPublish(*publish, *answer, winners, answers);
      } else if (answer->mStatus == CommandStatus::Accepted) {
        const auto& claim = std::get<ClaimRunCommand>(it.mCommand);
        const auto [run, isNew] =
          mRuns.try_emplace(claim.mKey.mValue, claim.mToken);
        BOOST_REQUIRE_MESSAGE(run->second == claim.mToken, "ran twice");
      }
    }
  }

  static auto CheckPublish(
    const PublishCommand& aPublish,
    const CommandResult& aAnswer,
    std::map<std::pair<std::string, Revision>, std::string>& aWinners,
    std::map<std::string, CommandResult>& aAnswers) -> void
  {
    const auto [first, isFirst] =
      aAnswers.try_emplace(aPublish.mRequest.mValue, aAnswer);
    // NOTE: the document of a conflict may have left the history since.
    BOOST_REQUIRE_MESSAGE(first->second.mStatus == aAnswer.mStatus &&
                            first->second.mRevision == aAnswer.mRevision,
                          "a resend got another answer");
    if (aAnswer.mStatus != CommandStatus::Accepted) {
      return;
    }
    const auto key =
      std::pair(aPublish.mAccount.mValue, aPublish.mExpectedRevision);
    const auto [winner, isNew] =
      aWinners.try_emplace(key, aPublish.mRequest.mValue);
    BOOST_REQUIRE_MESSAGE(winner->second == aPublish.mRequest.mValue,
                          "two winners for one revision");
  }
};

auto
WipedMember(const TestCluster& aCluster) -> std::size_t
{
  for (auto n = std::size_t{ 0 }; n < aCluster.mMembers.size(); ++n) {
    if (aCluster.mMembers[n].mIsWiped) {
      return n;
    }
  }
  return aCluster.mMembers.size();
}

/// Starts or ends a random fault.
auto
InjectFault(TestCluster& aCluster) -> void
{
  const auto number = aCluster.mRandom() % aCluster.mMembers.size();
  const auto other = aCluster.mRandom() % aCluster.mMembers.size();
  auto& member = aCluster.mMembers[number];
  switch (aCluster.mRandom() % 12) {
    case 0:
    case 1:
      if (member.mIsUp) {
        aCluster.Crash(number, aCluster.mRandom() % 3);
      }
      break;
    case 2:
    case 3:
    case 4:
      if (!member.mIsUp) {
        aCluster.Start(number);
      }
      break;
    case 5:
      aCluster.Cut(number, other);
      break;
    case 6:
      aCluster.Isolate(number);
      break;
    case 7:
    case 8:
      aCluster.mBrokenLinks.clear();
      break;
    case 9:
      aCluster.mIsManualSync = aCluster.Chance(50);
      aCluster.mExtraDelay = Millis(aCluster.Chance(50) ? 3000 : 0);
      break;
    case 10:
      if (member.mIsUp) {
        aCluster.TakeSnapshot(number);
      }
      break;
    default:
      // NOTE: at most one disk is empty at a time; two of three would be a
      // majority.
      if (WipedMember(aCluster) == aCluster.mMembers.size() &&
          aCluster.Chance(30)) {
        aCluster.Wipe(number);
      }
  }
}

/// Replaces the wiped member, if there is one, as an operator would.
auto
ReplaceWipedMember(TestCluster& aCluster) -> void
{
  const auto wiped = WipedMember(aCluster);
  const auto leader = aCluster.Leader();
  if (wiped == aCluster.mMembers.size() || leader == aCluster.mMembers.size() ||
      !aCluster.mMembers[wiped].mIsUp) {
    return;
  }
  const auto id = aCluster.mMembers[wiped].mDisk.mVote.mMember;
  const auto& core = aCluster.mMembers[leader].mCore;
  if (IsVoter(CurrentMembership(core), id) &&
      core.mMemberships.back().mIndex <= core.mCommit) {
    aCluster.mMembers[wiped].mIsWiped = false;
    return;
  }
  if (!FindMember(CurrentMembership(core), id)) {
    aCluster.Feed(leader, ReplaceMemberInput{ aCluster.MemberOf(wiped) });
  }
}

auto
HealCluster(TestCluster& aCluster) -> void
{
  aCluster.mBrokenLinks.clear();
  aCluster.mIsManualSync = false;
  aCluster.mExtraDelay = Millis(0);
  aCluster.mDropPercent = 0;
  for (auto n = std::size_t{ 0 }; n < aCluster.mMembers.size(); ++n) {
    if (!aCluster.mMembers[n].mIsUp) {
      aCluster.Start(n);
    }
  }
  for (auto n = 0; n < 20; ++n) {
    aCluster.Run(Seconds(2));
    ReplaceWipedMember(aCluster);
  }
}

auto
RunRandomly(std::size_t aSize, std::uint64_t aSeed) -> void
{
  auto cluster = TestCluster(aSize, aSeed);
  auto client = RandomClient{};
  cluster.mDropPercent = static_cast<int>(cluster.mRandom() % 10);
  cluster.mDuplicatePercent = static_cast<int>(cluster.mRandom() % 10);
  for (auto n = 0; n < 400; ++n) {
    if (cluster.Chance(15)) {
      InjectFault(cluster);
    }
    client.Act(cluster);
    cluster.Run(Millis(10 * (1 + static_cast<long>(cluster.mRandom() % 20))));
    if (cluster.mIsManualSync) {
      const auto number = cluster.mRandom() % aSize;
      if (cluster.mMembers[number].mIsUp) {
        cluster.Sync(number);
      }
    }
    ReplaceWipedMember(cluster);
  }
  HealCluster(cluster);
  client.Check(cluster);
  const auto leader = cluster.Leader();
  BOOST_REQUIRE_MESSAGE(leader < aSize, "no leader after all faults ended");
  const auto token = cluster.Propose(leader, PublishOf("last", 0, "last"));
  cluster.Run(Seconds(3));
  BOOST_REQUIRE(cluster.ResultOf(token).has_value());
  for (const auto& it : cluster.mMembers) {
    BOOST_TEST((it.mState == cluster.mMembers[leader].mState));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RandomRunsTests)

BOOST_DATA_TEST_CASE(ThreeMembersKeepTheInvariants, data::make(Seeds()))
{
  BOOST_TEST_CONTEXT("seed " << sample)
  {
    RunRandomly(3, sample);
  }
}

BOOST_DATA_TEST_CASE(FiveMembersKeepTheInvariants, data::make(Seeds()))
{
  BOOST_TEST_CONTEXT("seed " << sample)
  {
    RunRandomly(5, sample);
  }
}

BOOST_AUTO_TEST_SUITE_END()
