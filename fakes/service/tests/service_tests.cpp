#include "fakes/engine/jsonread.h"
#include "fakes/service/scenario.h"
#include "fakes/service/serviceserver.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>

using namespace cuminslip;
using namespace cuminslip::fakes;
using namespace cuminslip::wire;
namespace json = boost::json;

namespace {

constexpr auto kStart = TimePoint(Seconds(1000));
constexpr auto kLongestTest = Seconds(20);

struct Fixture
{
  EventLoopPtr mLoop = CreateEventLoop();
  HttpClientPtr mClient = CreateHttpClient(*mLoop);
  ServiceServerPtr mService;

  Fixture()
  {
    auto settings = ServiceSettings{};
    settings.mName = "counter-1";
    settings.mService = "counter";
    settings.mDelay = Millis(1);
    mService = std::move(
      *CollectOutcome<ServiceServerPtr>([&] {
         return StartServiceServer({ mLoop.get(), mClient.get(), 1 }, settings);
       }).mValue);
  }

  auto Call(Millis aTimeout) -> std::pair<CallEnd, HttpResponse>
  {
    auto call = HttpCall{};
    call.mAddress = ServiceAddress(*mService);
    call.mTimeout = aTimeout;
    call.mRequest = {
      "POST", "/book", "", { { "idempotency-key", "k" } }, "{}"
    };
    auto answer = std::optional<std::pair<CallEnd, HttpResponse>>{};
    FetchResponse(
      *mClient, call, 65536, [&](CallEnd aEnd, const HttpResponse& aResponse) {
        answer = { aEnd, aResponse };
      });
    const auto limit = MonotonicNow() + kLongestTest;
    while (!answer.has_value() && MonotonicNow() < limit) {
      RunLoopOnce(*mLoop, Millis(5));
    }
    BOOST_REQUIRE(answer.has_value());
    return *answer;
  }

  auto Runs() -> std::int64_t
  {
    return WholeOf(ServiceCountersDocument(*mService, false), "runs");
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(CallsWaitForSlotsAndAreCounted)
{
  auto service = PlainService{};
  service.mSettings.mDelay = Millis(10);
  service.mSettings.mSlots = 2;
  service.mSettings.mMaxWaiting = 2;
  for (const auto wait : { 10, 10, 20, 20 }) {
    const auto verdict = RunCall(service, {}, "k", 7, kStart);
    BOOST_TEST(verdict.mIsAccepted);
    BOOST_TEST(MillisBetween(kStart, verdict.mDoneAt).count() == wait);
  }
  BOOST_TEST(!RunCall(service, {}, "k", 7, kStart).mIsAccepted);
  BOOST_TEST(MostRunsOfKey(service) == 4);
  BOOST_TEST(CountOpenCalls(service, kStart + Millis(10)) == 2);
}

BOOST_FIXTURE_TEST_CASE(FaultsOfACall, Fixture)
{
  BOOST_TEST((Call(Millis(5000)).first == CallEnd::Complete));
  BOOST_TEST(Runs() == 1);

  CommandServiceFault(*mService, { { "refuse", 1 } });
  const auto refused = Call(Millis(5000)).second;
  BOOST_TEST(refused.mStatus == 503);
  BOOST_TEST(FindHeader(refused.mHeaders, "x-cuminslip-ran").value() == "no");
  BOOST_TEST(Runs() == 1);

  CommandServiceFault(*mService, { { "lose_answers", 1 } });
  BOOST_TEST(Call(Millis(5000)).second.mBody.empty());
  BOOST_TEST(Runs() == 2);

  CommandServiceFault(*mService, { { "stay_silent", 1 } });
  BOOST_TEST((Call(Millis(50)).first == CallEnd::TimedOut));
  BOOST_TEST(Runs() == 3);
}

BOOST_AUTO_TEST_CASE(DemoScenarioIsRead)
{
  auto file = std::ifstream(CUMINSLIP_SOURCE_DIR "/fakes/scenarios/demo.yaml");
  const auto text = std::string(std::istreambuf_iterator<char>(file), {});
  const auto outcome =
    CollectOutcome<Scenario>([&] { return ReadScenario(text, "demo.yaml"); });
  BOOST_TEST(FormatFindings(outcome.mFindings) == "");
  BOOST_REQUIRE(outcome.mValue.has_value());
  BOOST_TEST(outcome.mValue->mEngines.size() == 2U);
  BOOST_TEST(outcome.mValue->mServices.size() == 1U);
  BOOST_TEST(outcome.mValue->mEngines[1].mModels[0].mModel == "drafter");
}

BOOST_AUTO_TEST_CASE(ScenarioFindingsComeTogetherWithPlaces)
{
  const auto* text = "time_scale: fast\n"
                     "engines:\n"
                     "  - {name: e, address: nowhere, speed: 3}\n"
                     "  - {name: f}\n";
  const auto outcome =
    CollectOutcome<Scenario>([&] { return ReadScenario(text, "s.yaml"); });
  BOOST_REQUIRE(outcome.mFindings.mItems.size() == 4U);
  BOOST_TEST(FormatFinding(outcome.mFindings.mItems[0])
               .starts_with("s.yaml:1:13: time_scale: wrong type"));
  BOOST_TEST(FormatFinding(outcome.mFindings.mItems[2])
               .starts_with("s.yaml:3:33: speed: unknown key"));
}
