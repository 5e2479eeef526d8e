#include "program/tests/processes.h"
#include "wire/testing/background.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <optional>

using namespace cuminslip;
using namespace cuminslip::program::testing;
using cuminslip::wire::testing::RunInBackground;

namespace {

namespace json = boost::json;

constexpr auto kInstances = std::size_t{ 6 };
/// Instances of the failure domain of engine-1.
constexpr auto kFirst = std::size_t{ 0 };
constexpr auto kSecond = std::size_t{ 3 };
constexpr auto kEngine = "engine-1";

/// The endpoint's state as the instance tells; empty when it does not know it.
auto
StateAt(const Deployment& aDeployment,
        std::size_t aInstance,
        const std::string& aEndpoint) -> std::string
{
  const auto answer = Call(aDeployment.Ports(aInstance).mOperator,
                           "GET",
                           "/operator/v1/endpoints",
                           "operator");
  if (answer.mStatus != 200) {
    return {};
  }
  const auto value = json::parse(answer.mBody);
  for (const auto& it : value.at("endpoints").as_array()) {
    const auto& object = it.as_object();
    const auto* id = object.if_contains("endpoint");
    id = id == nullptr ? object.if_contains("id") : id;
    if (id != nullptr && id->as_string() == aEndpoint) {
      return std::string(object.at("state").as_string());
    }
  }
  return {};
}

auto
BecomesEverywhere(const Deployment& aDeployment, const std::string& aState)
  -> bool
{
  return WaitUntil([&] {
    return StateAt(aDeployment, kFirst, kEngine) == aState &&
           StateAt(aDeployment, kSecond, kEngine) == aState;
  });
}

auto
SetFault(const Deployment& aDeployment, const std::string& aFault) -> void
{
  const auto answer = Call(aDeployment.StandinControlPort(),
                           "POST",
                           "/fault",
                           "",
                           R"({"endpoints": ["engine-1"], )" + aFault + "}");
  BOOST_TEST(answer.mStatus == 200);
}

auto
CountHoldings(const Deployment& aDeployment) -> std::optional<std::size_t>
{
  const auto answer =
    Call(aDeployment.EnginePort(0), "GET", "/v1/state", "endpoint");
  if (answer.mStatus != 200) {
    return std::nullopt;
  }
  return json::parse(answer.mBody).at("holdings").as_array().size();
}

struct Running
{
  Deployment mDeployment{ kInstances, 1 };

  Running()
  {
    mDeployment.StartAll();
    mDeployment.StartStandins();
    BOOST_REQUIRE(BecomesEverywhere(mDeployment, "active"));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointProcessTests)

BOOST_AUTO_TEST_CASE(ADeadEndpointGetsSuspectAndItsRestartIsTakenIn)
{
  const auto running = Running{};
  SetFault(running.mDeployment, R"("die": true, "restart_after_ms": 8000)");
  BOOST_TEST(BecomesEverywhere(running.mDeployment, "suspect"));
  BOOST_TEST(BecomesEverywhere(running.mDeployment, "active"));
}

BOOST_AUTO_TEST_CASE(ASilentFrozenEndpointGetsSuspectAndComesBack)
{
  const auto running = Running{};
  SetFault(running.mDeployment, R"("freeze": true, "stop_announcing": true)");
  BOOST_TEST(BecomesEverywhere(running.mDeployment, "suspect"));
  SetFault(running.mDeployment, R"("clear": true)");
  BOOST_TEST(BecomesEverywhere(running.mDeployment, "active"));
}

BOOST_AUTO_TEST_CASE(ADrainAtOneInstanceHoldsAtTheOther)
{
  const auto running = Running{};
  const auto answer = Call(running.mDeployment.Ports(kSecond).mOperator,
                           "POST",
                           "/operator/v1/endpoints/engine-1/drain",
                           "operator");
  BOOST_TEST(answer.mStatus == 200);
  BOOST_TEST(BecomesEverywhere(running.mDeployment, "leaving"));
}

BOOST_AUTO_TEST_CASE(AKilledInstanceLeavesNoMemoryBehind)
{
  auto running = Running{};
  auto& deployment = running.mDeployment;
  const auto published = Publish(deployment, 0, 1, 0, "first");
  BOOST_REQUIRE(published.mStatus == 200);
  BOOST_REQUIRE(WaitUntil([&] { return RevisionAt(deployment, kSecond) > 0; }));
  // NOTE: the template may be readable before the instance has checked that no
  // one in its failure domain has a later one.
  BOOST_REQUIRE(WaitUntil([&] {
    return Call(deployment.Ports(kSecond).mPlatform, "GET", "/readyz", "")
             .mStatus == 200;
  }));
  const auto prompt = std::string(40000, 'x');
  auto call = RunInBackground([&] {
    return Call(deployment.Ports(kSecond).mCaller,
                "POST",
                "/v1/completions",
                "caller",
                R"({"model": "drafter", "max_tokens": 800, "prompt": ")" +
                  prompt + R"("})",
                { { "x-cuminslip-kind", "check" } });
  });
  BOOST_TEST(
    WaitUntil([&] { return CountHoldings(deployment).value_or(0) > 0; }));
  deployment.Kill(kSecond);
  const auto answer = call.get();
  BOOST_TEST(answer.mStatus == 0, answer.mStatus << " " << answer.mBody);
  BOOST_TEST(WaitUntil([&] { return CountHoldings(deployment) == 0; }, 60));
}

BOOST_AUTO_TEST_SUITE_END()
