#include "endpoints/holdings.h"

#include "domainfake.h"
#include "endpoints/orphansweep.h"
#include "endpoints/protocol.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

const auto kStart = TimePoint(Seconds(1000));
const auto kEngine = EndpointId{ "engine-1" };

auto
MakeLedger() -> Ledger
{
  auto ledger = Ledger{};
  ledger.mSettings.mOwner = { { "entry-100" }, 1 };
  return ledger;
}

auto
Stream(const std::string& aId) -> Holding
{
  return { { aId }, HoldingKind::Stream, kEngine, 1, "10.0.1.1:9000",
           100,     kStart + Seconds(60) };
}

/// Engine memory that behaves as the protocol specifies.
struct FakeMemory
{
  std::map<HoldingId, TimePoint> mLeases;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HoldingsTests)

BOOST_AUTO_TEST_CASE(ReleasesAreResentWithBackoffUntilConfirmed)
{
  auto ledger = MakeLedger();
  AddHolding(ledger, Stream("a"), kStart);
  ReleaseHolding(ledger, { "a" }, ReleaseReason::CallerGone, kStart);
  ReleaseHolding(ledger, { "a" }, ReleaseReason::Failed, kStart);

  auto sent = std::vector<std::int64_t>{};
  for (auto at = kStart; at < kStart + Seconds(20); at += Millis(100)) {
    for (const auto& it : TickLedger(ledger, at).mReleases) {
      BOOST_TEST((it.mReason == ReleaseReason::CallerGone));
      BOOST_TEST(PathOf(it) == "/v1/streams/a/cancel");
      sent.push_back(MillisBetween(kStart, at).count());
    }
    NoteReleaseAnswer(ledger, { "a" }, false);
  }
  const auto expected =
    std::vector<std::int64_t>{ 0, 200, 600, 1400, 3000, 6200, 11200, 16200 };
  BOOST_TEST(sent == expected, boost::test_tools::per_element());
  NoteReleaseAnswer(ledger, { "a" }, true);
  BOOST_TEST(ledger.mEntries.empty());
}

BOOST_AUTO_TEST_CASE(HoldingsEndAsTheTableStates)
{
  struct Row
  {
    std::string mName;
    std::function<void(Ledger&)> mEnd;
    std::size_t mReleases;
  };
  const auto rows = std::vector<Row>{
    { "end mark came",
      [](auto& aLedger) { DropHolding(aLedger, { "a" }); },
      0 },
    { "still running", [](auto&) {}, 0 },
    { "failed",
      [](auto& aLedger) {
        ReleaseHolding(aLedger, { "a" }, ReleaseReason::Failed, kStart);
      },
      1 },
    { "answer lost",
      [](auto& aLedger) {
        ReleaseHolding(aLedger, { "a" }, ReleaseReason::AnswerLost, kStart);
      },
      1 },
    { "deadline",
      [](auto& aLedger) {
        aLedger.mEntries.begin()->second.mHolding.mDeadline = kStart;
      },
      1 },
    { "engine restarted",
      [](auto& aLedger) {
        ReleaseHolding(aLedger, { "a" }, ReleaseReason::Failed, kStart);
        NoteEndpointIncarnation(aLedger, kEngine, 2);
      },
      0 },
    { "engine of the same incarnation",
      [](auto& aLedger) {
        ReleaseHolding(aLedger, { "a" }, ReleaseReason::Failed, kStart);
        NoteEndpointIncarnation(aLedger, kEngine, 1);
      },
      1 },
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      auto ledger = MakeLedger();
      AddHolding(ledger, Stream("a"), kStart);
      row.mEnd(ledger);
      BOOST_TEST(TickLedger(ledger, kStart).mReleases.size() == row.mReleases);
    }
  }
}

BOOST_AUTO_TEST_CASE(LeasesAreRenewedInBatchesAndRetried)
{
  auto ledger = MakeLedger();
  for (auto i = 0; i < 300; ++i) {
    AddHolding(ledger, Stream(std::to_string(i)), kStart);
  }
  BOOST_TEST(TickLedger(ledger, kStart + Millis(4900)).mRenewals.empty());
  const auto due = kStart + Millis(5000);
  const auto first = TickLedger(ledger, due).mRenewals;
  BOOST_TEST(first.size() == 2U);
  BOOST_TEST(first[0].mRequest.mIds.size() == 256U);
  NoteRenewed(ledger, first[0].mRequest.mIds, due);
  const auto second = TickLedger(ledger, due + Millis(5000)).mRenewals;
  BOOST_TEST_REQUIRE(second.size() == 2U);
  BOOST_TEST(second[0].mRequest.mIds.size() + second[1].mRequest.mIds.size() ==
             300U);
}

