#include "placement/orderer.h"

#include "fleetfake.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::placement;

namespace {

/// Lease and endpoints as an orderer meets them, with faults to choose.
struct OrdererBench
{
  FakeFleet mFleet;
  Orderer mOrderer;
  bool mLosesOrders = false;
  bool mLosesAnswers = false;
  bool mGrantsLease = true;
  std::size_t mOrders = 0;
};

auto
AnswerOf(OrdererBench& aBench, const endpoints::EndpointCall& aCall)
  -> std::optional<endpoints::EndpointAnswer>
{
  auto& engine = aBench.mFleet.mEngines.at({ aCall.mAddress });
  if (aCall.mMethod == "POST") {
    ++aBench.mOrders;
    if (aBench.mLosesOrders) {
      return std::nullopt;
    }
    for (const auto& [id, active] : aBench.mOrderer.mPlacement.mActive) {
      auto order = endpoints::Order{};
      order.mOrder = id;
      order.mFencing = 1;
      order.mModel = active.mPlanned.mModel.mModel;
      order.mVersion = active.mPlanned.mModel.mVersion;
      BOOST_TEST(Deliver(aBench.mFleet, active.mPlanned.mEndpoint, order));
    }
    return aBench.mLosesAnswers
             ? std::nullopt
             : std::optional(endpoints::EndpointAnswer{ 202, "{}" });
  }
  for (const auto& [id, item] : engine.mOrders) {
    if (aCall.mPath == "/v1/orders/" + id) {
      const auto* state = item.second == TimePoint{} ? "done" : "running";
      return endpoints::EndpointAnswer{
        200, R"({"order": ")" + id + R"(", "state": ")" + state + R"("})"
      };
    }
  }
  return endpoints::EndpointAnswer{ 404, "" };
}

auto
Connect(OrdererBench& aBench) -> void
{
  auto& ports = aBench.mOrderer.mPorts;
  aBench.mOrderer.mPlacement.mOrderPrefix = "o";
  ports.mNow = [&aBench] { return aBench.mFleet.mNow; };
  ports.mAcquire = [&aBench](Millis aDuration, const auto& aReply) {
    aReply(
      OrdererLease{ aBench.mGrantsLease, 1, aBench.mFleet.mNow + aDuration });
  };
  ports.mCall = [&aBench](const auto& aCall, const auto& aReply) {
    aReply(AnswerOf(aBench, aCall));
  };
}

auto
RunFor(OrdererBench& aBench, int aSeconds) -> void
{
  for (auto i = 0; i < aSeconds; ++i) {
    TickOrderer(
      aBench.mOrderer,
      InputOf(aBench.mFleet, { TemplateOf("x", "3", { "poa-1" }) }, 0));
    StepFleet(aBench.mFleet);
  }
}

auto
IsLoaded(const OrdererBench& aBench) -> bool
{
  return !aBench.mFleet.mEngines.at({ "a1" }).mView.mModels.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(OrdererTests)

BOOST_AUTO_TEST_CASE(AcquiresTheLeaseAndLoadsOnce)
{
  auto bench = OrdererBench{};
  AddEngine(bench.mFleet, "a1", "poa-1", {});
  Connect(bench);
  RunFor(bench, 60);
  BOOST_TEST(IsLoaded(bench));
  BOOST_TEST(bench.mOrders == 1U);
  BOOST_TEST(bench.mOrderer.mPlacement.mActive.empty());
}

BOOST_AUTO_TEST_CASE(WithoutALeaseItOnlyPlans)
{
  auto bench = OrdererBench{};
  bench.mGrantsLease = false;
  AddEngine(bench.mFleet, "a1", "poa-1", {});
  Connect(bench);
  RunFor(bench, 60);
  BOOST_TEST(bench.mOrders == 0U);
  BOOST_TEST_REQUIRE(bench.mOrderer.mPlan.size() == 1U);
  BOOST_TEST(bench.mOrderer.mPlan[0].mBlockedBy ==
             "this instance is not the orderer");
}

BOOST_AUTO_TEST_CASE(ALostAnswerIsReadBackAndNotDoubled)
{
  auto bench = OrdererBench{};
  bench.mLosesAnswers = true;
  AddEngine(bench.mFleet, "a1", "poa-1", {});
  Connect(bench);
  RunFor(bench, 60);
  BOOST_TEST(IsLoaded(bench));
  BOOST_TEST(bench.mOrders == 1U);
}

BOOST_AUTO_TEST_CASE(ALostOrderIsGivenAgainOnceItCannotArriveAnyMore)
{
  auto bench = OrdererBench{};
  bench.mLosesOrders = true;
  AddEngine(bench.mFleet, "a1", "poa-1", {});
  Connect(bench);
  RunFor(bench, 14);
  BOOST_TEST(bench.mOrders == 1U);
  bench.mLosesOrders = false;
  RunFor(bench, 30);
  BOOST_TEST(bench.mOrders == 2U);
  BOOST_TEST(IsLoaded(bench));
}

BOOST_AUTO_TEST_SUITE_END()
