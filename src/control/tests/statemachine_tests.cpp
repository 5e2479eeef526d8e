#include "control/controlcodec.h"
#include "control/statemachine.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

using RunOutcome = FinishRunCommand::Outcome;

/// A state machine with its own log index and clock.
struct Machine
{
  ControlState mState;
  ControlLimits mBounds;
  Revision mIndex = 0;
  LogMillis mClock = 1000;

  auto operator()(const Command& aCommand) -> CommandResult
  {
    return ApplyCommand(mState, mBounds, ++mIndex, mClock, aCommand);
  }

  /// Encodes and decodes the state, as a snapshot does.
  auto Reload() -> void
  {
    auto again = CollectOutcome<ControlState>(
      [&] { return DecodeControlState(EncodeControlState(mState)); });
    BOOST_REQUIRE(again.mValue.has_value());
    BOOST_TEST((*again.mValue == mState));
    mState = std::move(*again.mValue);
  }
};

auto
Publish(Revision aExpected, std::string aRequest, std::string aText) -> Command
{
  return PublishCommand{
    { "ana" }, aExpected, { std::move(aRequest) }, std::move(aText)
  };
}

auto
Claim(std::string aToken, std::string aBody = "body") -> Command
{
  return ClaimRunCommand{
    { "ana" }, { "key" }, std::move(aBody), std::move(aToken), 5000
  };
}