BOOST_AUTO_TEST_CASE(NoHoldingsRemainAfterAThousandLossyStreams)
{
  for (const auto seed : { 1U, 2U, 3U, 5U, 8U }) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937(seed);
      auto ledger = MakeLedger();
      auto memory = FakeMemory{};
      auto now = kStart;
      for (auto i = 0; i < 1000 || !ledger.mEntries.empty(); ++i) {
        now += Millis(50);
        if (i < 1000) {
          auto holding = Stream(std::to_string(i));
          holding.mDeadline = now + Seconds(random() % 30);
          AddHolding(ledger, holding, now);
          if (random() % 10 != 0) {
            memory.mLeases[holding.mId] = now + Seconds(15);
          }
          if (random() % 3 == 0) {
            ReleaseHolding(ledger, holding.mId, ReleaseReason::CallerGone, now);
          }
        }
        const auto actions = TickLedger(ledger, now);
        for (const auto& it : actions.mReleases) {
          const auto isLost = random() % 3 == 0;
          const auto isAnswerLost = random() % 3 == 0;
          if (!isLost) {
            memory.mLeases.erase(it.mId);
          }
          NoteReleaseAnswer(ledger, it.mId, !isLost && !isAnswerLost);
        }
        for (const auto& it : actions.mRenewals) {
          NoteRenewed(ledger, it.mRequest.mIds, now);
        }
        BOOST_TEST_REQUIRE(i < 100000);
      }
      BOOST_TEST(memory.mLeases.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(OneInstanceSweepsAnEndpointAndFewMoveWhenOneStops)
{
  auto alive = std::vector<InstanceRecord>{};
  for (auto i = 0; i < 10; ++i) {
    alive.push_back({ { "entry-" + std::to_string(i) }, 1, "", {} });
  }
  auto fewer = alive;
  fewer.erase(fewer.begin() + 4);
  for (auto i = 0; i < 100; ++i) {
    const auto endpoint = EndpointId{ "engine-" + std::to_string(i) };
    const auto before = SweeperOf(alive, endpoint);
    const auto after = SweeperOf(fewer, endpoint);
    BOOST_TEST((before == after || before == alive[4].mId));
  }
}

BOOST_AUTO_TEST_CASE(OrphansFollowTheFaultTable)
{
  struct Row
  {
    std::string mName;
    std::string mOwner;
    Incarnation mIncarnation;
    Millis mExpiresIn;
    bool mIsReleased;
  };
  // NOTE: entry-100 sweeps, entry-101 runs incarnation 2, and entry-102 is
  // unreachable.
  const auto rows = std::vector<Row>{
    { "living owner", "entry-101", 2, Millis(5000), false },
    { "living owner, lease over", "entry-101", 2, Millis(0), false },
    { "earlier incarnation", "entry-101", 1, Millis(5000), true },
    { "cut off, lease runs", "entry-102", 1, Millis(5000), false },
    { "cut off, lease over", "entry-102", 1, Millis(0), true },
    { "unknown, lease runs", "entry-777", 1, Millis(5000), false },
    { "unknown, lease over", "entry-777", 1, Millis(0), true },
    { "own, in the ledger", "entry-100", 1, Millis(0), false },
    { "own, not in the ledger", "entry-100", 1, Millis(5000), true },
    { "own, of an earlier start", "entry-100", 0, Millis(5000), true },
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      auto domain = FakeDomain{};
      StartInstance(domain, 0);
      StartInstance(domain, 1, 2);
      StartInstance(domain, 2);
      RunFor(domain, Seconds(2));
      domain.mInstances.at(AddressOf(2)).mIsRunning = false;
      RunFor(domain, Seconds(8));
      auto& self = domain.mInstances.at(AddressOf(0));
      auto endpoint = std::size_t{ 1 };
      const auto alive = AliveInstances(self.mMembership, domain.mNow);
      while (SweeperOf(alive, AnnouncementOf(endpoint, 1).mEndpoint) !=
             self.mMembership.mSettings.mInstance) {
        ++endpoint;
      }
      auto ledger = MakeLedger();
      if (row.mName == "own, in the ledger") {
        AddHolding(ledger, Stream("h"), domain.mNow);
      }
      const auto isHeld = [&ledger](const HoldingId& aId) {
        return ledger.mEntries.contains(aId);
      };
      auto sweep = OrphanSweep{};
      auto released = std::size_t{ 0 };
      for (std::uint64_t i = 1; i <= 5; ++i) {
        auto report = AnnouncementOf(endpoint, i);
        report.mHoldings = { { { "h" },
                               HoldingKind::Pin,
                               { row.mOwner },
                               row.mIncarnation,
                               100,
                               row.mExpiresIn } };
        Announce(domain, AddressOf(0), report);
        RunFor(domain, Seconds(1));
        released +=
          SweepOrphans(
            sweep, self.mMembership, self.mRegistry, isHeld, domain.mNow)
            .size();
      }
      BOOST_TEST((released > 0) == row.mIsReleased);
    }
  }
}

BOOST_AUTO_TEST_CASE(TheSweeperAsksForOldReports)
{
  auto domain = FakeDomain{};
  auto& self = StartInstance(domain, 0);
  RunFor(domain, Seconds(1));
  Announce(domain, AddressOf(0), AnnouncementOf(1, 1));
  const auto inspect = [&](TimePoint aNow) {
    return EndpointsToInspect(
             self.mMembership, self.mRegistry, kInspectionAge, aNow)
      .size();
  };
  BOOST_TEST(inspect(domain.mNow) == 0U);
  BOOST_TEST(inspect(domain.mNow + kInspectionAge) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
