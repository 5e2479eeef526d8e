#include "base/digest.h"
#include "requests/internal/claims.h"
#include "requests/internal/delivery.h"
#include "requests/internal/filters.h"

namespace cuminslip::requests {

namespace {

constexpr auto kClaimPollInterval = Millis(250);
constexpr auto kNoQuorumRetry = Millis(2000);
/// Time after a request's deadline at which the control log treats its
/// unfinished run as unknown. The limit is needed because an instance that
/// crashes never records the outcome of its runs.
constexpr auto kClaimMargin = Millis(5000);

auto
ProposeClaim(Front& aFront, const Request& aRequest) -> void;

auto
SchedulePoll(Front& aFront, const RequestId& aId) -> void
{
  aFront.mPorts.mTimers.mStart(kClaimPollInterval, [&aFront, aId] {
    const auto* request = FindRequest(aFront, aId);
    if (request != nullptr && request->mStage == Stage::Claiming) {
      ProposeClaim(aFront, *request);
    }
  });
}

auto
RefuseClaim(Front& aFront,
            Request& aRequest,
            RefusalType aType,
            std::string aMessage,
            Ran aRan,
            std::optional<Millis> aRetryAfter = std::nullopt) -> void
{
  RefuseRequest(
    aFront, aRequest, { aType, std::move(aMessage), aRan, aRetryAfter });
}

auto
HandleClaimResult(Front& aFront,
                  const RequestId& aId,
                  const CommandResult& aResult) -> void
{
  auto* request = FindRequest(aFront, aId);
  if (request == nullptr || request->mStage != Stage::Claiming) {
    return;
  }
  switch (aResult.mStatus) {
    case CommandStatus::Accepted:
      request->mClaim->mIsHeld = true;
      AdvanceRequest(aFront, *request);
      return;
    case CommandStatus::InProgress:
      SchedulePoll(aFront, aId);
      return;
    case CommandStatus::Finished:
      ReplayRun(aFront, *request, aResult.mBytes);
      return;
    case CommandStatus::OutcomeUnknown:
      RefuseClaim(aFront,
                  *request,
                  RefusalType::OutcomeUnknown,
                  "an earlier run with this key has an unknown outcome",
                  Ran::Unknown);
      return;
    case CommandStatus::FingerprintMismatch:
      RefuseClaim(
        aFront,
        *request,
        RefusalType::IdempotencyConflict,
        "this idempotency key was already used for a different request",
        Ran::No);
      return;
    case CommandStatus::Full:
    case CommandStatus::DiskFull:
      RefuseClaim(aFront,
                  *request,
                  RefusalType::Overloaded,
                  "there is no space to record this call",
                  Ran::No,
                  kNoQuorumRetry);
      return;
    default:
      RefuseClaim(aFront,
                  *request,
                  RefusalType::NoQuorum,
                  "this call could not be recorded",
                  Ran::No,
                  kNoQuorumRetry);
  }
}

auto
ProposeClaim(Front& aFront, const Request& aRequest) -> void
{
  const auto left = aRequest.mFacts.mDeadline - aFront.mPorts.mNow();
  const auto longest = std::chrono::duration_cast<Millis>(left) + kClaimMargin;
  auto command = ClaimRunCommand{};
  command.mAccount = aRequest.mFacts.mAccount;
  command.mKey = aRequest.mClaim->mKey;
  command.mFingerprint = aRequest.mClaim->mFingerprint;
  command.mToken = aRequest.mClaim->mToken;
  command.mLongest = static_cast<LogMillis>(longest.count());
  aFront.mPorts.mControl.mPropose(
    std::move(command),
    [&aFront, id = aRequest.mFacts.mId](const CommandResult& aResult) {
      HandleClaimResult(aFront, id, aResult);
    });
}

auto
FinishClaim(Front& aFront,
            Request& aRequest,
            FinishRunCommand::Outcome aOutcome,
            std::string aAnswer) -> void
{
  if (!aRequest.mClaim || !aRequest.mClaim->mIsHeld) {
    return;
  }
  aRequest.mClaim->mIsHeld = false;
  auto command = FinishRunCommand{};
  command.mAccount = aRequest.mFacts.mAccount;
  command.mKey = aRequest.mClaim->mKey;
  command.mToken = aRequest.mClaim->mToken;
  command.mOutcome = aOutcome;
  command.mAnswer = std::move(aAnswer);
  aFront.mPorts.mControl.mPropose(std::move(command),
                                  [](const CommandResult&) {});
}

} // namespace

auto
ClaimRun(Front& aFront, Request& aRequest) -> FilterResult
{
  const auto key = wire::FindHeader(aRequest.mHttp.mHeaders, "idempotency-key");
  if (aRequest.mFacts.mIsIdempotent || !key || key->empty()) {
    return FilterResult::Continue;
  }
  const auto& http = aRequest.mHttp;
  auto claim = RunClaim{};
  claim.mKey = IdempotencyKey{ *key };
  claim.mFingerprint = Sha256Hex(http.mMethod + " " + http.mPath + "?" +
                                 http.mQuery + "\n" + http.mBody.Bytes());
  claim.mToken = MakeUniqueId(aFront, "run");
  aRequest.mClaim = claim;
  aRequest.mStage = Stage::Claiming;
  ProposeClaim(aFront, aRequest);
  return FilterResult::Wait;
}

auto
RecordOutcome(Front& aFront, Request& aRequest, std::string aAnswer) -> void
{
  FinishClaim(
    aFront, aRequest, FinishRunCommand::Outcome::Finished, std::move(aAnswer));
}

auto
RecordFailure(Front& aFront, Request& aRequest, Ran aRan) -> void
{
  const auto outcome = aRan == Ran::No ? FinishRunCommand::Outcome::NotRun
                                       : FinishRunCommand::Outcome::Unknown;
  FinishClaim(aFront, aRequest, outcome, {});
}

} // namespace cuminslip::requests
