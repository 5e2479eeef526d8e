#include "peers/internal/founding.h"

#include "control/tests/fakedisk.h"
#include "peers/internal/foundingpermit.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

/// The survey of the first of three seeds whose others answered aOutcomes.
auto
SurveyOf(std::initializer_list<SurveyOutcome> aOutcomes) -> FoundingSurvey
{
  auto survey =
    FoundingSurvey{ { "a" }, true, { { "b" }, { "a" }, { "c" } }, {} };
  for (const auto it : aOutcomes) {
    const auto* address = survey.mAnswers.empty() ? "b" : "c";
    survey.mAnswers.push_back({ address, it, Millis(3), "" });
  }
  return survey;
}

auto
StepOf(const FoundingSurvey& aSurvey) -> FoundingStep
{
  return DecideFounding(aSurvey).mStep;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FoundingTests)

/// Guards against two logs: a silent instance may have one.
BOOST_AUTO_TEST_CASE(FoundsOnlyOnceAllOthersAnswerThatTheyHaveNone)
{
  using enum SurveyOutcome;
  BOOST_TEST((StepOf(SurveyOf({ NoLog, NoLog })) == FoundingStep::Found));
  for (const auto it : { NotControl, TimedOut, Disconnected, Refused }) {
    BOOST_TEST((StepOf(SurveyOf({ NoLog, it })) == FoundingStep::Wait));
    BOOST_TEST((StepOf(SurveyOf({ it, HasLog })) == FoundingStep::Join));
  }
}

/// Guards against two founders.
BOOST_AUTO_TEST_CASE(OnlyTheFirstNamedInstanceThatMayFoundFounds)
{
  const auto survey = SurveyOf({ SurveyOutcome::NoLog, SurveyOutcome::NoLog });
  for (const auto* name : { "b", "c", "0" }) {
    auto other = survey;
    other.mInstance = { name };
    BOOST_TEST((StepOf(other) == FoundingStep::Wait));
  }
  auto forbidden = survey;
  forbidden.mMayFound = false;
  BOOST_TEST((StepOf(forbidden) == FoundingStep::Wait));
}

BOOST_AUTO_TEST_CASE(JoinsAllThatHaveALog)
{
  const auto decision = DecideFounding(
    SurveyOf({ SurveyOutcome::TimedOut, SurveyOutcome::HasLog }));

  BOOST_TEST((decision.mWithLog == std::vector<std::string>{ "c" }));
}

/// Guards against an instance that never joins since no seed leads.
BOOST_AUTO_TEST_CASE(AsksALeaderThatIsNotNamedOnce)
{
  auto survey = SurveyOf({ SurveyOutcome::HasLog, SurveyOutcome::HasLog });
  survey.mAnswers.front().mLeader = "d";
  survey.mAnswers.back().mLeader = "d";
  const auto leaders = LeadersNotAsked(survey);
  survey.mAnswers.front().mLeader = "c";
  survey.mAnswers.back().mLeader = "c";

  BOOST_TEST((leaders == std::vector<std::string>{ "d" }));
  BOOST_TEST(LeadersNotAsked(survey).empty());
}

BOOST_AUTO_TEST_CASE(FormatsWhoAnsweredWhatAndWhy)
{
  auto survey = SurveyOf({ SurveyOutcome::NoLog, SurveyOutcome::Refused });
  survey.mAnswers.back().mDetail = "wrong peer key";

  BOOST_TEST(FormatAnswers(survey.mAnswers) ==
             "b has no log in 3 ms; c refused in 3 ms (wrong peer key)");
}

/// Guards against a fleet without a log after its first seed restarted before
/// it founded, and against two logs after a disk was emptied or seeds changed.
BOOST_AUTO_TEST_CASE(APermitToFoundLastsAsLongAsTheDiskAndTheNamedInstances)
{
  auto disk = FakeDisk{};
  const auto files = disk.Files();
  const auto named = std::vector<InstanceId>{ { "a" }, { "b" } };

  BOOST_TEST(!KeepFoundingPermit(files, "d", named, false));
  BOOST_TEST(KeepFoundingPermit(files, "d", named, true));
  BOOST_TEST(KeepFoundingPermit(files, "d", { { "b" }, { "a" } }, false));
  BOOST_TEST(!KeepFoundingPermit(files, "d", { { "a" }, { "c" } }, false));
  BOOST_TEST(!KeepFoundingPermit(files, "emptied", named, false));
}

BOOST_AUTO_TEST_SUITE_END()
