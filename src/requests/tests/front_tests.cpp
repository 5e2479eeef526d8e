#include "requests/tests/fakes.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::requests;
using namespace cuminslip::requests::testing;

BOOST_FIXTURE_TEST_SUITE(FrontTests, FrontFixture)

BOOST_AUTO_TEST_CASE(StreamsAWholeAnswer)
{
  Announce("engine-1", 9001);
  const auto caller = Ask("check", "question");
  const auto call = OnlyStream();
  SendHead(call, 200);
  SendPieceEvent(call, 0, "one ");
  SendPieceEvent(call, 1, "two");
  SendEndEvent(call, 2);

  BOOST_TEST(caller->mStatus == 200);
  BOOST_TEST(caller->mIsFinished);
  BOOST_TEST(caller->mBody.find("\"one \"") != std::string::npos);
  BOOST_TEST(caller->mBody.ends_with("data: [DONE]\n\n"));
  BOOST_TEST(IsIdle(*mFront));
}

BOOST_AUTO_TEST_CASE(AnswersWholeWhenNotStreaming)
{
  Announce("engine-1", 9001);
  const auto caller = Ask("check", "question", false);
  const auto call = OnlyStream();
  SendHead(call, 200);
  SendPieceEvent(call, 0, "one ");
  BOOST_TEST(caller->mAnswers == 0);
  SendPieceEvent(call, 1, "two");
  SendEndEvent(call, 2);

  BOOST_TEST(caller->mAnswers == 1);
  BOOST_TEST(caller->mBody.find("one two") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RefusesBeforeRunningWithRanNo)
{
  struct Row
  {
    const char* mName;
    wire::Headers mHeaders;
    const char* mKind;
    int mStatus;
  };
  Announce("engine-1", 9001);
  const auto rows = {
    Row{ "wrong key", { { "authorization", "Bearer no" } }, "check", 401 },
    Row{ "unknown kind", {}, "none", 400 },
    Row{ "service kind", {}, "book", 400 },
    Row{ "bad allowance",
         { { "x-cuminslip-allowance-ms", "soon" } },
         "check",
         400 },
    Row{ "short allowance",
         { { "x-cuminslip-allowance-ms", "1" } },
         "check",
         503 },
  };
  for (const auto& row : rows) {
    const auto caller = Ask(row.mKind, "question", true, row.mHeaders);
    BOOST_TEST_CONTEXT(row.mName)
    {
      BOOST_TEST(caller->mStatus == row.mStatus);
      BOOST_TEST(RanOf(caller->mBody) == "no");
      BOOST_TEST(OpenCalls("/").empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(RefusesWhileNotReadyStoppingOrIsolated)
{
  Announce("engine-1", 9001);
  mStanding.mIsReady = false;
  BOOST_TEST(Ask("check", "q")->mStatus == 503);
  mStanding = { true, true, Millis(2 * 3600 * 1000) };
  BOOST_TEST(Ask("check", "q")->mStatus == 503);
  mStanding = { true, true, Millis(1000) };
  BOOST_TEST(RanOf(Ask("claim", "q")->mBody) == "no");
  BOOST_TEST(OpenCalls("/").empty());
  mStanding = { true, false, Millis(0) };
  BeginStop(*mFront);
  const auto caller = Ask("check", "q");
  BOOST_TEST(caller->mStatus == 503);
  BOOST_TEST(wire::FindHeader(caller->mHeaders, "retry-after").has_value());
}

BOOST_AUTO_TEST_CASE(ServesIdempotentWorkWhileIsolated)
{
  Announce("engine-1", 9001);
  mStanding = { true, true, Millis(1000) };
  Ask("check", "q");
  OnlyStream();
}

BOOST_AUTO_TEST_CASE(DropsDuplicateAndForeignPieces)
{
  Announce("engine-1", 9001);
  const auto caller = Ask("check", "question", false);
  const auto call = OnlyStream();
  SendHead(call, 200);
  SendPieceEvent(call, 0, "a");
  SendPieceEvent(call, 0, "a");
  SendBytes(call,
            "data: {\"attempt\":\"other\",\"piece\":1,\"text\":\"x\"}\n\n");
  SendPieceEvent(call, 2, "c");
  SendPieceEvent(call, 1, "b");
  SendEndEvent(call, 3);

  BOOST_TEST(caller->mBody.find("\"abc\"") != std::string::npos);
  BOOST_TEST(GetFrontStatus(*mFront).mCounters.mDroppedPieces == 2U);
}

BOOST_AUTO_TEST_CASE(ResumesBrokenStreamOnAnotherEndpoint)
{
  Announce("engine-1", 9001);
  Announce("engine-2", 9002);
  const auto caller = Ask("check", "question", false);
  const auto first = OnlyStream();
  SendHead(first, 200);
  SendPieceEvent(first, 0, "a");
  End(first, wire::CallEnd::Broken);
  AdvanceTime(Millis(100));
  const auto second = OnlyStream();
  BOOST_TEST(mCalls[second].mCall.mAddress.mPort !=
             mCalls[first].mCall.mAddress.mPort);
  BOOST_TEST(SkippedPieces(second) == 1);
  SendHead(second, 200);
  SendPieceEvent(second, 1, "b");
  SendEndEvent(second, 2);

  BOOST_TEST(caller->mBody.find("\"ab\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(StreamWithoutEndMarkFails)
{
  Announce("engine-1", 9001);
  const auto caller = Ask("check", "question");
  const auto call = OnlyStream();
  SendHead(call, 200);
  SendPieceEvent(call, 0, "a");
  End(call, wire::CallEnd::Complete);
  AdvanceTime(Millis(70000));

  BOOST_TEST(caller->mIsFinished);
  BOOST_TEST(caller->mBody.find("[DONE]") == std::string::npos);
  BOOST_TEST(RanOf(caller->mBody) == "yes");
}

BOOST_AUTO_TEST_CASE(ReportsWhetherRequestRan)
{
  struct Row
  {
    const char* mName;
    wire::CallEnd mEnd;
    bool mHasHead;
    const char* mRan;
  };
  const auto rows = {
    Row{ "no connection", wire::CallEnd::NotConnected, false, "no" },
    Row{ "broken before the head", wire::CallEnd::Broken, false, "unknown" },
    Row{ "broken after the head", wire::CallEnd::Broken, true, "unknown" },
    Row{ "silent", wire::CallEnd::TimedOut, false, "unknown" },
    Row{ "head too large", wire::CallEnd::TooLarge, false, "unknown" },
  };
  for (const auto& row : rows) {
    auto fixture = FrontFixture{};
    fixture.Announce("engine-1", 9001);
    const auto caller = fixture.Ask("claim", "question");
    const auto call = fixture.OnlyStream();
    if (row.mHasHead) {
      fixture.SendHead(call, 200);
    }
    fixture.End(call, row.mEnd);
    fixture.AdvanceTime(Millis(70000));
    BOOST_TEST_CONTEXT(row.mName)
    {
      BOOST_TEST(RanOf(caller->mBody) == row.mRan);
      BOOST_TEST(caller->mAnswers == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(DoesNotRetryNonIdempotentWorkAfterFirstByte)
{
  Announce("engine-1", 9001);
  Announce("engine-2", 9002);
  const auto caller = Ask("claim", "question");
  End(OnlyStream(), wire::CallEnd::Broken);
  AdvanceTime(Millis(5000));

  BOOST_TEST(RanOf(caller->mBody) == "unknown");
  BOOST_TEST(GetFrontStatus(*mFront).mCounters.mAttempts == 1U);
}

BOOST_AUTO_TEST_CASE(EndsEveryRequestByItsAllowance)
{
  Announce("engine-1", 9001);
  const auto caller =
    Ask("check", "q", true, { { "x-cuminslip-allowance-ms", "3000" } });
  SendHead(OnlyStream(), 200);
  AdvanceTime(Millis(3020));

  BOOST_TEST(caller->mIsFinished);
  BOOST_TEST(OpenCalls("/v1/streams/").size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusesImmediatelyWithoutEndpoints)
{
  const auto caller = Ask("check", "q");

  BOOST_TEST(caller->mIsFinished);
  BOOST_TEST(RanOf(caller->mBody) == "no");
}

BOOST_AUTO_TEST_CASE(ResendsCancelsUntilConfirmed)
{
  Announce("engine-1", 9001);
  const auto caller = Ask("check", "q");
  SendHead(OnlyStream(), 200);
  caller->mIsGone = true;
  AdvanceTime(Millis(1000));
  auto cancels = OpenCalls("/v1/streams/");
  BOOST_REQUIRE(cancels.size() == 1);
  End(cancels[0], wire::CallEnd::Broken);
  AdvanceTime(Millis(1000));
  cancels = OpenCalls("/v1/streams/");
  BOOST_REQUIRE(cancels.size() == 1);
  BOOST_TEST(!IsIdle(*mFront));
  SendHead(cancels[0], 200);
  End(cancels[0], wire::CallEnd::Complete);

  BOOST_TEST(IsIdle(*mFront));
}

BOOST_AUTO_TEST_CASE(SendsNoNewWorkToLeavingEndpoint)
{
  Announce("engine-1", 9001);
  Announce("engine-1", 9001, true);
  Announce("engine-2", 9002);
  for (auto i = 0; i < 4; ++i) {
    Ask("check", "q");
  }
  for (const auto id : OpenCalls("/v1/streams")) {
    BOOST_TEST(mCalls[id].mCall.mAddress.mPort == 9002);
  }
}

BOOST_AUTO_TEST_CASE(KeepsTheHighestRevisionOfATemplate)
{
  Announce("engine-1", 9001);
  auto older = SampleTemplate();
  older.mRevision = 4;
  older.mTemplate.mModel = ModelName{ "old" };
  ApplyTemplates(*mFront, { older });
  Ask("check", "q");
  OnlyStream();
}

BOOST_AUTO_TEST_CASE(WaitingRequestUsesLatestTemplate)
{
  Announce("engine-1", 9001);
  const auto caller = Ask("check", "q");
  const auto call = OnlyStream();
  SendHead(call, 429);
  SendBytes(call, R"({"refused":true,"ran":"no","reason":"no_memory"})");
  End(call, wire::CallEnd::Complete);
  auto next = SampleTemplate();
  next.mRevision = 6;
  next.mTemplate.mVersion = ModelVersion{ "4" };
  ApplyTemplates(*mFront, { next });
  AdvanceTime(Millis(500));

  BOOST_TEST(OpenCalls("/v1/streams").empty());
  BOOST_TEST(caller->mStatus == 403);
  BOOST_TEST(RanOf(caller->mBody) == "no");
}

BOOST_AUTO_TEST_CASE(RequestRefusedByEngineWaitsForCapacity)
{
  Announce("engine-1", 9001);
  const auto caller = Ask("check", "q");
  const auto first = OnlyStream();
  SendHead(first, 429);
  SendBytes(first, R"({"refused":true,"ran":"no","reason":"no_memory"})");
  End(first, wire::CallEnd::Complete);
  AdvanceTime(Millis(500));
  BOOST_TEST(caller->mAnswers == 0);
  OnlyStream();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FencingTests)

BOOST_AUTO_TEST_CASE(SettingOverridesAnnouncedFencingSupport)
{
  struct Row
  {
    FencingRule mRule;
    std::optional<bool> mAnnounced;
    bool mIsChecked;
  };
  for (const auto& row : { Row{ FencingRule::Announced, std::nullopt, false },
                           Row{ FencingRule::Announced, false, false },
                           Row{ FencingRule::Announced, true, true },
                           Row{ FencingRule::Checked, std::nullopt, true },
                           Row{ FencingRule::Unchecked, true, false } }) {
    BOOST_TEST(ChecksFencing(row.mRule, row.mAnnounced) == row.mIsChecked);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AtMostOnceTests, FrontFixture)

BOOST_AUTO_TEST_CASE(RecordsClaimBeforeFirstByte)
{
  AnnounceService("booker-1", 9101);
  Book("{}", { { "idempotency-key", "k1" } });
  BOOST_TEST(OpenCalls("/").empty());
  BOOST_REQUIRE(mHeldReplies.size() == 1);
  BOOST_TEST(std::holds_alternative<ClaimRunCommand>(mProposed[0]));
  auto accepted = CommandResult{};
  accepted.mStatus = CommandStatus::Accepted;
  mHeldReplies[0](accepted);
  BOOST_TEST(OpenCalls("/rooms").size() == 1U);
}

BOOST_AUTO_TEST_CASE(RecordsTheOutcomeAndReplaysIt)
{
  AnnounceService("booker-1", 9101);
  mResults.push_back({ CommandStatus::Accepted });
  const auto caller = Book("{}", { { "idempotency-key", "k1" } });
  const auto call = OpenCalls("/rooms").at(0);
  SendHead(call, 201, { { "content-type", "text/plain" } });
  SendBytes(call, "room 7");
  End(call, wire::CallEnd::Complete);
  BOOST_TEST(caller->mStatus == 201);
  const auto& finish = std::get<FinishRunCommand>(mProposed.at(1));
  BOOST_TEST((finish.mOutcome == FinishRunCommand::Outcome::Finished));

  auto finished = CommandResult{};
  finished.mStatus = CommandStatus::Finished;
  finished.mBytes = finish.mAnswer;
  mResults.push_back(finished);
  const auto again = Book("{}", { { "idempotency-key", "k1" } });
  BOOST_TEST(again->mStatus == 201);
  BOOST_TEST(again->mBody == "room 7");
  BOOST_TEST(GetFrontStatus(*mFront).mCounters.mAttempts == 1U);
}

BOOST_AUTO_TEST_CASE(RecordsThatRunFinishedWhenAnswerIsTooLarge)
{
  AnnounceService("booker-1", 9101);
  mResults.push_back({ CommandStatus::Accepted });
  const auto caller = Book("{}", { { "idempotency-key", "k1" } });
  const auto call = OpenCalls("/rooms").at(0);
  SendHead(call, 200);
  SendBytes(call, std::string(100000, 'x'));
  End(call, wire::CallEnd::Complete);
  BOOST_TEST(caller->mBody.size() == 100000U);
  const auto& finish = std::get<FinishRunCommand>(mProposed.at(1));
  BOOST_TEST(finish.mAnswer.size() < 60 * 1024U);

  auto finished = CommandResult{};
  finished.mStatus = CommandStatus::Finished;
  finished.mBytes = finish.mAnswer;
  mResults.push_back(finished);
  const auto again = Book("{}", { { "idempotency-key", "k1" } });
  BOOST_TEST(RanOf(again->mBody) == "yes");
}

BOOST_AUTO_TEST_CASE(AnswersEachClaimResult)
{
  struct Row
  {
    CommandStatus mResult;
    int mStatus;
    const char* mRan;
  };
  const auto rows = { Row{ CommandStatus::OutcomeUnknown, 409, "unknown" },
                      Row{ CommandStatus::FingerprintMismatch, 422, "no" },
                      Row{ CommandStatus::NoQuorum, 503, "no" },
                      Row{ CommandStatus::Full, 429, "no" },
                      Row{ CommandStatus::DiskFull, 429, "no" } };
  AnnounceService("booker-1", 9101);
  for (const auto& row : rows) {
    mResults.push_back({ row.mResult });
    const auto caller = Book("{}", { { "idempotency-key", "k1" } });
    BOOST_TEST(caller->mStatus == row.mStatus);
    BOOST_TEST(RanOf(caller->mBody) == row.mRan);
    BOOST_TEST(OpenCalls("/rooms").empty());
  }
}

BOOST_AUTO_TEST_CASE(WaitsForARunInProgress)
{
  AnnounceService("booker-1", 9101);
  mResults.push_back({ CommandStatus::InProgress });
  auto finished = CommandResult{};
  finished.mStatus = CommandStatus::Finished;
  finished.mBytes =
    R"({"status":200,"type":"","body":"done","reason":"","whole":true})";
  mResults.push_back(finished);
  const auto caller = Book("{}", { { "idempotency-key", "k1" } });
  BOOST_TEST(caller->mAnswers == 0);
  AdvanceTime(Millis(1000));
  BOOST_TEST(caller->mBody == "done");
}

BOOST_AUTO_TEST_CASE(RecordsUnknownOutcome)
{
  AnnounceService("booker-1", 9101);
  AnnounceService("booker-2", 9102);
  mResults.push_back({ CommandStatus::Accepted });
  const auto caller = Book("{}", { { "idempotency-key", "k1" } });
  End(OpenCalls("/rooms").at(0), wire::CallEnd::Broken);
  BOOST_TEST(RanOf(caller->mBody) == "unknown");
  const auto& finish = std::get<FinishRunCommand>(mProposed.at(1));
  BOOST_TEST((finish.mOutcome == FinishRunCommand::Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(RetriesServiceThatRefusedBeforeRunning)
{
  AnnounceService("booker-1", 9101);
  mResults.push_back({ CommandStatus::Accepted });
  Book("{}", { { "idempotency-key", "k1" } });
  const auto call = OpenCalls("/rooms").at(0);
  SendHead(call, 503, { { "x-cuminslip-ran", "no" } });
  End(call, wire::CallEnd::Complete);
  AdvanceTime(Millis(500));
  BOOST_TEST(OpenCalls("/rooms").size() == 1U);
}

BOOST_AUTO_TEST_CASE(RecordedRunContinuesWithoutCaller)
{
  AnnounceService("booker-1", 9101);
  mResults.push_back({ CommandStatus::Accepted });
  const auto caller = Book("{}", { { "idempotency-key", "k1" } });
  caller->mIsGone = true;
  AdvanceTime(Millis(2000));
  const auto call = OpenCalls("/rooms").at(0);
  SendHead(call, 200);
  SendBytes(call, "ok");
  End(call, wire::CallEnd::Complete);
  const auto& finish = std::get<FinishRunCommand>(mProposed.at(1));
  BOOST_TEST((finish.mOutcome == FinishRunCommand::Outcome::Finished));
}

BOOST_AUTO_TEST_SUITE_END()
