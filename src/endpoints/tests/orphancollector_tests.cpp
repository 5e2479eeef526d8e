#include "endpoints/orphancollector.h"

#include "domainfake.h"
#include "endpoints/protocol.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

/// Three instances and an engine that holds a stream of the second of them.
struct KeeperBench
{
  FakeDomain mDomain;
  std::map<std::string, OrphanCollector> mKeepers;
  Announcement mState = AnnouncementOf(1, 1);
  std::size_t mReleases = 0;
  unsigned mLostPercent = 0;
};

auto
AnswerOf(KeeperBench& aBench, const EndpointCall& aCall)
  -> std::optional<EndpointAnswer>
{
  if (aBench.mDomain.mRandom() % 100 < aBench.mLostPercent) {
    return std::nullopt;
  }
  if (aCall.mPath == kStatePath) {
    return EndpointAnswer{ 200, EncodeAnnouncement(aBench.mState) };
  }
  BOOST_TEST(aCall.mPath == "/v1/streams/s1/cancel");
  aBench.mState.mHoldings.clear();
  ++aBench.mReleases;
  if (aBench.mDomain.mRandom() % 100 < aBench.mLostPercent) {
    return std::nullopt;
  }
  return EndpointAnswer{ 200, R"({"released": true})" };
}

auto
RunFor(KeeperBench& aBench, Millis aTime) -> void
{
  const auto end = aBench.mDomain.mNow + aTime;
  while (aBench.mDomain.mNow < end) {
    RunFor(aBench.mDomain, Millis(100));
    for (auto& [address, instance] : aBench.mDomain.mInstances) {
      if (!instance.mIsRunning) {
        continue;
      }
      auto& keeper = aBench.mKeepers[address];
      for (const auto& it : instance.mInstanceChanges) {
        NoteInstanceChange(keeper, it, aBench.mDomain.mNow);
      }
      instance.mInstanceChanges.clear();
      TickOrphanCollector(
        keeper,
        { instance.mMembership,
          instance.mRegistry,
          [](const HoldingId&) { return true; },
          [&aBench](const EndpointCall& aCall, const EndpointReply& aReply) {
            aReply(AnswerOf(aBench, aCall));
          } },
        aBench.mDomain.mNow);
    }
    ++aBench.mState.mSequence;
    auto report = aBench.mState;
    report.mHoldings.clear();
    Announce(aBench.mDomain, AddressOf(0), report);
  }
}

auto
StartBench(KeeperBench& aBench) -> void
{
  for (std::size_t i = 0; i < 3; ++i) {
    StartInstance(aBench.mDomain, i);
  }
  aBench.mState.mHoldings = {
    { { "s1" }, HoldingKind::Stream, { "entry-101" }, 1, 500, Millis(15000) }
  };
  RunFor(aBench, Seconds(3));
}

} // namespace

BOOST_AUTO_TEST_SUITE(OrphanCollectorTests)

BOOST_AUTO_TEST_CASE(ALivingOwnersStreamIsLeftAlone)
{
  auto bench = KeeperBench{};
  StartBench(bench);
  RunFor(bench, Seconds(60));
  BOOST_TEST(bench.mReleases == 0U);
}

BOOST_AUTO_TEST_CASE(AStoppedOrRestartedOwnersStreamIsFreedSoon)
{
  for (const auto restarts : { false, true }) {
    auto bench = KeeperBench{};
    StartBench(bench);
    auto& owner = bench.mDomain.mInstances.at(AddressOf(1));
    if (restarts) {
      StartInstance(bench.mDomain, 1, 2);
    } else {
      Emit(bench.mDomain,
           owner,
           StopMembership(owner.mMembership, bench.mDomain.mNow));
      owner.mIsRunning = false;
    }
    RunFor(bench, Seconds(6));
    BOOST_TEST(bench.mReleases >= 1U);
    BOOST_TEST(bench.mState.mHoldings.empty());
  }
}

BOOST_AUTO_TEST_CASE(ASilentOwnersStreamIsFreedOnlyAfterItsLease)
{
  auto bench = KeeperBench{};
  StartBench(bench);
  bench.mDomain.mInstances.at(AddressOf(1)).mIsRunning = false;
  RunFor(bench, Seconds(20));
  BOOST_TEST(bench.mReleases == 0U);
  bench.mState.mHoldings[0].mExpiresIn = Millis(0);
  RunFor(bench, Seconds(8));
  BOOST_TEST(bench.mState.mHoldings.empty());
}

BOOST_AUTO_TEST_CASE(LostCallsAreMadeAgain)
{
  auto bench = KeeperBench{};
  StartBench(bench);
  bench.mLostPercent = 60;
  StartInstance(bench.mDomain, 1, 2);
  RunFor(bench, Seconds(30));
  BOOST_TEST(bench.mState.mHoldings.empty());
}

BOOST_AUTO_TEST_SUITE_END()
