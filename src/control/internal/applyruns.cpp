#include "control/internal/applyparts.h"

namespace cuminslip {

namespace {

auto
EraseRun(ControlState& aState, const AccountKey& aKey) -> void
{
  const auto it = aState.mRuns.find(aKey);
  if (it == aState.mRuns.end()) {
    return;
  }
  aState.mAnswerBytes -= it->second.mAnswer.size();
  aState.mRunOrder.erase({ it->second.mClaimedAt, aKey });
  aState.mRuns.erase(it);
}

auto
ResultOfRun(const ControlState& aState, const RunRecord& aRun) -> CommandResult
{
  if (aRun.mState == RunState::Finished) {
    return { CommandStatus::Finished, 0, {}, {}, aRun.mAnswer };
  }
  const auto isOverdue = aState.mClock >= aRun.mUnknownAt;
  if (aRun.mState == RunState::Unknown || isOverdue) {
    return { CommandStatus::OutcomeUnknown };
  }
  return { CommandStatus::InProgress };
}

} // namespace

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision /*aIndex*/,
          const ClaimRunCommand& aCommand) -> CommandResult
{
  if (!AreNamesValid(aBounds,
                     { aCommand.mAccount.mValue,
                       aCommand.mKey.mValue,
                       aCommand.mFingerprint,
                       aCommand.mToken })) {
    return { CommandStatus::Invalid };
  }
  const auto key = AccountKey{ aCommand.mAccount, aCommand.mKey.mValue };
  const auto it = aState.mRuns.find(key);
  if (it != aState.mRuns.end()) {
    if (it->second.mFingerprint != aCommand.mFingerprint) {
      return { CommandStatus::FingerprintMismatch };
    }
    const auto result = ResultOfRun(aState, it->second);
    const auto isResend = result.mStatus == CommandStatus::InProgress &&
                          it->second.mToken == aCommand.mToken;
    return isResend ? CommandResult{ CommandStatus::Accepted } : result;
  }
  if (aState.mRuns.size() >= aBounds.mMaxRuns) {
    return { CommandStatus::Full };
  }
  aState.mRuns[key] = {
    aCommand.mFingerprint, aCommand.mToken,
    RunState::Claimed,     {},
    aState.mClock,         aState.mClock + aCommand.mLongest
  };
  aState.mRunOrder.insert({ aState.mClock, key });
  return { CommandStatus::Accepted };
}

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision /*aIndex*/,
          const FinishRunCommand& aCommand) -> CommandResult
{
  const auto key = AccountKey{ aCommand.mAccount, aCommand.mKey.mValue };
  const auto it = aState.mRuns.find(key);
  if (it == aState.mRuns.end()) {
    return { CommandStatus::NotFound };
  }
  auto& run = it->second;
  if (run.mToken != aCommand.mToken) {
    return { CommandStatus::HeldByOther };
  }
  if (run.mState == RunState::Finished) {
    return { CommandStatus::Accepted };
  }
  if (aCommand.mOutcome == FinishRunCommand::Outcome::NotRun) {
    EraseRun(aState, key);
    return { CommandStatus::Accepted };
  }
  if (aCommand.mOutcome == FinishRunCommand::Outcome::Unknown) {
    run.mState = RunState::Unknown;
    return { CommandStatus::Accepted };
  }
  if (aCommand.mAnswer.size() > aBounds.mMaxAnswerBytes) {
    return { CommandStatus::Invalid };
  }
  if (aState.mAnswerBytes + aCommand.mAnswer.size() >
      aBounds.mMaxAllAnswerBytes) {
    return { CommandStatus::Full };
  }
  run.mState = RunState::Finished;
  run.mAnswer = aCommand.mAnswer;
  aState.mAnswerBytes += run.mAnswer.size();
  return { CommandStatus::Accepted };
}

auto
DropExpired(ControlState& aState, const ControlLimits& aBounds) -> void
{
  auto& publishes = aState.mPublishOrder;
  while (!publishes.empty() &&
         publishes.begin()->mClock + aBounds.mPublishRetention <=
           aState.mClock) {
    aState.mPublishes.erase(publishes.begin()->mKey);
    publishes.erase(publishes.begin());
  }
  auto& runs = aState.mRunOrder;
  while (!runs.empty() &&
         runs.begin()->mClock + aBounds.mRunRetention <= aState.mClock) {
    const auto key = runs.begin()->mKey;
    EraseRun(aState, key);
  }
  DropExpiredWorks(aState);
}

} // namespace cuminslip
