#include "program/tests/processes.h"
#include "wire/testing/background.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <future>

using namespace cuminslip;
using namespace cuminslip::program::testing;
using cuminslip::wire::testing::RunInBackground;

namespace {

namespace json = boost::json;

constexpr auto kInstances = std::size_t{ 9 };
constexpr auto kControls = std::size_t{ 3 };

/// Nine instances with a template in force and endpoints known everywhere.
struct Fixture
{
  Deployment mDeployment{ kInstances, kControls };

  Fixture()
  {
    mDeployment.StartAll();
    mDeployment.StartStandins();
    BOOST_REQUIRE(WaitUntil(
      [&] { return Publish(mDeployment, 0, 7, 0, "first").mStatus == 200; }));
    for (auto i = std::size_t{ 0 }; i < kInstances; ++i) {
      BOOST_REQUIRE(WaitUntil([&] { return Ask(i, "ready?", 1) == 200; }));
    }
  }

  auto AskFor(std::size_t aInstance, const std::string& aPrompt, int aTokens)
    -> wire::HttpResponse
  {
    const auto body =
      json::serialize(json::object{ { "model", "drafter" },
                                    { "prompt", aPrompt },
                                    { "max_tokens", aTokens } });
    return Call(mDeployment.Ports(aInstance).mCaller,
                "POST",
                "/v1/completions",
                "caller",
                body);
  }

  auto Ask(std::size_t aInstance, const std::string& aPrompt, int aTokens)
    -> int
  {
    return AskFor(aInstance, aPrompt, aTokens).mStatus;
  }

  auto Submit(std::size_t aInstance, const std::string& aKey)
    -> wire::HttpResponse
  {
    return Call(mDeployment.Ports(aInstance).mCaller,
                "POST",
                "/v1/services/counter/submit",
                "caller",
                "{\"claim\":1}",
                { { "idempotency-key", aKey } });
  }

  /// KV tokens in use by streams and holdings at an engine.
  auto HeldTokens(std::size_t aEngine) -> std::int64_t
  {
    const auto state =
      Call(mDeployment.EnginePort(aEngine), "GET", "/v1/state", "endpoint");
    auto ec = json::error_code{};
    const auto value = json::parse(state.mBody, ec);
    if (ec) {
      return -1;
    }
    auto tokens = std::int64_t{ 0 };
    for (const auto& holding : value.at("holdings").as_array()) {
      tokens += holding.at("tokens").to_number<std::int64_t>();
    }
    return tokens;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestProcessTests, Fixture)

BOOST_AUTO_TEST_CASE(AKilledEntryInstanceLeavesNoMemoryAtTheEngines)
{
  const auto entry = std::size_t{ 4 };
  auto asked = std::vector<std::future<int>>{};
  for (auto i = 0; i < 4; ++i) {
    asked.push_back(RunInBackground(
      [&, i] { return Ask(entry, "long answer " + std::to_string(i), 800); }));
  }
  const auto engine = std::size_t{ 1 };
  BOOST_TEST(WaitUntil([&] { return HeldTokens(engine) > 0; }));
  mDeployment.Kill(entry);
  for (auto& future : asked) {
    BOOST_TEST(future.get() != 200);
  }
  BOOST_TEST(WaitUntil([&] { return HeldTokens(engine) == 0; }, 40));
}

BOOST_AUTO_TEST_CASE(ASubmissionRunsOnceThroughAnyInstance)
{
  const auto first = Submit(0, "claim-1");
  BOOST_TEST(first.mStatus == 200);
  for (const auto instance : { 0, 3, 6 }) {
    const auto again = Submit(static_cast<std::size_t>(instance), "claim-1");
    BOOST_TEST(again.mStatus == 200);
    BOOST_TEST(again.mBody == first.mBody);
  }
  const auto other = Call(mDeployment.Ports(3).mCaller,
                          "POST",
                          "/v1/services/counter/submit",
                          "caller",
                          "{\"claim\":2}",
                          { { "idempotency-key", "claim-1" } });
  BOOST_TEST(other.mStatus == 422);
}

BOOST_AUTO_TEST_CASE(APlannedStopFinishesWhatRuns)
{
  const auto entry = std::size_t{ 3 };
  auto asked = RunInBackground([&] { return Ask(entry, "slow answer", 150); });
  BOOST_TEST(WaitUntil([&] { return HeldTokens(0) > 0; }));
  const auto status = mDeployment.StopGracefully(entry);
  BOOST_TEST(status == 0);
  BOOST_TEST(asked.get() == 200);
  BOOST_TEST(WaitUntil([&] { return HeldTokens(0) == 0; }));
}

BOOST_AUTO_TEST_CASE(AStopUnderLoadEndsCleanly)
{
  const auto entry = std::size_t{ 6 };
  auto isOver = std::atomic<bool>{ false };
  auto callers = std::vector<std::future<void>>{};
  for (auto i = 0; i < 4; ++i) {
    callers.push_back(RunInBackground([&, i] {
      while (!isOver) {
        Ask(entry, "load " + std::to_string(i), 20);
        Call(mDeployment.Ports(entry).mPlatform, "GET", "/readyz", "");
      }
    }));
  }
  BOOST_TEST(WaitUntil([&] { return HeldTokens(0) > 0; }));
  const auto status = mDeployment.StopGracefully(entry);
  isOver = true;
  for (auto& caller : callers) {
    caller.get();
  }
  BOOST_TEST(status == 0);
}

BOOST_AUTO_TEST_CASE(KeysOfOneInterfaceAreRefusedOnTheOthers)
{
  const auto& ports = mDeployment.Ports(0);
  struct Row
  {
    int mPort;
    const char* mMethod;
    const char* mPath;
    const char* mKey;
  };
  for (const auto& row :
       { Row{ ports.mCaller, "POST", "/v1/completions", "operator" },
         Row{ ports.mCaller, "POST", "/v1/completions", "endpoint" },
         Row{ ports.mCaller, "POST", "/v1/completions", "" },
         Row{ ports.mOperator, "GET", "/operator/v1/status", "caller" },
         Row{ ports.mOperator, "GET", "/operator/v1/status", "endpoint" },
         Row{ ports.mEndpoint, "POST", "/endpoint/v1/announce", "caller" },
         Row{
           ports.mEndpoint, "POST", "/endpoint/v1/announce", "operator" } }) {
    BOOST_TEST(Call(row.mPort, row.mMethod, row.mPath, row.mKey).mStatus ==
               401);
  }
}

BOOST_AUTO_TEST_CASE(ADomainWithoutTheQuorumGoesOnServing)
{
  mDeployment.Kill(0);
  mDeployment.Kill(1);
  BOOST_TEST(WaitUntil([&] {
    const auto status = Call(
      mDeployment.Ports(5).mOperator, "GET", "/operator/v1/status", "operator");
    return status.mBody.find("\"isolated\":true") != std::string::npos;
  }));
  BOOST_TEST(Ask(5, "still here?", 2) == 200);
  const auto refused = Submit(3, "claim-9");
  BOOST_TEST(refused.mStatus == 503);
  BOOST_TEST(refused.mBody.find("\"ran\":\"no\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
