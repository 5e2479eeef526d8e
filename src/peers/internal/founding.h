#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <string>
#include <vector>

/// How a control instance whose disk belongs to no control log founds one or
/// joins one. Addresses the start of a fleet, during which control instances
/// start late, restart, or can't reach each other for a time. All functions are
/// pure and thread safe.
namespace cuminslip {

/// How the call that asks another control instance for its control log ended.
enum class SurveyOutcome : std::uint8_t
{
  NoLog,
  HasLog,
  /// It answered a join request, without a question about its log before.
  Answered,
  /// It answered, but has no data folder.
  NotControl,
  /// No answer within the time limit.
  TimedOut,
  /// No connection, or the connection ended.
  Disconnected,
  /// It refused the session or the call.
  Refused
};

/// What one other control instance answered.
struct SurveyAnswer
{
  std::string mAddress;
  SurveyOutcome mOutcome = SurveyOutcome::TimedOut;
  Millis mTime{ 0 };
  /// Why there is no answer, or what a join request was answered.
  std::string mDetail;
  /// Address of the leader that the answer to a join request named.
  std::string mLeader;

  auto operator==(const SurveyAnswer&) const -> bool = default;
};

/// Input of the decision: one round of questions.
struct FoundingSurvey
{
  InstanceId mInstance;
  bool mMayFound = false;
  /// The control instances of the settings.
  std::vector<InstanceId> mNamed;
  /// One for each other control instance that is known.
  std::vector<SurveyAnswer> mAnswers;

  auto operator==(const FoundingSurvey&) const -> bool = default;
};

enum class FoundingStep : std::uint8_t
{
  Wait,
  Found,
  /// Ask the instances that have a control log to be added to it.
  Join
};

struct FoundingDecision
{
  FoundingStep mStep = FoundingStep::Wait;
  /// Addresses of the instances with a control log, if the step is Join.
  std::vector<std::string> mWithLog;
  /// Why the instance waits; empty otherwise.
  std::string mReason;

  auto operator==(const FoundingDecision&) const -> bool = default;
};

/// Decides what follows from a round of questions. At most one instance founds:
/// the first by name of those in the settings, which must be the same on all of
/// them, and only once all others have answered that they have no log.
auto
DecideFounding(const FoundingSurvey& aSurvey) -> FoundingDecision;

/// Returns the time limit of the calls of a round after aRounds rounds in a row
/// with an answer that timed out. Short at first, as a machine without power
/// drops the attempt to connect; longer later, as a new session over late links
/// or to a busy instance takes three round trips, and a call that times out
/// drops it.
auto
SurveyLimit(int aRounds) -> Millis;

/// Addresses of leaders that answers named and that were not asked themselves:
/// the leader need not be among the control instances of the settings.
auto
LeadersNotAsked(const FoundingSurvey& aSurvey) -> std::vector<std::string>;

auto
HasTimedOut(const FoundingSurvey& aSurvey) -> bool;

/// The answers as text for a log line, "ADDRESS OUTCOME in N ms" each.
auto
FormatAnswers(const std::vector<SurveyAnswer>& aAnswers) -> std::string;

} // namespace cuminslip
