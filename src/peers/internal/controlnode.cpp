#include "peers/internal/controlnode.h"

#include "control/controlcodec.h"
#include "control/types/controlevents.h"

#include <utility>

namespace cuminslip {

namespace {

/// A snapshot is taken after this many entries, or bytes of them.
constexpr auto kSnapshotEntries = Revision{ 1000 };
constexpr auto kSnapshotBytes = std::size_t{ 8 } * 1024 * 1024;

auto
OutcomeOf(ProposalStatus aFate) -> LeaderOutcome
{
  switch (aFate) {
    case ProposalStatus::DiskFull:
      return LeaderOutcome::DiskFull;
    case ProposalStatus::Overloaded:
    case ProposalStatus::NotJoined:
      return LeaderOutcome::Overloaded;
    default:
      return LeaderOutcome::NotLeader;
  }
}

auto
EventOf(CoreEventKind aKind) -> const Event&
{
  switch (aKind) {
    case CoreEventKind::ElectionStarted:
      return kElectionStartedEvent;
    case CoreEventKind::LeaderElected:
      return kLeaderElectedEvent;
    case CoreEventKind::SteppedDown:
      return kSteppedDownEvent;
    case CoreEventKind::MembershipChanged:
      return kMembershipChangedEvent;
    case CoreEventKind::SnapshotInstalled:
      return kSnapshotInstalledEvent;
    case CoreEventKind::MemberUntrusted:
      return kMemberUntrustedEvent;
    case CoreEventKind::Halted:
      break;
  }
  return kControlHaltedEvent;
}

} // namespace

ControlNode::ControlNode(CoreState aCore,
                         ControlState aState,
                         ControlStore aStore,
                         ControlNodeHooks aHooks)
  : mHooks(std::move(aHooks))
  , mCore(std::move(aCore))
  , mState(std::move(aState))
  , mFloorDone(std::max(aStore.mFloor, aStore.mSnapshotIndex))
{
  mFloorWanted = mFloorDone;
  auto post = [this, post = mHooks.mPostToTask, isAlive = mIsAlive](
                const DiskReport& aReport) {
    post([this, isAlive, aReport] {
      if (*isAlive) {
        TakeReport(aReport);
      }
    });
  };
  mDisk = std::make_unique<DiskThread>(std::move(aStore), std::move(post));
}

ControlNode::~ControlNode()
{
  *mIsAlive = false;
  mDisk.reset();
  FailPending();
}

auto
ControlNode::Tick() -> void
{
  Feed(TickInput{});
  AnnounceTemplates();
}

auto
ControlNode::Receive(std::string_view aMessage) -> std::string
{
  auto message = CollectOutcome<ControlMessage>(
    [&] { return DecodeControlMessage(aMessage); });
  if (!message.mValue) {
    return {};
  }
  mReplyTo = message.mValue->mFrom;
  Feed(MessageInput{ std::move(*message.mValue) });
  mReplyTo.reset();
  return std::exchange(mReply, {});
}

auto
ControlNode::ReceiveReply(std::string_view aMessage) -> void
{
  auto message = CollectOutcome<ControlMessage>(
    [&] { return DecodeControlMessage(aMessage); });
  if (message.mValue) {
    Feed(MessageInput{ std::move(*message.mValue) });
  }
}

auto
ControlNode::SendOrReturn(const OutgoingMessage& aMessage) -> void
{
  const auto isReply = mReplyTo && aMessage.mMessage.mTo == *mReplyTo;
  if (isReply && mReply.empty()) {
    mReply = EncodeControlMessage(aMessage.mMessage);
    return;
  }
  mHooks.mSend(aMessage);
}

auto
ControlNode::Propose(std::string aCommand, ProposalReply aReply) -> void
{
  const auto token = mNextToken++;
  mReplies[token] = std::move(aReply);
  mQueue.push_back({ token, std::move(aCommand) });
  if (mQueue.size() > 1) {
    return;
  }
  mHooks.mPostToTask([this, isAlive = mIsAlive] {
    if (*isAlive) {
      FlushProposals();
    }
  });
}

auto
ControlNode::FlushProposals() -> void
{
  auto input = ProposeInput{ std::exchange(mQueue, {}) };
  if (!mFailure.empty() || mCore.mRole == CoreRole::Halted) {
    for (const auto& it : input.mProposals) {
      auto reply = mReplies.extract(it.mToken);
      reply.mapped()({ LeaderOutcome::NotLeader, {} });
    }
    return;
  }
  Feed(input);
}

auto
ControlNode::ChangeMembership(const CoreInput& aInput) -> std::string
{
  auto problem = Feed(aInput);
  if (!problem.empty()) {
    LogEvent(kMembershipRefusedEvent, { { "reason", problem } });
  }
  return problem;
}

auto
ControlNode::IsLeader() const -> bool
{
  return mCore.mRole == CoreRole::Leader && mFailure.empty();
}

auto
ControlNode::HasLease() const -> bool
{
  return IsLeader() && HasLeaderLease(mCore, mHooks.mNow());
}

auto
ControlNode::LeaderInstance() const -> InstanceId
{
  const auto* member = FindMember(CurrentMembership(mCore), mCore.mLeader);
  return member ? member->mInstance : InstanceId{};
}

auto
ControlNode::LeaderAddress() const -> std::string
{
  const auto* member = FindMember(CurrentMembership(mCore), mCore.mLeader);
  return member ? member->mAddress : std::string{};
}

auto
ControlNode::Feed(const CoreInput& aInput) -> std::string
{
  if (!mFailure.empty()) {
    return "the control storage stopped: " + mFailure;
  }
  const auto wasLeader = mCore.mRole == CoreRole::Leader;
  auto result = Step(std::move(mCore), aInput, mHooks.mNow());
  mCore = std::move(result.mState);
  auto& output = result.mOutput;
  for (const auto& it : output.mEvents) {
    LogCoreEvent(it);
  }
  for (const auto& it : output.mMessages) {
    SendOrReturn(it);
  }
  TakePlaces(output.mProposalPositions);
  if (output.mRestore) {
    Restore(*output.mRestore);
  }
  Apply(output.mCommitted);
  if (!output.mWrites.empty() || mFloorWanted > mFloorDone) {
    mDisk->Submit(std::move(output.mWrites), mFloorWanted);
  }
  if (wasLeader && mCore.mRole != CoreRole::Leader) {
    FailPending();
  }
  TakeSnapshotIfDue();
  return output.mMembershipProblem;
}

auto
ControlNode::Restore(const Snapshot& aSnapshot) -> void
{
  auto state = CollectOutcome<ControlState>(
    [&] { return DecodeControlState(*aSnapshot.mState); });
  if (!state.mValue) {
    mFailure = "a snapshot from the leader can't be decoded";
    LogEvent(kStoreFailedEvent, { { "reason", mFailure } });
    return;
  }
  mState = std::move(*state.mValue);
  mFloorWanted = std::max(mFloorWanted, aSnapshot.mIndex);
}

auto
ControlNode::Apply(const std::vector<LogEntry>& aEntries) -> void
{
  if (aEntries.empty()) {
    return;
  }
  const auto before = TemplateRevision(mState);
  for (const auto& it : aEntries) {
    const auto result = ApplyEntry(mState, mBounds, it);
    AnswerProposal(it, result);
  }
  const auto revision = TemplateRevision(mState);
  if (revision > before) {
    mFloorWanted = std::max(mFloorWanted, revision);
  }
}

auto
ControlNode::AnswerProposal(const LogEntry& aEntry,
                            const CommandResult& aResult) -> void
{
  auto pending = mPending.extract(aEntry.mIndex);
  if (pending.empty()) {
    return;
  }
  const auto isOwn = pending.mapped().mTerm == aEntry.mTerm;
  pending.mapped().mReply(isOwn ? ProposalResult{ LeaderOutcome::Done, aResult }
                                : ProposalResult{});
}

auto
ControlNode::TakePlaces(const std::vector<ProposalPosition>& aPlaces) -> void
{
  for (const auto& it : aPlaces) {
    auto reply = mReplies.extract(it.mToken);
    if (reply.empty()) {
      continue;
    }
    if (it.mProposalStatus == ProposalStatus::Appended) {
      mPending[it.mIndex] = { it.mTerm, std::move(reply.mapped()) };
    } else {
      reply.mapped()({ OutcomeOf(it.mProposalStatus), {} });
    }
  }
}

auto
ControlNode::FailPending() -> void
{
  auto pending = std::exchange(mPending, {});
  for (const auto& [index, it] : pending) {
    it.mReply({ LeaderOutcome::NotLeader, {} });
  }
}

auto
ControlNode::TakeReport(const DiskReport& aReport) -> void
{
  mFigures = aReport.mFigures;
  mFloorDone = std::max(mFloorDone, aReport.mFloor);
  if (aReport.mStatus == IoStatus::Failed) {
    mFailure = "the control log can't be written";
    LogEvent(kStoreFailedEvent, { { "reason", mFailure } });
    mCore.mRole = CoreRole::Halted;
    FailPending();
    return;
  }
  if (aReport.mIsFull != mCore.mIsDiskFull) {
    LogEvent(kStoreFullEvent, { { "is_full", aReport.mIsFull } });
    Feed(DiskSpaceInput{ aReport.mIsFull });
  }
  Feed(DiskDoneInput{ aReport.mDone });
  AnnounceTemplates();
}

auto
ControlNode::AnnounceTemplates() -> void
{
  const auto limit = std::min(mFloorDone, mState.mApplied);
  if (limit <= mAnnounced) {
    return;
  }
  auto templates = TemplatesAfter(mState, mAnnounced);
  std::erase_if(templates,
                [&](const auto& aItem) { return aItem.mRevision > limit; });
  mAnnounced = limit;
  if (!templates.empty()) {
    mHooks.mOnTemplates(std::move(templates));
  }
}

auto
ControlNode::TakeSnapshotIfDue() -> void
{
  const auto entries = mCore.mApplied - mCore.mSnapshot.mIndex;
  const auto isDue = entries >= kSnapshotEntries ||
                     (mCore.mLog.mBytes >= kSnapshotBytes && entries > 0);
  if (!isDue || !mFailure.empty()) {
    return;
  }
  auto bytes = std::make_shared<const std::string>(EncodeControlState(mState));
  LogEvent(kSnapshotTakenEvent,
           { { "index", mCore.mApplied },
             { "bytes", static_cast<std::uint64_t>(bytes->size()) } });
  Feed(SnapshotInput{ mCore.mApplied, std::move(bytes) });
}

auto
ControlNode::LogCoreEvent(const CoreEvent& aEvent) -> void
{
  const auto* member = FindMember(CurrentMembership(mCore), aEvent.mMember);
  LogEvent(
    EventOf(aEvent.mKind),
    { { "term", aEvent.mTerm },
      { "member", aEvent.mMember },
      { "of_instance", member ? member->mInstance.mValue : std::string{} },
      { "reason", aEvent.mReason } });
}

} // namespace cuminslip