auto
Finish(std::string aToken, RunOutcome aOutcome, std::string aAnswer = "")
  -> Command
{
  return FinishRunCommand{
    { "ana" }, { "key" }, std::move(aToken), aOutcome, std::move(aAnswer)
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(StateMachineTests)

BOOST_AUTO_TEST_CASE(TheHighestRoutingVersionIsInForce)
{
  auto machine = Machine{};
  const auto publish = [&](std::uint64_t aVersion, const char* aText) {
    return machine(PublishRoutingCommand{ aVersion, aText });
  };
  const auto inForce = [&] {
    return machine.mState.mTemplates.at(kRoutingAccount);
  };

  BOOST_TEST((publish(7, "seven").mStatus == CommandStatus::Accepted));
  const auto revision = inForce().mRevision;
  BOOST_TEST((publish(7, "other").mStatus == CommandStatus::Accepted));
  BOOST_TEST((publish(3, "three").mStatus == CommandStatus::Accepted));
  BOOST_TEST(inForce().mDocument == "seven");
  BOOST_TEST(inForce().mRevision == revision,
             "followers would be notified again");
  publish(12, "twelve");
  machine.Reload();
  BOOST_TEST(inForce().mDocument == "twelve");
  BOOST_TEST(inForce().mVersion == 12U);
  BOOST_TEST(inForce().mRevision > revision);
}

BOOST_AUTO_TEST_CASE(RoutingDocumentsAreBoundedAndApartFromTemplates)
{
  auto machine = Machine{};
  machine.mBounds.mMaxRoutingBytes = 4;
  BOOST_TEST((machine(PublishRoutingCommand{ 1, "12345" }).mStatus ==
              CommandStatus::Invalid));
  BOOST_TEST((machine(PublishRoutingCommand{ 0, "1" }).mStatus ==
              CommandStatus::Invalid));
  BOOST_TEST(
    (machine(PublishCommand{ kRoutingAccount, 0, { "r" }, "x" }).mStatus ==
     CommandStatus::Invalid));
}

BOOST_AUTO_TEST_CASE(PublishesConditionallyAndAnswersResends)
{
  auto apply = Machine{};
  const auto first = apply(Publish(0, "r1", "one"));
  const auto conflict = apply(Publish(0, "r2", "two"));
  const auto second = apply(Publish(first.mRevision, "r3", "three"));
  apply.Reload();

  BOOST_TEST((first.mStatus == CommandStatus::Accepted));
  BOOST_TEST((conflict.mStatus == CommandStatus::RevisionConflict));
  BOOST_TEST(conflict.mBytes == "one");
  BOOST_TEST((second.mStatus == CommandStatus::Accepted));
  BOOST_TEST((apply(Publish(0, "r1", "one")) == first));
  BOOST_TEST((apply(Publish(0, "r2", "two")) == conflict));
  BOOST_TEST((apply(Publish(0, "r1", "else")).mStatus ==
              CommandStatus::FingerprintMismatch));
  BOOST_TEST(HistoryOf(apply.mState, { "ana" }).size() == 2U);
  BOOST_TEST(HistoryOf(apply.mState, { "ana" }).front().mDocument == "three");
  BOOST_TEST(TemplateRevision(apply.mState) == second.mRevision);
}

BOOST_AUTO_TEST_CASE(TheResendTableIsBounded)
{
  auto apply = Machine{};
  apply.mBounds.mMaxPublishRecords = 3;
  auto revision = Revision{ 0 };
  for (auto n = 0; n < 20; ++n) {
    revision = apply(Publish(revision, std::to_string(n), "x")).mRevision;
  }
  BOOST_TEST(apply.mState.mPublishes.size() == 3U);
  BOOST_TEST(HistoryOf(apply.mState, { "ana" }).size() == 8U);
  apply.mClock += apply.mBounds.mPublishRetention + 1;
  apply(Claim("t"));
  BOOST_TEST(apply.mState.mPublishes.empty());
}

BOOST_AUTO_TEST_CASE(ARunHappensAtMostOnce)
{
  auto apply = Machine{};
  BOOST_TEST((apply(Claim("one")).mStatus == CommandStatus::Accepted));
  BOOST_TEST((apply(Claim("one")).mStatus == CommandStatus::Accepted));
  BOOST_TEST((apply(Claim("two")).mStatus == CommandStatus::InProgress));
  BOOST_TEST((apply(Claim("two", "else")).mStatus ==
              CommandStatus::FingerprintMismatch));
  BOOST_TEST((apply(Finish("two", RunOutcome::Finished, "x")).mStatus ==
              CommandStatus::HeldByOther));
  BOOST_TEST((apply(Finish("one", RunOutcome::Finished, "done")).mStatus ==
              CommandStatus::Accepted));
  apply.Reload();
  const auto answer = apply(Claim("two"));
  BOOST_TEST((answer.mStatus == CommandStatus::Finished));
  BOOST_TEST(answer.mBytes == "done");
  BOOST_TEST((apply(Claim("one")).mStatus == CommandStatus::Finished));
}

BOOST_AUTO_TEST_CASE(AnUnfinishedRunBecomesUnknownAndNeverRunsAgain)
{
  auto apply = Machine{};
  apply(Claim("one"));
  apply.mClock += 5000;
  BOOST_TEST((apply(Claim("one")).mStatus == CommandStatus::OutcomeUnknown));
  BOOST_TEST((apply(Claim("two")).mStatus == CommandStatus::OutcomeUnknown));
  apply(Finish("one", RunOutcome::Finished, "late"));
  BOOST_TEST(apply(Claim("two")).mBytes == "late");
  apply.mClock += apply.mBounds.mRunRetention;
  BOOST_TEST((apply(Claim("three")).mStatus == CommandStatus::Accepted));
}

BOOST_AUTO_TEST_CASE(ACallThatDidNotRunFreesItsKey)
{
  auto apply = Machine{};
  apply(Claim("one"));
  apply(Finish("one", RunOutcome::NotRun));
  BOOST_TEST((apply(Claim("two")).mStatus == CommandStatus::Accepted));
  apply(Finish("two", RunOutcome::Unknown));
  BOOST_TEST((apply(Claim("three")).mStatus == CommandStatus::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(RunsAreBoundedWithoutForgetting)
{
  auto apply = Machine{};
  apply.mBounds.mMaxRuns = 1;
  apply.mBounds.mMaxAllAnswerBytes = 4;
  apply(Claim("one"));
  const auto other =
    ClaimRunCommand{ { "ana" }, { "key2" }, "body", "two", 5000 };
  BOOST_TEST((apply(other).mStatus == CommandStatus::Full));
  BOOST_TEST((apply(Finish("one", RunOutcome::Finished, "12345")).mStatus ==
              CommandStatus::Full));
  BOOST_TEST((apply(Finish("one", RunOutcome::Finished, "1234")).mStatus ==
              CommandStatus::Accepted));
}

BOOST_AUTO_TEST_CASE(ALeaseHasOneHolderAndARisingFencingNumber)
{
  auto apply = Machine{};
  const auto lease = [](std::string aHolder) {
    return LeaseCommand{ "orderer", std::move(aHolder), 1000 };
  };
  const auto first = apply(lease("a"));
  const auto refused = apply(lease("b"));
  apply.mClock += 900;
  const auto renewed = apply(lease("a"));
  apply.mClock += 1000;
  apply.Reload();
  const auto second = apply(lease("b"));

  BOOST_TEST((refused.mStatus == CommandStatus::HeldByOther));
  BOOST_TEST(refused.mHolder == "a");
  BOOST_TEST(renewed.mRevision == first.mRevision);
  BOOST_TEST((second.mStatus == CommandStatus::Accepted));
  BOOST_TEST(second.mRevision > first.mRevision);
}

BOOST_AUTO_TEST_CASE(WorkIsSubmittedTakenFinishedAndFetched)
{
  auto apply = Machine{};
  const auto submit = [](std::uint64_t aOffset, std::string aPiece) {
    return SubmitWorkCommand{ { "ana" },         "w1", "print", 10, aOffset,
                              std::move(aPiece), 60000 };
  };
  const auto key = AccountKey{ { "ana" }, "w1" };
  BOOST_TEST((apply(submit(0, "01234")).mStatus == CommandStatus::Accepted));
  BOOST_TEST((apply(TakeWorkCommand{ "e1", "t1", 1000 }).mStatus ==
              CommandStatus::NotFound));
  BOOST_TEST((apply(submit(7, "789")).mStatus == CommandStatus::Invalid));
  apply(submit(0, "01234"));
  apply(submit(5, "56789"));
  const auto taken = apply(TakeWorkCommand{ "e1", "t1", 1000 });
  BOOST_TEST(taken.mBytes == "0123456789");
  BOOST_TEST((apply(TakeWorkCommand{ "e1", "t1", 1000 }) == taken));
  BOOST_TEST((apply(TakeWorkCommand{ "e2", "t2", 1000 }).mStatus ==
              CommandStatus::NotFound));
  apply(FinishWorkCommand{ { "ana" }, "w1", "t1", 4, 0, "ab" });
  apply.mClock += 1000;
  apply.Reload();
  BOOST_TEST(apply(TakeWorkCommand{ "e2", "t2", 1000 }).mWork == "w1");
  BOOST_TEST((apply(RenewWorkCommand{ { "ana" }, "w1", "t1", 1000 }).mStatus ==
              CommandStatus::HeldByOther));
  BOOST_TEST(
    (FetchWorkResult(apply.mState, key).mStatus == CommandStatus::InProgress));
  apply(FinishWorkCommand{ { "ana" }, "w1", "t2", 3, 0, "abc" });
  BOOST_TEST(FetchWorkResult(apply.mState, key).mBytes == "abc");
  BOOST_TEST((FetchWorkResult(apply.mState, { { "bea" }, "w1" }).mStatus ==
              CommandStatus::NotFound));
  apply.mClock += 60000;
  apply(Claim("t"));
  BOOST_TEST(
    (FetchWorkResult(apply.mState, key).mStatus == CommandStatus::NotFound));
  BOOST_TEST(apply.mState.mWorkBytes == 0U);
}

BOOST_AUTO_TEST_CASE(SubmittedBytesAreBounded)
{
  auto apply = Machine{};
  apply.mBounds.mMaxAllWorkBytes = 2000;
  const auto submit = [](std::string aName) {
    return SubmitWorkCommand{
      { "ana" }, std::move(aName), "print", 1000, 0, "x", 60000
    };
  };
  BOOST_TEST((apply(submit("w1")).mStatus == CommandStatus::Accepted));
  BOOST_TEST((apply(submit("w2")).mStatus == CommandStatus::Full));
}

BOOST_AUTO_TEST_SUITE_END()
