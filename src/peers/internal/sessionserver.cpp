#include "peers/internal/sessionserver.h"

#include "base/digest.h"
#include "control/controlcodec.h"
#include "peers/internal/endpointdirectory.h"
#include "peers/internal/joining.h"
#include "peers/internal/revisionreports.h"
#include "peers/internal/rpcparts.h"
#include "peers/types/peersevents.h"

#include <algorithm>

namespace cuminslip {

namespace {

constexpr auto kMaxPullWait = Millis(10000);
constexpr auto kMaxPullBytes = std::size_t{ 4 } * 1024 * 1024;

/// Serves one authenticated instance.
class SessionServer final : public schema::Session::Server
{
public:
  SessionServer(PeerContext& aContext,
                InstanceId aFrom,
                FailureDomainId aDomain)
    : mContext(aContext)
    , mFrom(std::move(aFrom))
    , mDomain(std::move(aDomain))
  {
  }

protected:
  auto control(ControlContext aCall) -> kj::Promise<void> override
  {
    if (mContext.mControl) {
      const auto reply =
        mContext.mControl->Receive(FromData(aCall.getParams().getMessage()));
      aCall.getResults().setReply(ToData(reply));
    }
    return kj::READY_NOW;
  }

  auto propose(ProposeContext aCall) -> kj::Promise<void> override;
  auto pull(PullContext aCall) -> kj::Promise<void> override;

  auto history(HistoryContext aCall) -> kj::Promise<void> override
  {
    auto results = aCall.getResults();
    const auto& control = mContext.mControl;
    if (!control || control->Core().mVote.mCluster == 0) {
      return kj::READY_NOW;
    }
    const auto versions =
      HistoryOf(control->State(), { FromText(aCall.getParams().getAccount()) });
    results.setKnown(true);
    WritePulled(results.initTemplates(static_cast<unsigned>(versions.size())),
                versions);
    return kj::READY_NOW;
  }

  auto fetchWork(FetchWorkContext aCall) -> kj::Promise<void> override
  {
    auto results = aCall.getResults();
    const auto params = aCall.getParams();
    if (!SetLeader(results,
                   mContext.mControl && mContext.mControl->HasLease())) {
      return kj::READY_NOW;
    }
    const auto result = FetchWorkResult(
      mContext.mControl->State(),
      { { FromText(params.getAccount()) }, FromText(params.getWork()) });
    results.setResult(ToData(EncodeCommandResult(result)));
    return kj::READY_NOW;
  }

  auto changeMembership(ChangeMembershipContext aCall)
    -> kj::Promise<void> override;

  auto confirm(ConfirmContext aCall) -> kj::Promise<void> override
  {
    auto results = aCall.getResults();
    if (SetLeader(results,
                  mContext.mControl && mContext.mControl->HasLease())) {
      results.setRevision(TemplateRevision(mContext.mControl->State()));
    }
    return kj::READY_NOW;
  }

  auto report(ReportContext aCall) -> kj::Promise<void> override;

  auto send(SendContext aCall) -> kj::Promise<void> override
  {
    if (mContext.mCallbacks.mOnPeerMessage) {
      mContext.mCallbacks.mOnPeerMessage(
        mFrom, FromData(aCall.getParams().getBytes()));
    }
    return kj::READY_NOW;
  }

  auto describe(DescribeContext aCall) -> kj::Promise<void> override
  {
    auto results = aCall.getResults();
    if (mContext.mControl) {
      const auto& vote = mContext.mControl->Core().mVote;
      results.setIsControl(true);
      results.setCluster(vote.mCluster);
      results.setMember(vote.mMember);
    }
    return kj::READY_NOW;
  }

  auto join(JoinContext aCall) -> kj::Promise<void> override;
  auto watch(WatchContext aCall) -> kj::Promise<void> override;

  auto share(ShareContext aCall) -> kj::Promise<void> override
  {
    TakeShared(mContext, aCall.getParams().getEndpoints());
    return kj::READY_NOW;
  }

private:
  /// Says whether the call is served here, and who leads.
  template<class Results>
  auto SetLeader(Results& aResults, bool aIsServed) -> bool
  {
    aResults.setOutcome(
      ToSchema(aIsServed ? LeaderOutcome::Done : LeaderOutcome::NotLeader));
    if (mContext.mControl) {
      aResults.setLeader(ToText(mContext.mControl->LeaderAddress()));
    }
    return aIsServed;
  }

