#include "peers/internal/founding.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace cuminslip {

namespace {

constexpr auto kFirstLimit = Millis(1000);
constexpr auto kRoundsPerLimit = 3;
/// As for the messages of the control log: a slower link can't carry it.
constexpr auto kMaxLimit = Millis(3000);

auto
ToText(SurveyOutcome aOutcome) -> std::string_view
{
  switch (aOutcome) {
    case SurveyOutcome::NoLog:
      return "has no log";
    case SurveyOutcome::HasLog:
      return "has a log";
    case SurveyOutcome::Answered:
      return "answered";
    case SurveyOutcome::NotControl:
      return "is no control instance";
    case SurveyOutcome::TimedOut:
      return "timed out";
    case SurveyOutcome::Disconnected:
      return "disconnected";
    case SurveyOutcome::Refused:
      return "refused";
  }
  return "";
}

/// Why the instance may not found, whatever the others answer; empty if it may.
auto
FindObstacle(const FoundingSurvey& aSurvey) -> std::string
{
  const auto& named = aSurvey.mNamed;
  if (std::find(named.begin(), named.end(), aSurvey.mInstance) == named.end()) {
    return "not among the control instances of the settings";
  }
  if (aSurvey.mInstance != *std::min_element(named.begin(), named.end())) {
    return "another control instance is the first by name";
  }
  return aSurvey.mMayFound
           ? ""
           : "neither the settings nor the data folder permit founding";
}

} // namespace

auto
DecideFounding(const FoundingSurvey& aSurvey) -> FoundingDecision
{
  auto decision = FoundingDecision{};
  for (const auto& it : aSurvey.mAnswers) {
    if (it.mOutcome == SurveyOutcome::HasLog) {
      decision.mWithLog.push_back(it.mAddress);
    }
  }
  if (!decision.mWithLog.empty()) {
    decision.mStep = FoundingStep::Join;
    return decision;
  }
  decision.mReason = FindObstacle(aSurvey);
  if (!decision.mReason.empty()) {
    return decision;
  }
  const auto isComplete = std::all_of(
    aSurvey.mAnswers.begin(), aSurvey.mAnswers.end(), [](const auto& aItem) {
      return aItem.mOutcome == SurveyOutcome::NoLog;
    });
  if (!isComplete) {
    decision.mReason = "not all other control instances have answered";
    return decision;
  }
  decision.mStep = FoundingStep::Found;
  return decision;
}

auto
SurveyLimit(int aRounds) -> Millis
{
  return std::min(kFirstLimit * (1 + aRounds / kRoundsPerLimit), kMaxLimit);
}

auto
HasTimedOut(const FoundingSurvey& aSurvey) -> bool
{
  return std::any_of(
    aSurvey.mAnswers.begin(), aSurvey.mAnswers.end(), [](const auto& aItem) {
      return aItem.mOutcome == SurveyOutcome::TimedOut;
    });
}

auto
LeadersNotAsked(const FoundingSurvey& aSurvey) -> std::vector<std::string>
{
  auto known = std::set<std::string>{};
  for (const auto& it : aSurvey.mAnswers) {
    known.insert(it.mAddress);
  }
  auto leaders = std::vector<std::string>{};
  for (const auto& it : aSurvey.mAnswers) {
    if (!it.mLeader.empty() && known.insert(it.mLeader).second) {
      leaders.push_back(it.mLeader);
    }
  }
  return leaders;
}

auto
FormatAnswers(const std::vector<SurveyAnswer>& aAnswers) -> std::string
{
  auto text = std::string{};
  for (const auto& it : aAnswers) {
    text += text.empty() ? "" : "; ";
    text += it.mAddress + " " + std::string(ToText(it.mOutcome)) + " in " +
            std::to_string(it.mTime.count()) + " ms";
    text += it.mDetail.empty() ? "" : " (" + it.mDetail + ")";
  }
  return text;
}

} // namespace cuminslip
