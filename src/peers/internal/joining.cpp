#include "peers/internal/joining.h"

#include "control/types/controlevents.h"
#include "peers/internal/founding.h"
#include "peers/types/peersevents.h"

#include <random>

namespace cuminslip {

namespace {

constexpr auto kAskLimit = Millis(1000);
constexpr auto kJoinPause = Millis(300);
/// A member that heard from no leader for this long asks to join again. Longer
/// than an election takes.
constexpr auto kRejoinAfter = Millis(4000);
constexpr auto kRoundLogPause = Millis(1000);
constexpr auto kDescribeRetries = 3;
constexpr auto kChangeLimit = Millis(6000);

using DescribeResponse = capnp::Response<schema::Session::DescribeResults>;
using JoinResponse = capnp::Response<schema::Session::JoinResults>;

auto
MemberOf(const Joiner& aJoiner) -> Member
{
  return { aJoiner.mMember,
           aJoiner.mInstance.mInstance,
           aJoiner.mInstance.mAddress,
           aJoiner.mInstance.mFailureDomain,
           MemberRole::Learner,
           0 };
}

/// Sets the answer of the instance at aAddress in aSurvey.
auto
TakeAnswer(const PeerContext& aContext,
           FoundingSurvey& aSurvey,
           TimePoint aSentAt,
           SurveyAnswer aAnswer) -> void
{
  aAnswer.mTime = MillisBetween(aSentAt, aContext.mNow());
  for (auto& it : aSurvey.mAnswers) {
    if (it.mAddress == aAnswer.mAddress) {
      it = aAnswer;
    }
  }
}

auto
OutcomeOf(const DescribeResponse& aResponse) -> SurveyOutcome
{
  if (aResponse.getCluster() != 0) {
    return SurveyOutcome::HasLog;
  }
  return aResponse.getIsControl() ? SurveyOutcome::NoLog
                                  : SurveyOutcome::NotControl;
}

auto
OutcomeOf(const kj::Exception& aException) -> SurveyOutcome
{
  switch (aException.getType()) {
    case kj::Exception::Type::OVERLOADED:
      return SurveyOutcome::TimedOut;
    case kj::Exception::Type::DISCONNECTED:
      return SurveyOutcome::Disconnected;
    default:
      return SurveyOutcome::Refused;
  }
}

auto
MakeSurvey(const PeerContext& aContext) -> FoundingSurvey
{
  auto survey =
    FoundingSurvey{ aContext.mSettings.mInstance, aContext.mMayFound, {}, {} };
  for (const auto& it : aContext.mSettings.mControlInstances) {
    survey.mNamed.push_back(it.mInstance);
  }
  for (auto& it : OtherControls(aContext)) {
    survey.mAnswers.push_back({ std::move(it) });
  }
  return survey;
}

auto
AskControls(PeerContext& aContext,
            const std::shared_ptr<FoundingSurvey>& aSurvey) -> kj::Promise<void>
{
  auto calls = kj::Vector<kj::Promise<void>>();
  const auto sentAt = aContext.mNow();
  const auto limit = SurveyLimit(aContext.mLateRounds);
  for (const auto& it : aSurvey->mAnswers) {
    const auto address = it.mAddress;
    kj::Promise<DescribeResponse> sent =
      aContext.mLinks.SessionAt(address).describeRequest().send();
    calls.add(aContext.mLinks.WithLimit(address, limit, kj::mv(sent))
                .then(
                  [&aContext, aSurvey, address, sentAt](
                    const DescribeResponse& aResponse) {
                    TakeAnswer(aContext,
                               *aSurvey,
                               sentAt,
                               { address, OutcomeOf(aResponse), {}, "" });
                  },
                  [&aContext, aSurvey, address, sentAt](
                    const kj::Exception& aException) {
                    TakeAnswer(aContext,
                               *aSurvey,
                               sentAt,
                               { address,
                                 OutcomeOf(aException),
                                 {},
                                 aException.getDescription().cStr() });
                  }));
  }
  return kj::joinPromises(calls.releaseAsArray());
}

auto
FoundLog(PeerContext& aContext) -> void
{
  auto input = BootstrapInput{};
  auto device = std::random_device();
  constexpr auto kHalf = 32U;
  input.mCluster = (ClusterId{ device() } << kHalf) | device() | 1U;
  input.mFailureDomain = aContext.mSettings.mFailureDomain;
  for (const auto& it : aContext.mSettings.mControlInstances) {
    if (it.mInstance != aContext.mSettings.mInstance) {
      input.mExpected.push_back(it.mInstance);
    }
  }
  LogEvent(
    kLogFoundedEvent,
    { { "expected", static_cast<std::uint64_t>(input.mExpected.size()) } });
  aContext.mControl->ChangeMembership(input);
}

auto
OwnJoiner(const PeerContext& aContext) -> Joiner
{
  return { aContext.mControl->Core().mVote.mMember,
           { aContext.mSettings.mInstance,
             aContext.mSettings.mAddress,
             aContext.mSettings.mFailureDomain } };
}

/// Notes what the instance at aAddress answered to a join request.
auto
NoteJoinReply(FoundingSurvey& aSurvey,
              const std::string& aAddress,
              SurveyOutcome aOutcome,
              const std::string& aDetail,
              const std::string& aLeader) -> void
{
  for (auto& it : aSurvey.mAnswers) {
    if (it.mAddress == aAddress) {
      it.mOutcome = aOutcome;
      it.mDetail = "join: " + aDetail;
      it.mLeader = aLeader;
    }
  }
}

auto
DetailOf(const JoinResponse& aResponse) -> std::string
{
  if (FromSchema(aResponse.getOutcome()) != LeaderOutcome::Done) {
    const auto leader = FromText(aResponse.getLeader());
    return leader.empty() ? "no leader is known there"
                          : "the leader is " + leader;
  }
  const auto problem = FromText(aResponse.getProblem());
  return problem.empty() ? "accepted" : problem;
}

auto
AskToJoin(PeerContext& aContext,
          const std::vector<std::string>& aAddresses,
          const std::shared_ptr<FoundingSurvey>& aSurvey) -> kj::Promise<void>
{
  auto calls = kj::Vector<kj::Promise<void>>();
  const auto limit = SurveyLimit(aContext.mLateRounds);
  for (const auto& address : aAddresses) {
    auto request = aContext.mLinks.SessionAt(address).joinRequest();
    WriteJoiner(request.initJoiner(), OwnJoiner(aContext));
    kj::Promise<JoinResponse> sent = request.send();
    calls.add(aContext.mLinks.WithLimit(address, limit, kj::mv(sent))
                .then(
                  [aSurvey, address](const JoinResponse& aResponse) {
                    NoteJoinReply(*aSurvey,
                                  address,
                                  SurveyOutcome::Answered,
                                  DetailOf(aResponse),
                                  FromText(aResponse.getLeader()));
                  },
                  [aSurvey, address](const kj::Exception& aException) {
                    NoteJoinReply(*aSurvey,
                                  address,
                                  OutcomeOf(aException),
                                  aException.getDescription().cStr(),
                                  "");
                  }));
  }
  return kj::joinPromises(calls.releaseAsArray());
}

/// Asks the instances at aAddresses and then the leaders that they name.
auto
AskLeaderToJoin(PeerContext& aContext,
                const std::vector<std::string>& aAddresses,
                const std::shared_ptr<FoundingSurvey>& aSurvey)
  -> kj::Promise<void>
{
  return AskToJoin(aContext, aAddresses, aSurvey).then([&aContext, aSurvey] {
    const auto leaders = LeadersNotAsked(*aSurvey);
    for (const auto& it : leaders) {
      aSurvey->mAnswers.push_back({ it });
    }
    return AskToJoin(aContext, leaders, aSurvey);
  });
}

/// Logs a round that ended without a result, at most one a second.
auto
LogRound(PeerContext& aContext,
         const Event& aEvent,
         const std::string& aReason,
         const FoundingSurvey& aSurvey) -> void
{
  const auto now = aContext.mNow();
  const auto& last = aContext.mRoundLogged;
  if (last && MillisBetween(*last, now) < kRoundLogPause) {
    return;
  }
  aContext.mRoundLogged = now;
  LogEvent(aEvent,
           { { "reason", aReason },
             { "may_found", aSurvey.mMayFound },
             { "answers", FormatAnswers(aSurvey.mAnswers) } });
}

auto
TakeSurvey(PeerContext& aContext,
           const std::shared_ptr<FoundingSurvey>& aSurvey) -> kj::Promise<void>
{
  const auto decision = DecideFounding(*aSurvey);
  aContext.mLateRounds = HasTimedOut(*aSurvey) ? aContext.mLateRounds + 1 : 0;
  if (decision.mStep == FoundingStep::Found) {
    FoundLog(aContext);
    return kj::READY_NOW;
  }
  auto asked = decision.mStep == FoundingStep::Join
                 ? AskLeaderToJoin(aContext, decision.mWithLog, aSurvey)
                 : kj::Promise<void>(kj::READY_NOW);
  return asked.then([&aContext, aSurvey, reason = decision.mReason] {
    if (aContext.mControl->Core().mVote.mCluster == 0) {
      LogRound(aContext,
               kControlLogMissingEvent,
               reason.empty() ? "not added to the control log yet" : reason,
               *aSurvey);
    }
  });
}

auto
DescribeAndChange(PeerContext& aContext,
                  const MembershipRequest& aRequest,
                  const OnceReplyPointer<MembershipReply>& aReply,
                  int aTriesLeft) -> void
{
  const auto address = aRequest.mInstance.mAddress;
  kj::Promise<DescribeResponse> sent =
    aContext.mLinks.SessionAt(address).describeRequest().send();
  aContext.mTasks.add(
    aContext.mLinks.WithLimit(address, kAskLimit, kj::mv(sent))
      .then(
        [&aContext, aRequest, aReply](DescribeResponse aResponse) {
          if (!aResponse.getIsControl()) {
            aReply->Send({ "the instance has no data folder" });
            return;
          }
          const auto cluster = aContext.mControl->Core().mVote.mCluster;
          if (aResponse.getCluster() != 0 &&
              aResponse.getCluster() != cluster) {
            aReply->Send({ "the disk belongs to another control log" });
            return;
          }
          const auto member =
            MemberOf({ aResponse.getMember(), aRequest.mInstance });
          const auto isReplacing =
            aRequest.mAction == MembershipAction::Replace;
          const auto input =
            isReplacing
              ? CoreInput(ReplaceMemberInput{ member })
              : CoreInput(AddMemberInput{ member, JoinRule::Operator });
          aReply->Send({ aContext.mControl->ChangeMembership(input) });
        },
        [&aContext, aRequest, aReply, aTriesLeft](kj::Exception&&) {
          if (aTriesLeft == 0) {
            aReply->Send({ "the instance does not answer at its address" });
            return;
          }
          // NOTE: the first call after a restart meets the old connection.
          aContext.mTasks.add(
            aContext.mTimer.afterDelay(kJoinPause.count() * kj::MILLISECONDS)
              .then([&aContext, aRequest, aReply, aTriesLeft] {
                DescribeAndChange(aContext, aRequest, aReply, aTriesLeft - 1);
              }));
        }));
}

/// A member that was removed while it was away asks to come back; it hears
/// from no leader, since none sends to it.
auto
RejoinWhenForgotten(PeerContext& aContext) -> kj::Promise<void>
{
  const auto& core = aContext.mControl->Core();
  const auto silence = MillisBetween(core.mLeaderContact, aContext.mNow());
  const auto isForgotten = core.mRole != CoreRole::Leader &&
                           core.mRole != CoreRole::Halted &&
                           silence > kRejoinAfter;
  auto asked = kj::Promise<void>(kj::READY_NOW);
  if (isForgotten) {
    const auto survey = std::make_shared<FoundingSurvey>(MakeSurvey(aContext));
    asked = AskLeaderToJoin(aContext, OtherControls(aContext), survey)
              .then([&aContext, survey] {
                LogRound(aContext,
                         kControlLeaderMissingEvent,
                         "no leader was heard from lately",
                         *survey);
              });
  }
  return asked
    .then([&aContext] {
      return aContext.mTimer.afterDelay(kRejoinAfter.count() *
                                        kj::MILLISECONDS);
    })
    .then([&aContext] { return RejoinWhenForgotten(aContext); });
}

} // namespace

auto
JoinControlLog(PeerContext& aContext) -> kj::Promise<void>
{
  if (!aContext.mControl) {
    return kj::READY_NOW;
  }
  if (aContext.mControl->Core().mVote.mCluster != 0) {
    return aContext.mSettings.mJoinRule == JoinRule::Automatic
             ? RejoinWhenForgotten(aContext)
             : kj::Promise<void>(kj::READY_NOW);
  }
  auto survey = std::make_shared<FoundingSurvey>(MakeSurvey(aContext));
  return AskControls(aContext, survey)
    .then([&aContext, survey] { return TakeSurvey(aContext, survey); })
    .then([&aContext] {
      return aContext.mTimer.afterDelay(kJoinPause.count() * kj::MILLISECONDS);
    })
    .then([&aContext] { return JoinControlLog(aContext); });
}

auto
ChangeMembershipHere(PeerContext& aContext,
                     const MembershipRequest& aRequest,
                     const OnceReplyPointer<MembershipReply>& aReply) -> void
{
  if (aRequest.mAction != MembershipAction::Remove) {
    DescribeAndChange(aContext, aRequest, aReply, kDescribeRetries);
    return;
  }
  aReply->Send({ aContext.mControl->ChangeMembership(
    RemoveMemberInput{ aRequest.mInstance.mInstance }) });
}

auto
ChangeMembershipAtLeader(PeerContext& aContext,
                         const MembershipRequest& aRequest,
                         const OnceReplyPointer<MembershipReply>& aReply)
  -> void
{
  if (aContext.mControl && aContext.mControl->IsLeader()) {
    ChangeMembershipHere(aContext, aRequest, aReply);
    return;
  }
  auto address = aContext.mControl ? aContext.mControl->LeaderAddress()
                                   : aContext.mLeaderHint;
  const auto controls = OtherControls(aContext);
  if (address.empty() && !controls.empty()) {
    address = controls.front();
  }
  if (address.empty()) {
    aReply->Send({ "no leader is known" });
    return;
  }
  auto request = aContext.mLinks.SessionAt(address).changeMembershipRequest();
  request.setAction(static_cast<std::uint8_t>(aRequest.mAction));
  WriteJoiner(request.initJoiner(), { 0, aRequest.mInstance });
  using Response = capnp::Response<schema::Session::ChangeMembershipResults>;
  kj::Promise<Response> sent = request.send();
  aContext.mTasks.add(
    aContext.mLinks.WithLimit(address, kChangeLimit, kj::mv(sent))
      .then(
        [&aContext, aRequest, aReply, address](Response aResponse) {
          const auto leader = FromText(aResponse.getLeader());
          if (FromSchema(aResponse.getOutcome()) == LeaderOutcome::Done) {
            aReply->Send({ FromText(aResponse.getProblem()) });
          } else if (leader.empty() || leader == address) {
            aReply->Send({ "no leader is known; try again" });
          } else if (leader != aContext.mLeaderHint) {
            aContext.mLeaderHint = leader;
            ChangeMembershipAtLeader(aContext, aRequest, aReply);
          }
        },
        [aReply](kj::Exception&&) {
          aReply->Send({ "the leader does not answer" });
        }));
}

} // namespace cuminslip
