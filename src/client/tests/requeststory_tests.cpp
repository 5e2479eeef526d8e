#include "client/client.h"
#include "client/requeststory.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace cuminslip;
using namespace cuminslip::client;

namespace {

auto
Line(int aTime, const std::string& aName, const std::string& aFields)
  -> std::string
{
  return R"({"event":2000,"severity":"info","name":")" + aName +
         R"(","time_ms":)" + std::to_string(aTime) +
         R"(,"instance":"entry-1","request":"r1")" + aFields + "}\n";
}

auto
CauseOf(const std::string& aLog) -> std::string
{
  return TellRequest(aLog, "r1").mCause;
}

const auto kPlaced =
  Line(10,
       "forward_placed",
       R"(,"endpoint":"e1","reason":"packed","first_event_ms":80)");
const auto kSendFailed = Line(
  50,
  "forward_send_failed",
  R"(,"endpoint":"e1","reason":"the connection broke","ran":"unknown","sent_ms_ago":40)");

} // namespace

BOOST_AUTO_TEST_SUITE(RequestStoryTests)

BOOST_AUTO_TEST_CASE(LinesOfTheRequestComeInOrderOfTime)
{
  const auto story =
    TellRequest(kSendFailed + R"({"request":"other","name":"x"})" + "\n" +
                  "no json\n" + kPlaced,
                "r1");
  BOOST_REQUIRE(story.mLines.size() == 2U);
  BOOST_TEST(story.mLines[0].mName == "forward_placed");
  BOOST_TEST(story.mLines[0].mInstance == "entry-1");
  BOOST_TEST(story.mLines[0].mFields ==
             "endpoint=e1 reason=packed first_event_ms=80");
  BOOST_TEST(story.mUnreadable == 1U);
}

BOOST_AUTO_TEST_CASE(EachEndNamesItsCause)
{
  BOOST_TEST(
    CauseOf(Line(9,
                 "forward_refused",
                 R"(,"reason":"unknown_key","age_ms":0,"version":7)")) ==
    "refused, and has not run: unknown_key after 0 ms, with routing version 7");
  BOOST_TEST(
    CauseOf(Line(
      9,
      "forward_refused",
      R"(,"reason":"no_capacity","age_ms":0,"version":7,"work_ahead_ms":90000)"
      R"(,"engine_ms":15000,"engines":9,"engines_busy_ms":2000,"start_by_ms":10100)")) ==
    "refused, and has not run: no_capacity after 0 ms, with routing version 7; "
    "it needed 15000 engine ms, with 90000 engine ms ahead of it on 9 engines, "
    "and would have started after 12000 ms; it would have waited if it could "
    "start after at most 10100 ms");
  BOOST_TEST(
    CauseOf(Line(
      9,
      "forward_refused",
      R"(,"reason":"no_capacity","age_ms":0,"version":7,"work_ahead_ms":-1)"
      R"(,"engine_ms":15000,"engines":-1,"engines_busy_ms":-1,"start_by_ms":-1)")) ==
    "refused, and has not run: no_capacity after 0 ms, with routing version 7");
  BOOST_TEST(
    CauseOf(
      kPlaced + kSendFailed +
      Line(51, "forward_cut", R"(,"reason":"endpoint_failed","events":3)")) ==
    "cut after 3 events: endpoint_failed; at e1: the connection broke 40 "
    "ms after it was sent (ran: unknown)");
  BOOST_TEST(CauseOf(kPlaced + Line(900,
                                    "forward_failed",
                                    R"(,"reason":"timed_out","age_ms":890)")) ==
             "failed, and may have run: timed_out after 890 ms");
  BOOST_TEST(
    CauseOf(kPlaced + Line(99,
                           "forward_caller_gone",
                           R"(,"age_ms":89,"events":0,"endpoint":"e1")")) ==
    "the caller left after 89 ms and 0 events, while e1 had it");
  BOOST_TEST(
    CauseOf(
      kPlaced +
      Line(
        500,
        "forward_delivered",
        R"(,"endpoint":"e1","status":200,"total_ms":490,"events":4,"first_event_ms":300,"longest_pause_ms":70)")) ==
    "answered by e1 with status 200 after 490 ms, first event after 300 ms, "
    "longest pause 70 ms; placed packed, predicted 80 ms");
}

BOOST_AUTO_TEST_CASE(TheEndAtTheFirstInstanceCountsForARelayedRequest)
{
  const auto relayed =
    Line(5, "forward_relayed", R"(,"relay":"10.0.0.2:7000")");
  const auto served = Line(
    60, "forward_delivered", R"(,"relayed":true,"endpoint":"e1","status":200)");
  BOOST_TEST(CauseOf(relayed + served).starts_with("no end"));
  const auto cut = Line(
    70, "forward_cut", R"(,"relayed":false,"events":3,"reason":"timed_out")");
  BOOST_TEST(CauseOf(relayed + served + cut).starts_with("cut after 3 events"));
  const auto whole = Line(
    70, "forward_delivered", R"(,"relayed":false,"endpoint":"","status":200)");
  BOOST_TEST(
    CauseOf(relayed + served + whole).find("; sent through 10.0.0.2:7000") !=
    std::string::npos);
}

BOOST_AUTO_TEST_CASE(APlainRequestHasNoPrediction)
{
  const auto placed =
    Line(10, "forward_placed", R"(,"endpoint":"e1","reason":"least_loaded")");
  const auto delivered =
    Line(30,
         "forward_delivered",
         R"(,"endpoint":"e1","status":200,"total_ms":20,"events":0)");
  BOOST_TEST(CauseOf(placed + delivered) ==
             "answered by e1 with status 200 after 20 ms; placed least_loaded");
}

BOOST_AUTO_TEST_CASE(EnginesThatOthersTookAreTold)
{
  const auto given = Line(12, "claim_given_up", R"(,"engines":4,"claims":2)");
  const auto delivered =
    Line(30,
         "forward_delivered",
         R"(,"endpoint":"e1","status":200,"total_ms":20,"events":0)");
  BOOST_TEST(CauseOf(kPlaced + given + kPlaced + delivered) ==
             "answered by e1 with status 200 after 20 ms; placed packed, "
             "predicted 80 ms; other instances took its engines, 2 times over");
}

BOOST_AUTO_TEST_CASE(WhatIsMissingIsSaid)
{
  BOOST_TEST(CauseOf("").starts_with("no line"));
  BOOST_TEST(CauseOf(kPlaced).starts_with("no end"));
}

BOOST_AUTO_TEST_CASE(TheCommandReadsLogs)
{
  const auto path = std::string(CUMINSLIP_BINARY_DIR) + "/explain-test.jsonl";
  std::ofstream(path) << kPlaced << kSendFailed;
  auto out = std::ostringstream{};
  auto err = std::ostringstream{};
  const auto run = [&](const std::vector<std::string>& aArguments) {
    out.str("");
    return RunClientCommand(aArguments, out, err);
  };
  BOOST_TEST((run({ "explain", "r1", "--log", path }) == ExitCode::Ok));
  BOOST_TEST(out.str().find("+40 ms entry-1 forward_send_failed") !=
             std::string::npos);
  BOOST_TEST(
    (run({ "explain", "r1", "--log", path, "--json" }) == ExitCode::Ok));
  BOOST_TEST(out.str().find("\"cause\":\"no end") != std::string::npos);
  BOOST_TEST((run({ "explain", "r2", "--log", path }) == ExitCode::NotFound));
  BOOST_TEST(
    (run({ "explain", "r1", "--log", "/nowhere" }) == ExitCode::Invalid));
}

BOOST_AUTO_TEST_SUITE_END()
