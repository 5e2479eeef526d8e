#include "fleetfake.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::placement;

namespace {

const auto kOld = LoadedModel{ { "drafter" }, { "2" } };
const auto kNew = LoadedModel{ { "drafter" }, { "3" } };

auto
Copies(const FakeFleet& aFleet,
       const LoadedModel& aModel,
       const std::string& aDomain) -> std::size_t
{
  std::size_t n = 0;
  for (const auto& [id, engine] : aFleet.mEngines) {
    const auto& models = engine.mView.mModels;
    const auto isHere = engine.mView.mFailureDomain.mValue == aDomain &&
                        engine.mView.mState == EndpointState::Active;
    n +=
      isHere && std::find(models.begin(), models.end(), aModel) != models.end()
        ? 1
        : 0;
  }
  return n;
}

auto
RunFor(Placement& aPlacement,
       FakeFleet& aFleet,
       const std::vector<TemplateInForce>& aTemplates,
       int aSeconds) -> void
{
  for (auto i = 0; i < aSeconds; ++i) {
    StepOrderer(aPlacement, aFleet, InputOf(aFleet, aTemplates, 1));
    StepFleet(aFleet);
  }
}

auto
BlockedBy(const Placement& aPlacement,
          const PlacementInput& aInput,
          TimePoint aNow) -> std::string
{
  const auto plan = PlanOrders(aPlacement, aInput, aNow);
  return plan.empty() ? "nothing planned" : plan.front().mBlockedBy;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTests)

BOOST_AUTO_TEST_CASE(LoadsOneCopyInEachPermittedDomain)
{
  auto fleet = FakeFleet{};
  AddEngine(fleet, "a1", "poa-1", {});
  AddEngine(fleet, "a2", "poa-1", {});
  AddEngine(fleet, "b1", "poa-2", {});
  AddEngine(fleet, "c1", "poa-3", {});
  auto placement = Placement{};
  RunFor(placement, fleet, { TemplateOf("x", "3", { "poa-1", "poa-2" }) }, 60);
  BOOST_TEST(Copies(fleet, kNew, "poa-1") == 1U);
  BOOST_TEST(Copies(fleet, kNew, "poa-2") == 1U);
  BOOST_TEST(Copies(fleet, kNew, "poa-3") == 0U);
  BOOST_TEST(fleet.mDone.size() == 2U);
}

BOOST_AUTO_TEST_CASE(QueuesOrdersByUrgency)
{
  auto fleet = FakeFleet{};
  AddEngine(fleet, "a1", "poa-1", { kOld });
  AddEngine(fleet, "a2", "poa-1", {});
  AddEngine(fleet, "b1", "poa-2", {});
  auto placement = Placement{};
  placement.mSettings.mMaxTransfers = 1;
  const auto templates =
    std::vector{ TemplateOf("x", "2", { "poa-1", "poa-2" }),
                 TemplateOf("y", "3", { "poa-1" }) };
  const auto plan =
    PlanOrders(placement, InputOf(fleet, templates, 1), fleet.mNow);
  BOOST_TEST_REQUIRE(plan.size() == 2U);
  BOOST_TEST((plan[0].mUrgency == Urgency::NoCopy));
  BOOST_TEST((plan[0].mModel == kNew));
  BOOST_TEST((plan[1].mUrgency == Urgency::NoCopyInDomain));
  BOOST_TEST(plan[1].mBlockedBy == "the weight store's limit is reached");
}

BOOST_AUTO_TEST_CASE(KeepsWeightStoreTransferLimit)
{
  auto fleet = FakeFleet{};
  for (auto i = 0; i < 12; ++i) {
    AddEngine(fleet, "e" + std::to_string(i), "poa-" + std::to_string(i), {});
  }
  auto domains = std::vector<std::string>{};
  for (auto i = 0; i < 12; ++i) {
    domains.push_back("poa-" + std::to_string(i));
  }
  auto placement = Placement{};
  RunFor(placement, fleet, { TemplateOf("x", "3", domains) }, 100);
  BOOST_TEST(fleet.mPeakTransfers == placement.mSettings.mMaxTransfers);
  BOOST_TEST(fleet.mDone.size() == 12U);
}

BOOST_AUTO_TEST_CASE(LoadsNewVersionBeforeUnloadingOldOne)
{
  auto fleet = FakeFleet{};
  AddEngine(fleet, "a1", "poa-1", { kOld });
  AddEngine(fleet, "a2", "poa-1", { kOld });
  auto placement = Placement{};
  placement.mSettings.mExcessTime = Seconds(20);
  const auto templates = std::vector{ TemplateOf("x", "3", { "poa-1" }) };
  for (auto i = 0; i < 200; ++i) {
    StepOrderer(placement, fleet, InputOf(fleet, templates, 1));
    StepFleet(fleet);
    BOOST_TEST(Copies(fleet, kOld, "poa-1") + Copies(fleet, kNew, "poa-1") >=
               1U);
  }
  BOOST_TEST(Copies(fleet, kOld, "poa-1") == 0U);
  BOOST_TEST(Copies(fleet, kNew, "poa-1") == 1U);
  BOOST_TEST(fleet.mDone.front().find("load drafter 3") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(KeepsLastNeededCopyWhenEngineIsFull)
{
  auto fleet = FakeFleet{};
  const auto other = LoadedModel{ { "reader" }, { "1" } };
  AddEngine(fleet, "a1", "poa-1", { kOld, other });
  auto placement = Placement{};
  placement.mSettings.mExcessTime = Seconds(20);
  auto reader = TemplateOf("y", "1", { "poa-1" });
  reader.mTemplate.mModel = { "reader" };
  // NOTE: the old version is not needed, but is all that serves meanwhile.
  RunFor(placement, fleet, { TemplateOf("x", "3", { "poa-1" }), reader }, 200);
  BOOST_TEST(Copies(fleet, kOld, "poa-1") == 1U);
  BOOST_TEST(Copies(fleet, other, "poa-1") == 1U);
}

BOOST_AUTO_TEST_CASE(AddsAndRemovesCopiesAfterDelays)
{
  auto fleet = FakeFleet{};
  AddEngine(fleet, "a1", "poa-1", { kNew });
  AddEngine(fleet, "a2", "poa-1", {});
  AddEngine(fleet, "a3", "poa-1", {});
  auto placement = Placement{};
  const auto templates = std::vector{ TemplateOf("x", "3", { "poa-1" }) };
  const auto run = [&](double aDemand, int aSeconds) {
    for (auto i = 0; i < aSeconds; ++i) {
      auto input = InputOf(fleet, templates, 1);
      input.mDemands = { { { "x" }, "short", { "poa-1" }, aDemand } };
      StepOrderer(placement, fleet, input);
      StepFleet(fleet);
    }
  };
  run(1500, 29);
  run(0, 5);
  BOOST_TEST(Copies(fleet, kNew, "poa-1") == 1U);
  run(1500, 60);
  BOOST_TEST(Copies(fleet, kNew, "poa-1") == 2U);
  run(0, 290);
  BOOST_TEST(Copies(fleet, kNew, "poa-1") == 2U);
  run(0, 20);
  BOOST_TEST(Copies(fleet, kNew, "poa-1") == 1U);
}

BOOST_AUTO_TEST_CASE(MovesDemandOfLostDomainToPermittedDomains)
{
  auto fleet = FakeFleet{};
  for (const auto* domain : { "poa-1", "poa-2", "poa-3" }) {
    for (auto i = 0; i < 4; ++i) {
      AddEngine(fleet, domain + std::to_string(i), domain, {});
    }
  }
  auto placement = Placement{};
  const auto templates =
    std::vector{ TemplateOf("x", "3", { "poa-1", "poa-2" }) };
  const auto run = [&](int aSeconds) {
    for (auto i = 0; i < aSeconds; ++i) {
      auto input = InputOf(fleet, templates, 1);
      input.mDemands = { { { "x" }, "short", { "poa-1" }, 1500 },
                         { { "x" }, "short", { "poa-2" }, 700 } };
      StepOrderer(placement, fleet, input);
      StepFleet(fleet);
    }
  };
  run(200);
  BOOST_TEST(Copies(fleet, kNew, "poa-1") == 2U);
  BOOST_TEST(Copies(fleet, kNew, "poa-2") == 1U);
  for (auto& [id, engine] : fleet.mEngines) {
    if (engine.mView.mFailureDomain.mValue == "poa-1") {
      engine.mView.mState = EndpointState::Suspect;
    }
  }
  run(120);
  BOOST_TEST(Copies(fleet, kNew, "poa-2") == 3U);
  BOOST_TEST(Copies(fleet, kNew, "poa-3") == 0U);
}

BOOST_AUTO_TEST_CASE(RetriesFailedTransferOnAnotherEngineFirst)
{
  auto fleet = FakeFleet{};
  AddEngine(fleet, "a1", "poa-1", {}).mFailsLoads = true;
  AddEngine(fleet, "a2", "poa-1", {});
  auto placement = Placement{};
  const auto templates = std::vector{ TemplateOf("x", "3", { "poa-1" }) };
  for (auto i = 0; i < 60; ++i) {
    StepOrderer(placement, fleet, InputOf(fleet, templates, 1));
    StepFleet(fleet);
    for (const auto& id : ListOrdersToPoll(placement)) {
      const auto& engine = fleet.mEngines.at({ "a1" });
      const auto order = engine.mOrders.find(id);
      const auto hasFailed =
        order != engine.mOrders.end() && order->second.second == TimePoint{};
      if (hasFailed) {
        RecordOrderStatus(placement,
                          id,
                          endpoints::OrderStatus{
                            id, endpoints::OrderProgress::Failed, "no space" },
                          fleet.mNow);
      }
    }
  }
  BOOST_TEST(Copies(fleet, kNew, "poa-1") == 1U);
  BOOST_TEST(fleet.mDone.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ExplainsWhyOrdersAreBlocked)
{
  struct Row
  {
    std::string mName;
    std::function<void(PlacementInput&, Placement&)> mChange;
    std::string mBlockedBy;
  };
  const auto rows = std::vector<Row>{
    { "open", [](auto&, auto&) {}, "" },
    { "no lease",
      [](auto& aInput, auto&) { aInput.mLease.mIsHeld = false; },
      "this instance is not the orderer" },
    { "lease about to end",
      [](auto& aInput, auto&) {
        aInput.mLease.mUntil = TimePoint(Seconds(1008));
      },
      "the lease is about to end" },
    { "domain without the quorum",
      [](auto& aInput, auto&) { aInput.mIsolated = { { "poa-1" } }; },
      "the failure domain is cut off from the quorum" },
    { "higher number seen",
      [](auto&, auto& aPlacement) { aPlacement.mHighestSeenFencing = 2; },
      "a higher fencing number was seen" },
    { "engine leaving",
      [](auto& aInput, auto&) {
        aInput.mEndpoints[0].mView.mState = EndpointState::Leaving;
      },
      "nothing planned" },
    { "unknown fencing counts as ignoring",
      [](auto& aInput, auto& aPlacement) {
        aInput.mEndpoints[0].mChecksFencing.reset();
        aPlacement.mTakenOverAt = TimePoint(Seconds(990));
      },
      "orders of an earlier orderer may still arrive there" },
    { "ignoring and not read back",
      [](auto& aInput, auto& aPlacement) {
        aInput.mEndpoints[0].mChecksFencing = false;
        aInput.mEndpoints[0].mView.mReportAge = Seconds(6);
        aPlacement.mTakenOverAt = TimePoint(Seconds(980));
      },
      "what the endpoint has is not read back yet" },
    { "ignoring and read back",
      [](auto& aInput, auto& aPlacement) {
        aInput.mEndpoints[0].mChecksFencing = false;
        aPlacement.mTakenOverAt = TimePoint(Seconds(980));
      },
      "" },
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      auto fleet = FakeFleet{};
      AddEngine(fleet, "a1", "poa-1", {});
      auto placement = Placement{};
      placement.mFencing = 1;
      auto input = InputOf(fleet, { TemplateOf("x", "3", { "poa-1" }) }, 1);
      row.mChange(input, placement);
      BOOST_TEST(BlockedBy(placement, input, fleet.mNow) == row.mBlockedBy);
    }
  }
}

BOOST_AUTO_TEST_CASE(PollsOrderAfterLostAnswerWithoutRepeatingIt)
{
  auto fleet = FakeFleet{};
  AddEngine(fleet, "a1", "poa-1", {});
  AddEngine(fleet, "a2", "poa-1", {});
  auto placement = Placement{};
  const auto templates = std::vector{ TemplateOf("x", "3", { "poa-1" }) };
  const auto first =
    TickPlacement(placement, InputOf(fleet, templates, 1), fleet.mNow);
  BOOST_TEST_REQUIRE(first.size() == 1U);
  const auto id = first[0].mOrder.mOrder;
  RecordOrderAnswer(placement, id, OrderAnswer::Lost, std::nullopt, fleet.mNow);
  BOOST_TEST(ListOrdersToPoll(placement).size() == 1U);
  // NOTE: not known yet: it may still arrive, so nothing else is ordered.
  RecordOrderStatus(placement, id, std::nullopt, fleet.mNow + Seconds(5));
  BOOST_TEST(TickPlacement(
               placement, InputOf(fleet, templates, 1), fleet.mNow + Seconds(5))
               .empty());
  RecordOrderStatus(placement, id, std::nullopt, fleet.mNow + Seconds(16));
  BOOST_TEST(placement.mActive.empty());
  const auto next = TickPlacement(
    placement, InputOf(fleet, templates, 1), fleet.mNow + Seconds(16));
  BOOST_TEST_REQUIRE(next.size() == 1U);
  BOOST_TEST(next[0].mOrder.mOrder != id);
}

BOOST_AUTO_TEST_CASE(StaleOrdererNeverUndoesOrdersOfItsSuccessor)
{
  for (const auto checksFencing : { true, false }) {
    for (const auto seed : { 1U, 2U, 3U, 5U, 8U, 13U, 21U, 34U }) {
      BOOST_TEST_CONTEXT((checksFencing ? "checking" : "ignoring")
                         << " endpoints, seed " << seed)
      {
        auto random = std::mt19937(seed);
        auto fleet = FakeFleet{};
        for (auto i = 0; i < 4; ++i) {
          AddEngine(
            fleet, "a" + std::to_string(i), "poa-1", { kOld }, checksFencing);
        }
        auto first = Placement{};
        auto second = Placement{};
        first.mOrderPrefix = "first";
        second.mOrderPrefix = "second";
        for (auto* it : { &first, &second }) {
          it->mSettings.mExcessTime = Seconds(20);
          it->mSettings.mMaxTransfers = 1;
        }
        // NOTE: the first is cut off and knows only the old template; its
        // lease runs out at 30 s and the second acquires it then.
        const auto leaseEnd = fleet.mNow + Seconds(30);
        const auto lateEnd = leaseEnd + first.mSettings.mOrderLifetime +
                             first.mSettings.mMaxOrderDelay;
        auto lastOld = fleet.mNow;
        auto firstNew = TimePoint::max();
        for (auto i = 0; i < 200; ++i) {
          auto old = InputOf(fleet, { TemplateOf("x", "2", { "poa-1" }) }, 1);
          old.mLease.mUntil = leaseEnd;
          old.mDemands = { { { "x" }, "short", { "poa-1" }, 3000 } };
          for (const auto& it : TickPlacement(first, old, fleet.mNow)) {
            // NOTE: orders are delayed by up to the longest delay.
            const auto delay = Millis(random() % 5000);
            fleet.mInFlight.push_back(
              { fleet.mNow + delay, it.mPlanned.mEndpoint, it.mOrder });
          }
          if (fleet.mNow >= leaseEnd) {
            const auto now =
              InputOf(fleet, { TemplateOf("y", "3", { "poa-1" }) }, 2);
            StepOrderer(second, fleet, now);
          }
          const auto before = fleet.mDone.size();
          StepFleet(fleet);
          for (auto n = before; n < fleet.mDone.size(); ++n) {
            const auto isOld = fleet.mDone[n].ends_with(" 1");
            lastOld = isOld ? fleet.mNow : lastOld;
            firstNew = isOld ? firstNew : std::min(firstNew, fleet.mNow);
          }
          BOOST_TEST(
            Copies(fleet, kOld, "poa-1") + Copies(fleet, kNew, "poa-1") >= 1U);
        }
        BOOST_TEST((lastOld < firstNew));
        BOOST_TEST((lastOld <= lateEnd + fleet.mLoadTime));
        BOOST_TEST(Copies(fleet, kNew, "poa-1") >= 1U);
        BOOST_TEST(fleet.mPeakTransfers <= 1U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(RandomFleetsKeepLastNeededCopy)
{
  for (const auto seed : { 1U, 2U, 3U, 5U, 8U, 13U, 21U, 34U }) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937(seed);
      auto fleet = FakeFleet{};
      for (auto i = 0; i < 9; ++i) {
        auto models = std::vector<LoadedModel>{};
        for (const auto& it : { kOld, kNew }) {
          if (random() % 2 == 0) {
            models.push_back(it);
          }
        }
        AddEngine(fleet,
                  "e" + std::to_string(i),
                  "poa-" + std::to_string(i % 3),
                  models);
      }
      auto placement = Placement{};
      placement.mSettings.mExcessTime = Seconds(10);
      auto version = std::string("2");
      for (auto i = 0; i < 390; ++i) {
        if (i % 100 == 99) {
          version = version == "2" ? "3" : "2";
        }
        const auto model = LoadedModel{ { "drafter" }, { version } };
        const auto templates = std::vector{ TemplateOf(
          "x", version, { "poa-0", "poa-1", "poa-2" }) };
        auto had = std::map<std::string, bool>{};
        for (const auto* domain : { "poa-0", "poa-1", "poa-2" }) {
          had[domain] = Copies(fleet, model, domain) > 0;
        }
        auto input = InputOf(fleet, templates, 1);
        input.mDemands = { { { "x" },
                             "short",
                             { "poa-1" },
                             static_cast<double>(random() % 2500) } };
        StepOrderer(placement, fleet, input);
        StepFleet(fleet);
        for (const auto& [domain, hadCopy] : had) {
          BOOST_TEST((!hadCopy || Copies(fleet, model, domain) > 0));
        }
      }
      for (const auto* domain : { "poa-0", "poa-1", "poa-2" }) {
        BOOST_TEST(Copies(fleet, { { "drafter" }, { version } }, domain) >= 1U);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
