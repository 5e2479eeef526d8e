#include "endpoints/reservation.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

const auto kStart = TimePoint(Seconds(1000));

/// Memory of an engine, as the protocol promises it.
struct FakeEngine
{
  std::int64_t mTotal = 100;
  std::map<HoldingId, std::int64_t> mHeld;
  bool mIsDead = false;

  [[nodiscard]] auto Used() const -> std::int64_t
  {
    auto used = std::int64_t{ 0 };
    for (const auto& [id, tokens] : mHeld) {
      used += tokens;
    }
    return used;
  }
};

struct Faults
{
  unsigned mLostPercent = 0;
  unsigned mDeathsPercent = 0;
};

/// Engines, and reservations that run against them.
struct Bench
{
  std::map<EndpointId, FakeEngine> mEngines;
  std::vector<Reservation> mReservations;
  std::mt19937 mRandom{ 1 };
  Faults mFaults;
  TimePoint mNow = kStart;
  std::size_t mStreams = 0;
};

auto
IsLost(Bench& aBench) -> bool
{
  return aBench.mRandom() % 100 < aBench.mFaults.mLostPercent;
}

auto
PlanOf(const std::vector<int>& aEngines, std::int64_t aTokens)
  -> std::vector<PartPlan>
{
  auto plan = std::vector<PartPlan>{};
  for (const auto it : aEngines) {
    const auto name = "engine-" + std::to_string(it);
    plan.push_back({ { name }, 1, name, aTokens });
  }
  return plan;
}

auto
Perform(Bench& aBench,
        Reservation& aReservation,
        const ReservationActions& aActions) -> void;

auto
Ask(Bench& aBench, Reservation& aReservation, const ReserveMemory& aAsk) -> void
{
  auto& engine = aBench.mEngines[aAsk.mPlan.mEndpoint];
  if (engine.mIsDead || IsLost(aBench)) {
    Perform(aBench,
            aReservation,
            NoteReservationResult(
              aReservation, aAsk.mId, ReservationResult::Lost, aBench.mNow));
    return;
  }
  const auto fits = engine.Used() + aAsk.mPlan.mTokens <= engine.mTotal;
  if (fits) {
    engine.mHeld[aAsk.mId] = aAsk.mPlan.mTokens;
  }
  const auto answer =
    fits ? ReservationResult::Granted : ReservationResult::Refused;
  const auto result = IsLost(aBench) ? ReservationResult::Lost : answer;
  Perform(aBench,
          aReservation,
          NoteReservationResult(aReservation, aAsk.mId, result, aBench.mNow));
}

auto
Read(Bench& aBench, Reservation& aReservation, const ReadPart& aRead) -> void
{
  auto& engine = aBench.mEngines[aRead.mPlan.mEndpoint];
  BOOST_TEST(aRead.mImports.size() == static_cast<std::size_t>(aRead.mPart));
  if (engine.mIsDead || IsLost(aBench)) {
    Perform(aBench,
            aReservation,
            NoteMemberLost(aReservation, aRead.mPlan.mEndpoint));
    return;
  }
  BOOST_TEST(engine.mHeld.contains(aRead.mReservation));
  NotePartRead(aReservation, aRead.mReservation, aRead.mReservation);
}

auto
Perform(Bench& aBench,
        Reservation& aReservation,
        const ReservationActions& aActions) -> void
{
  for (const auto& action : aActions) {
    if (const auto* ask = std::get_if<ReserveMemory>(&action)) {
      Ask(aBench, aReservation, *ask);
    } else if (const auto* read = std::get_if<ReadPart>(&action)) {
      Read(aBench, aReservation, *read);
    } else if (const auto* back = std::get_if<ReleaseMemory>(&action)) {
      // NOTE: the ledger resends releases, so none is lost here.
      aBench.mEngines[back->mPlan.mEndpoint].mHeld.erase(back->mId);
    } else {
      ++aBench.mStreams;
    }
  }
}

/// Runs all reservations for aTime; ready ones end after 500 ms.
auto
Run(Bench& aBench, Millis aTime) -> void
{
  auto readyAt = std::map<RequestId, TimePoint>{};
  const auto end = aBench.mNow + aTime;
  for (; aBench.mNow < end; aBench.mNow += Millis(10)) {
    for (auto& it : aBench.mReservations) {
      Perform(aBench, it, TickReservation(it, aBench.mNow));
      if (it.mPhase == ReservationPhase::NeedsPlan) {
        auto plan = std::vector<PartPlan>{};
        for (const auto& member : it.mMembers) {
          plan.push_back(member.mPlan);
        }
        Perform(aBench, it, Replan(it, plan, aBench.mNow));
      }
      const auto isReady = it.mPhase == ReservationPhase::Ready;
      if (isReady && !readyAt.contains(it.mRequest)) {
        readyAt[it.mRequest] = aBench.mNow;
      }
      if (isReady && aBench.mNow - readyAt[it.mRequest] > Millis(500)) {
        Perform(aBench, it, EndReservation(it, "finished"));
      }
    }
    for (auto& [id, engine] : aBench.mEngines) {
      BOOST_TEST(engine.Used() <= engine.mTotal);
    }
  }
}

auto
Add(Bench& aBench, const std::vector<int>& aEngines, Millis aDeadline) -> void
{
  const auto name = "r" + std::to_string(aBench.mReservations.size());
  aBench.mReservations.push_back(StartReservation(
    { name }, PlanOf(aEngines, 60), aBench.mNow + aDeadline, aBench.mNow));
}

auto
UsedOn(const Bench& aBench) -> std::int64_t
{
  auto used = std::int64_t{ 0 };
  for (const auto& [id, engine] : aBench.mEngines) {
    used += engine.Used();
  }
  return used;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReservationTests)

