#include "peers/internal/proposer.h"

#include "control/controlcodec.h"
#include "peers/internal/rpcparts.h"

namespace cuminslip {

namespace {

constexpr auto kCallLimit = Millis(2500);
constexpr auto kRetryDelay = Millis(100);
constexpr auto kReadLimit = Millis(1000);
constexpr auto kReadPoll = Millis(20);

auto
TryAttempt(PeerContext& aContext, const std::shared_ptr<Attempt>& aAttempt)
  -> void;

auto
RetryLater(PeerContext& aContext, const std::shared_ptr<Attempt>& aAttempt)
  -> void
{
  if (aContext.mIsStopping) {
    return;
  }
  aContext.mTasks.add(
    aContext.mTimer.afterDelay(kRetryDelay.count() * kj::MILLISECONDS)
      .then(
        [&aContext, attempt = aAttempt] { TryAttempt(aContext, attempt); }));
}

auto
FinishAttempt(PeerContext& aContext,
              const std::shared_ptr<Attempt>& aAttempt,
              const ProposalResult& aResult) -> void
{
  if (aResult.mOutcome == LeaderOutcome::Done) {
    aAttempt->mReply->Send(aResult.mResult);
  } else if (aResult.mOutcome == LeaderOutcome::DiskFull) {
    aAttempt->mReply->Send({ CommandStatus::DiskFull });
  } else {
    RetryLater(aContext, aAttempt);
  }
}

/// The leader as last told, else the control instances in turn.
auto
NextAddress(PeerContext& aContext, Attempt& aAttempt) -> std::string
{
  if (aContext.mControl && !aContext.mControl->LeaderAddress().empty()) {
    return aContext.mControl->LeaderAddress();
  }
  if (!aContext.mLeaderHint.empty()) {
    return aContext.mLeaderHint;
  }
  const auto controls = OtherControls(aContext);
  return controls.empty() ? std::string{}
                          : controls[aAttempt.mNextControl++ % controls.size()];
}

auto
CallLeader(PeerContext& aContext,
           const std::shared_ptr<Attempt>& aAttempt,
           const std::string& aAddress) -> void
{
  auto request = aContext.mLinks.SessionAt(aAddress).proposeRequest();
  request.setCommand(ToData(aAttempt->mCommand));
  using Response = capnp::Response<schema::Session::ProposeResults>;
  auto done = [&aContext, attempt = aAttempt](Response aResponse) {
    const auto outcome = FromSchema(aResponse.getOutcome());
    aContext.mLeaderHint = FromText(aResponse.getLeader());
    auto result = CollectOutcome<CommandResult>(
      [&] { return DecodeCommandResult(FromData(aResponse.getResult())); });
    const auto isRead = outcome != LeaderOutcome::Done || result.mValue;
    FinishAttempt(aContext,
                  attempt,
                  { isRead ? outcome : LeaderOutcome::NotLeader,
                    result.mValue.value_or(CommandResult{}) });
  };
  auto failed = [&aContext, attempt = aAttempt](kj::Exception&&) {
    aContext.mLeaderHint.clear();
    RetryLater(aContext, attempt);
  };
  kj::Promise<Response> sent = request.send();
  aContext.mTasks.add(
    aContext.mLinks.WithLimit(aAddress, kCallLimit, kj::mv(sent))
      .then(kj::mv(done), kj::mv(failed)));
}

auto
TryAttempt(PeerContext& aContext, const std::shared_ptr<Attempt>& aAttempt)
  -> void
{
  if (aAttempt->mReply->IsSent()) {
    return;
  }
  if (aContext.mNow() >= aAttempt->mDeadline) {
    aAttempt->mReply->Send({ CommandStatus::NoQuorum });
    return;
  }
  if (aContext.mControl && aContext.mControl->IsLeader()) {
    aContext.mControl->Propose(
      aAttempt->mCommand,
      [&aContext, attempt = aAttempt](const ProposalResult& aResult) {
        FinishAttempt(aContext, attempt, aResult);
      });
    return;
  }
  const auto address = NextAddress(aContext, *aAttempt);
  if (address.empty() || address == aContext.mSettings.mAddress) {
    RetryLater(aContext, aAttempt);
    return;
  }
  CallLeader(aContext, aAttempt, address);
}

/// Replies at the deadline, whatever a call does.
template<class Value>
auto
LimitReply(PeerContext& aContext,
           Millis aLimit,
           const OnceReplyPointer<Value>& aReply,
           Value aLate) -> void
{
  auto late = std::weak_ptr(aReply);
  aContext.mTasks.add(
    aContext.mTimer.afterDelay(aLimit.count() * kj::MILLISECONDS)
      .then([late, value = std::move(aLate)] {
        if (const auto reply = late.lock()) {
          reply->Send(value);
        }
      }));
}

/// Replies once the templates here are no older than aRevision.
auto
WaitForRevision(PeerContext& aContext,
                Revision aRevision,
                TimePoint aDeadline,
                const OnceReplyPointer<TemplateReading>& aReply) -> void
{
  const auto isCurrent = aContext.mCache.mRevision >= aRevision;
  if (isCurrent || aContext.mNow() >= aDeadline) {
    auto reading = TemplateReading{ {}, isCurrent };
    for (const auto& [account, it] : aContext.mCache.mTemplates) {
      reading.mTemplates.push_back(it);
    }
    aReply->Send(reading);
    return;
  }
  aContext.mTasks.add(
    aContext.mTimer.afterDelay(kReadPoll.count() * kj::MILLISECONDS)
      .then([&aContext, aRevision, aDeadline, reply = aReply] {
        WaitForRevision(aContext, aRevision, aDeadline, reply);
      }));
}

auto
ReplyAsIs(PeerContext& aContext,
          const OnceReplyPointer<TemplateReading>& aReply) -> void
{
  auto reading = TemplateReading{};
  for (const auto& [account, it] : aContext.mCache.mTemplates) {
    reading.mTemplates.push_back(it);
  }
  aReply->Send(reading);
}

auto
AskHistory(PeerContext& aContext,
           std::vector<std::string> aAddresses,
           const AccountId& aAccount,
           const OnceReplyPointer<TemplateReading>& aReply) -> void
{
  if (aAddresses.empty()) {
    aReply->Send({});
    return;
  }
  const auto address = aAddresses.front();
  aAddresses.erase(aAddresses.begin());
  auto request = aContext.mLinks.SessionAt(address).historyRequest();
  request.setAccount(ToText(aAccount.mValue));
  using Response = capnp::Response<schema::Session::HistoryResults>;
  kj::Promise<Response> sent = request.send();
  auto next = [&aContext, aAddresses, aAccount, aReply] {
    AskHistory(aContext, aAddresses, aAccount, aReply);
  };
  aContext.mTasks.add(
    aContext.mLinks.WithLimit(address, kReadLimit, kj::mv(sent))
      .then(
        [aReply, next](Response aResponse) {
          if (!aResponse.getKnown()) {
            next();
            return;
          }
          aReply->Send({ ReadPulled(aResponse.getTemplates()), true });
        },
        [next](kj::Exception&&) { next(); }));
}

} // namespace

auto
ProposeCommand(PeerContext& aContext,
               std::string aCommand,
               const OnceReplyPointer<CommandResult>& aReply) -> void
{
  const auto limit = aContext.mSettings.mProposalTime;
  LimitReply(aContext, limit, aReply, CommandResult{ CommandStatus::NoQuorum });
  const auto attempt = std::make_shared<Attempt>(
    Attempt{ std::move(aCommand), aContext.mNow() + limit, aReply, 0 });
  TryAttempt(aContext, attempt);
}

auto
FetchFromLeader(PeerContext& aContext,
                const AccountKey& aWork,
                const OnceReplyPointer<CommandResult>& aReply) -> void
{
  if (aContext.mControl && aContext.mControl->HasLease()) {
    aReply->Send(FetchWorkResult(aContext.mControl->State(), aWork));
    return;
  }
  auto attempt = Attempt{};
  const auto address = NextAddress(aContext, attempt);
  if (address.empty()) {
    return;
  }
  auto request = aContext.mLinks.SessionAt(address).fetchWorkRequest();
  request.setAccount(ToText(aWork.mAccount.mValue));
  request.setWork(ToText(aWork.mName));
  using Response = capnp::Response<schema::Session::FetchWorkResults>;
  kj::Promise<Response> sent = request.send();
  const auto isHinted = !aContext.mLeaderHint.empty();
  aContext.mTasks.add(
    aContext.mLinks.WithLimit(address, kCallLimit, kj::mv(sent))
      .then(
        [&aContext, aWork, aReply, isHinted](Response aResponse) {
          const auto outcome = FromSchema(aResponse.getOutcome());
          const auto leader = FromText(aResponse.getLeader());
          if (outcome != LeaderOutcome::Done && !isHinted && !leader.empty()) {
            aContext.mLeaderHint = leader;
            FetchFromLeader(aContext, aWork, aReply);
            return;
          }
          auto result = CollectOutcome<CommandResult>([&] {
            return DecodeCommandResult(FromData(aResponse.getResult()));
          });
          if (outcome == LeaderOutcome::Done && result.mValue) {
            aReply->Send(*result.mValue);
          }
          aContext.mLeaderHint = leader;
        },
        [&aContext](kj::Exception&&) { aContext.mLeaderHint.clear(); }));
}

auto
ReadCurrentTemplates(PeerContext& aContext,
                     const OnceReplyPointer<TemplateReading>& aReply) -> void
{
  const auto deadline = aContext.mNow() + kReadLimit;
  if (aContext.mControl && aContext.mControl->HasLease()) {
    WaitForRevision(
      aContext, TemplateRevision(aContext.mControl->State()), deadline, aReply);
    return;
  }
  auto attempt = Attempt{};
  const auto address = NextAddress(aContext, attempt);
  if (address.empty()) {
    ReplyAsIs(aContext, aReply);
    return;
  }
  using Response = capnp::Response<schema::Session::ConfirmResults>;
  kj::Promise<Response> sent =
    aContext.mLinks.SessionAt(address).confirmRequest().send();
  aContext.mTasks.add(
    aContext.mLinks.WithLimit(address, kReadLimit, kj::mv(sent))
      .then(
        [&aContext, deadline, aReply](Response aResponse) {
          aContext.mLeaderHint = FromText(aResponse.getLeader());
          if (FromSchema(aResponse.getOutcome()) != LeaderOutcome::Done) {
            ReplyAsIs(aContext, aReply);
            return;
          }
          WaitForRevision(aContext, aResponse.getRevision(), deadline, aReply);
        },
        [&aContext, aReply](kj::Exception&&) {
          aContext.mLeaderHint.clear();
          ReplyAsIs(aContext, aReply);
        }));
}

auto
ReadAccountHistory(PeerContext& aContext,
                   const AccountId& aAccount,
                   const OnceReplyPointer<TemplateReading>& aReply) -> void
{
  if (aContext.mControl && aContext.mControl->Core().mVote.mCluster != 0) {
    aReply->Send({ HistoryOf(aContext.mControl->State(), aAccount),
                   aContext.mControl->HasLease() });
    return;
  }
  AskHistory(aContext, OtherControls(aContext), aAccount, aReply);
}

} // namespace cuminslip
