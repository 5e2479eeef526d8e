#include "placement/orderer.h"

#include "fleetfake.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::placement;

namespace {

/// Lease and endpoints as an orderer meets them, with faults to choose.
struct OrdererFixture
{
  FakeFleet mFleet;
  Orderer mOrderer;
  bool mLosesOrders = false;
  bool mLosesAnswers = false;
  bool mGrantsLease = true;
  std::size_t mOrders = 0;
};

auto
AnswerOf(OrdererFixture& aFixture, const endpoints::EndpointCall& aCall)
  -> std::optional<endpoints::EndpointAnswer>
{
  auto& engine = aFixture.mFleet.mEngines.at({ aCall.mAddress });
  if (aCall.mMethod == "POST") {
    ++aFixture.mOrders;
    if (aFixture.mLosesOrders) {
      return std::nullopt;
    }
    for (const auto& [id, active] : aFixture.mOrderer.mPlacement.mActive) {
      auto order = endpoints::Order{};
      order.mOrder = id;
      order.mFencing = 1;
      order.mModel = active.mPlanned.mModel.mModel;
      order.mVersion = active.mPlanned.mModel.mVersion;
      BOOST_TEST(Deliver(aFixture.mFleet, active.mPlanned.mEndpoint, order));
    }
    return aFixture.mLosesAnswers
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
Connect(OrdererFixture& aFixture) -> void
{
  auto& ports = aFixture.mOrderer.mPorts;
  aFixture.mOrderer.mPlacement.mOrderPrefix = "o";
  ports.mNow = [&aFixture] { return aFixture.mFleet.mNow; };
  ports.mAcquire = [&aFixture](Millis aDuration, const auto& aReply) {
    aReply(OrdererLease{
      aFixture.mGrantsLease, 1, aFixture.mFleet.mNow + aDuration });
  };
  ports.mCall = [&aFixture](const auto& aCall, const auto& aReply) {
    aReply(AnswerOf(aFixture, aCall));
  };
}

auto
RunFor(OrdererFixture& aFixture, int aSeconds) -> void
{
  for (auto i = 0; i < aSeconds; ++i) {
    TickOrderer(
      aFixture.mOrderer,
      InputOf(aFixture.mFleet, { TemplateOf("x", "3", { "poa-1" }) }, 0));
    StepFleet(aFixture.mFleet);
  }
}

auto
IsLoaded(const OrdererFixture& aFixture) -> bool
{
  return !aFixture.mFleet.mEngines.at({ "a1" }).mView.mModels.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(OrdererTests)

BOOST_AUTO_TEST_CASE(AcquiresLeaseAndLoadsOnce)
{
  auto fixture = OrdererFixture{};
  AddEngine(fixture.mFleet, "a1", "poa-1", {});
  Connect(fixture);
  RunFor(fixture, 60);
  BOOST_TEST(IsLoaded(fixture));
  BOOST_TEST(fixture.mOrders == 1U);
  BOOST_TEST(fixture.mOrderer.mPlacement.mActive.empty());
}

BOOST_AUTO_TEST_CASE(OnlyPlansWithoutLease)
{
  auto fixture = OrdererFixture{};
  fixture.mGrantsLease = false;
  AddEngine(fixture.mFleet, "a1", "poa-1", {});
  Connect(fixture);
  RunFor(fixture, 60);
  BOOST_TEST(fixture.mOrders == 0U);
  BOOST_TEST_REQUIRE(fixture.mOrderer.mPlan.size() == 1U);
  BOOST_TEST(fixture.mOrderer.mPlan[0].mBlockedBy ==
             "this instance is not the orderer");
}

BOOST_AUTO_TEST_CASE(DoesNotRepeatOrderAfterLostAnswer)
{
  auto fixture = OrdererFixture{};
  fixture.mLosesAnswers = true;
  AddEngine(fixture.mFleet, "a1", "poa-1", {});
  Connect(fixture);
  RunFor(fixture, 60);
  BOOST_TEST(IsLoaded(fixture));
  BOOST_TEST(fixture.mOrders == 1U);
}

BOOST_AUTO_TEST_CASE(RepeatsLostOrderAfterItExpires)
{
  auto fixture = OrdererFixture{};
  fixture.mLosesOrders = true;
  AddEngine(fixture.mFleet, "a1", "poa-1", {});
  Connect(fixture);
  RunFor(fixture, 14);
  BOOST_TEST(fixture.mOrders == 1U);
  fixture.mLosesOrders = false;
  RunFor(fixture, 30);
  BOOST_TEST(fixture.mOrders == 2U);
  BOOST_TEST(IsLoaded(fixture));
}

BOOST_AUTO_TEST_SUITE_END()