BOOST_AUTO_TEST_CASE(ReservesInOrderReadsInOrderAndStreamsOnTheLast)
{
  auto reservation = StartReservation(
    { "r" }, PlanOf({ 3, 1, 2 }, 60), kStart + Seconds(9), kStart);
  auto order = std::string{};
  auto actions = TickReservation(reservation, kStart);
  while (actions.size() == 1 &&
         std::holds_alternative<ReserveMemory>(actions[0])) {
    const auto& ask = std::get<ReserveMemory>(actions[0]);
    order += ask.mPlan.mEndpoint.mValue.back();
    NoteReservationResult(
      reservation, ask.mId, ReservationResult::Granted, kStart);
    actions = TickReservation(reservation, kStart);
  }
  BOOST_TEST(order == "123");
  for (const auto* engine : { "engine-3", "engine-1" }) {
    const auto read = std::get<ReadPart>(actions.at(0));
    BOOST_TEST(read.mPlan.mEndpoint.mValue == engine);
    NotePartRead(reservation, read.mReservation, { engine });
    actions = TickReservation(reservation, kStart);
  }
  const auto& stream = std::get<StreamAnswer>(actions.back());
  BOOST_TEST(stream.mPlan.mEndpoint.mValue == "engine-2");
  BOOST_TEST(stream.mKvParts.size() == 2U);
  BOOST_TEST((reservation.mPhase == ReservationPhase::Ready));
  // NOTE: two reservations and the two parts read into them.
  BOOST_TEST(EndReservation(reservation, "finished").size() == 4U);
  BOOST_TEST((reservation.mPhase == ReservationPhase::Finished));
  BOOST_TEST(EndReservation(reservation, "again").empty());
}

BOOST_AUTO_TEST_CASE(TwoPromptsThatNeedTheSameEnginesBothFinish)
{
  auto bench = Bench{};
  Add(bench, { 1, 2, 3 }, Seconds(20));
  Add(bench, { 3, 2, 1 }, Seconds(20));
  Run(bench, Seconds(20));
  BOOST_TEST(bench.mStreams == 2U);
  BOOST_TEST(UsedOn(bench) == 0);
}

BOOST_AUTO_TEST_CASE(WhatIsHeldIsGivenBackWhileAnotherEngineStaysFull)
{
  auto bench = Bench{};
  bench.mEngines[{ "engine-3" }].mHeld[{ "other" }] = 100;
  Add(bench, { 1, 2, 3 }, Seconds(10));
  auto freeTime = Millis(0);
  for (auto i = 0; i < 900; ++i) {
    Run(bench, Millis(10));
    freeTime += UsedOn(bench) == 100 ? Millis(10) : Millis(0);
  }
  // NOTE: short requests have the memory for more than half of the time.
  BOOST_TEST((freeTime > Millis(4500)));
  Run(bench, Seconds(2));
  BOOST_TEST((bench.mReservations[0].mPhase == ReservationPhase::Failed));
  BOOST_TEST(bench.mReservations[0].mReason == "deadline passed");
  BOOST_TEST(UsedOn(bench) == 100);
}

BOOST_AUTO_TEST_CASE(ALostMemberFreesThePartsAfterItAndKeepsThoseBefore)
{
  auto bench = Bench{};
  auto reservation = StartReservation(
    { "r" }, PlanOf({ 1, 2, 3, 4 }, 60), kStart + Seconds(9), kStart);
  for (auto i = 0; i < 6; ++i) {
    Perform(bench, reservation, TickReservation(reservation, kStart));
  }
  BOOST_TEST((reservation.mMembers[1].mPhase == MemberPhase::Read));
  Perform(bench, reservation, NoteMemberLost(reservation, { "engine-2" }));
  BOOST_TEST((reservation.mPhase == ReservationPhase::NeedsPlan));
  BOOST_TEST(UsedOn(bench) == 60);
  Perform(bench,
          reservation,
          Replan(reservation, PlanOf({ 1, 5, 6, 4 }, 60), kStart));
  BOOST_TEST(UsedOn(bench) == 60);
  for (auto i = 0; i < 9; ++i) {
    Perform(bench, reservation, TickReservation(reservation, kStart));
  }
  BOOST_TEST(bench.mStreams == 1U);
  Perform(bench, reservation, EndReservation(reservation, "caller gone"));
  BOOST_TEST(UsedOn(bench) == 0);
}

BOOST_AUTO_TEST_CASE(NothingIsLeftAndAllEndUnderFaults)
{
  for (const auto seed : { 1U, 2U, 3U, 5U, 8U, 13U, 21U, 34U }) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto bench = Bench{};
      bench.mRandom.seed(seed);
      bench.mFaults.mLostPercent = 10;
      for (auto i = 0; i < 12; ++i) {
        auto engines = std::vector<int>{ 0, 1, 2, 3, 4, 5 };
        std::shuffle(engines.begin(), engines.end(), bench.mRandom);
        engines.resize(3 + bench.mRandom() % 2);
        Add(bench, engines, Seconds(30));
      }
      Run(bench, Seconds(10));
      auto& victim = bench.mEngines[{ "engine-2" }];
      victim.mIsDead = true;
      victim.mHeld.clear();
      for (auto& it : bench.mReservations) {
        Perform(bench, it, NoteMemberLost(it, { "engine-2" }));
      }
      Run(bench, Seconds(25));
      for (const auto& it : bench.mReservations) {
        BOOST_TEST(IsOver(it));
      }
      BOOST_TEST(UsedOn(bench) == 0);
      BOOST_TEST(bench.mStreams >= 6U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