  auto AnswerPull(PullContext aCall) -> void;
  auto AnswerWatch(WatchContext aCall) -> void;

  PeerContext& mContext;
  InstanceId mFrom;
  FailureDomainId mDomain;
};

auto
SessionServer::propose(ProposeContext aCall) -> kj::Promise<void>
{
  if (!mContext.mControl || !mContext.mControl->IsLeader()) {
    auto results = aCall.getResults();
    SetLeader(results, false);
    return kj::READY_NOW;
  }
  auto pair = kj::newPromiseAndFulfiller<ProposalResult>();
  auto fulfiller =
    std::make_shared<kj::Own<kj::PromiseFulfiller<ProposalResult>>>(
      kj::mv(pair.fulfiller));
  mContext.mControl->Propose(FromData(aCall.getParams().getCommand()),
                             [fulfiller](const ProposalResult& aResult) {
                               (*fulfiller)->fulfill(ProposalResult(aResult));
                             });
  return pair.promise.then(
    [this, aCall](const ProposalResult& aResult) mutable {
      auto results = aCall.getResults();
      SetLeader(results, aResult.mOutcome == LeaderOutcome::Done);
      results.setOutcome(ToSchema(aResult.mOutcome));
      results.setResult(ToData(EncodeCommandResult(aResult.mResult)));
    });
}

auto
SessionServer::AnswerPull(PullContext aCall) -> void
{
  const auto page =
    PageAfter(mContext.mCache, aCall.getParams().getHave(), kMaxPullBytes);
  auto results = aCall.getResults();
  results.setRevision(mContext.mCache.mRevision);
  WritePulled(
    results.initTemplates(static_cast<unsigned>(page.mTemplates.size())),
    page.mTemplates);
  const auto age = QuorumAgeNow(mContext);
  results.setQuorumAgeMillis(age ? age->count() : -1);
  results.setReady(mContext.mIsReady);
  results.setMore(page.mHasMore);
}

auto
SessionServer::pull(PullContext aCall) -> kj::Promise<void>
{
  const auto have = aCall.getParams().getHave();
  const auto wait = std::min<std::int64_t>(aCall.getParams().getWaitMillis(),
                                           kMaxPullWait.count());
  NoteSubscriber(mContext, mFrom, mDomain, have);
  if (wait == 0 || mContext.mCache.mRevision > have) {
    AnswerPull(aCall);
    return kj::READY_NOW;
  }
  mContext.mWaiting.remove_if([](auto& aItem) { return !aItem->isWaiting(); });
  auto pair = kj::newPromiseAndFulfiller<void>();
  mContext.mWaiting.push_back(kj::mv(pair.fulfiller));
  return mContext.mTimer.afterDelay(wait * kj::MILLISECONDS)
    .exclusiveJoin(kj::mv(pair.promise))
    .then([this, aCall] { AnswerPull(aCall); });
}

auto
SessionServer::AnswerWatch(WatchContext aCall) -> void
{
  const auto params = aCall.getParams();
  const auto page =
    PageAfter(mContext.mCache, params.getHaveRevision(), kMaxPullBytes);
  auto results = aCall.getResults();
  const auto age = QuorumAgeNow(mContext);
  results.setQuorumAgeMillis(age ? age->count() : -1);
  WritePulled(
    results.initTemplates(static_cast<unsigned>(page.mTemplates.size())),
    page.mTemplates);
  results.setMore(page.mHasMore);
  WriteWatched(mContext, params, results);
}

auto
SessionServer::watch(WatchContext aCall) -> kj::Promise<void>
{
  const auto params = aCall.getParams();
  const auto wait =
    std::min<std::int64_t>(params.getWaitMillis(), kMaxPullWait.count());
  NoteSubscriber(mContext, mFrom, mDomain, params.getHaveRevision());
  NoteEntry(mContext, mFrom, FromText(params.getAddress()));
  if (wait == 0 || HasWatchNews(mContext, params)) {
    AnswerWatch(aCall);
    return kj::READY_NOW;
  }
  mContext.mWaitingWatches.remove_if(
    [](auto& aItem) { return !aItem->isWaiting(); });
  auto pair = kj::newPromiseAndFulfiller<void>();
  mContext.mWaitingWatches.push_back(kj::mv(pair.fulfiller));
  return mContext.mTimer.afterDelay(wait * kj::MILLISECONDS)
    .exclusiveJoin(kj::mv(pair.promise))
    .then([this, aCall]() mutable { AnswerWatch(aCall); });
}

auto
SessionServer::changeMembership(ChangeMembershipContext aCall)
  -> kj::Promise<void>
{
  const auto params = aCall.getParams();
  auto results = aCall.getResults();
  if (!SetLeader(results, mContext.mControl && mContext.mControl->IsLeader())) {
    return kj::READY_NOW;
  }
  if (params.getAction() > static_cast<int>(MembershipAction::Replace)) {
    results.setProblem("unknown membership change");
    return kj::READY_NOW;
  }
  auto pair = kj::newPromiseAndFulfiller<std::string>();
  auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<std::string>>>(
    kj::mv(pair.fulfiller));
  const auto reply = MakeOnceReply<MembershipReply>(
    [fulfiller](const MembershipReply& aReply) {
      (*fulfiller)->fulfill(std::string(aReply.mProblem));
    },
    { "the change was not carried out" });
  ChangeMembershipHere(mContext,
                       { static_cast<MembershipAction>(params.getAction()),
                         ReadJoiner(params.getJoiner()).mInstance },
                       reply);
  return pair.promise.then([aCall](const std::string& aProblem) mutable {
    aCall.getResults().setProblem(ToText(aProblem));
  });
}

auto
SessionServer::join(JoinContext aCall) -> kj::Promise<void>
{
  auto results = aCall.getResults();
  if (!SetLeader(results, mContext.mControl && mContext.mControl->IsLeader())) {
    return kj::READY_NOW;
  }
  const auto joiner = ReadJoiner(aCall.getParams().getJoiner());
  const auto member = Member{ joiner.mMember,
                              joiner.mInstance.mInstance,
                              joiner.mInstance.mAddress,
                              joiner.mInstance.mFailureDomain,
                              MemberRole::Learner,
                              0 };
  const auto problem = mContext.mControl->ChangeMembership(
    AddMemberInput{ member, mContext.mSettings.mJoinRule });
  results.setProblem(ToText(problem));
  return kj::READY_NOW;
}

auto
SessionServer::report(ReportContext aCall) -> kj::Promise<void>
{
  const auto own = OwnReport(mContext);
  auto results = aCall.getResults();
  auto instances =
    results.initInstances(static_cast<unsigned>(own.mInstances.size()));
  auto n = 0U;
  for (const auto& it : own.mInstances) {
    auto to = instances[n++];
    to.setInstance(ToText(it.mInstance.mValue));
    to.setFailureDomain(ToText(it.mFailureDomain.mValue));
    to.setRevision(it.mRevision);
    to.setAgeMillis(it.mAge.count());
  }
  results.setAccepted(own.mAccepted);
  results.setLeader(ToText(own.mLeader.mValue));
  results.setHasQuorum(own.mHasQuorum);
  results.setMembership(ToData(EncodeMembership(own.mMembership)));
  return kj::READY_NOW;
}

/// Checks the peer key.
class PeerServer final : public schema::Peer::Server
{
public:
  PeerServer(PeerContext& aContext, std::shared_ptr<PeerIdentity> aIdentity)
    : mContext(aContext)
    , mIdentity(std::move(aIdentity))
  {
  }

protected:
  auto open(OpenContext aCall) -> kj::Promise<void> override
  {
    const auto params = aCall.getParams();
    if (!EqualsConstantTime(FromData(params.getKey()),
                            mContext.mSettings.mPeerKey)) {
      LogEvent(kPeerRefusedEvent, { { "reason", "wrong peer key" } });
      return KJ_EXCEPTION(FAILED, "wrong peer key");
    }
    mIdentity->mIsVerified = true;
    aCall.getResults().setSession(kj::heap<SessionServer>(
      mContext,
      InstanceId{ FromText(params.getInstance()) },
      FailureDomainId{ FromText(params.getFailureDomain()) }));
    return kj::READY_NOW;
  }

private:
  PeerContext& mContext;
  std::shared_ptr<PeerIdentity> mIdentity;
};

} // namespace

auto
MakePeerServer(PeerContext& aContext, std::shared_ptr<PeerIdentity> aIdentity)
  -> schema::Peer::Client
{
  return kj::heap<PeerServer>(aContext, std::move(aIdentity));
}

} // namespace cuminslip
