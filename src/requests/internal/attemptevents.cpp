#include "requests/internal/attemptevents.h"

#include "endpoints/protocol.h"
#include "requests/internal/delivery.h"
#include "requests/internal/dispatch.h"
#include "requests/types/requestsevents.h"

namespace cuminslip::requests {

namespace {

constexpr auto kMaxServiceAnswer = std::size_t{ 16 } * 1024 * 1024;
constexpr auto kStatusOk = 200;

/// The running attempt with this id, or null.
auto
FindAttempt(Front& aFront, const RequestId& aRequest, const AttemptId& aAttempt)
  -> Request*
{
  auto* request = FindRequest(aFront, aRequest);
  if (request == nullptr || !request->mAttempt ||
      request->mAttempt->mId != aAttempt) {
    return nullptr;
  }
  return request;
}

auto
LogDropped(Front& aFront, const Request& aRequest, std::string_view aReason)
  -> void
{
  ++aFront.mCounters.mDroppedPieces;
  LogEvent(kPieceDroppedEvent,
           { { "request", aRequest.mFacts.mId.mValue },
             { "endpoint", aRequest.mAttempt->mEndpoint.mValue },
             { "reason", aReason } });
}

auto
DroppedPieces(const endpoints::PieceCounts& aCounts) -> std::int64_t
{
  return aCounts.mLate + aCounts.mDoubled + aCounts.mForeign +
         aCounts.mOverflowed;
}

auto
RecordFirstTokenTime(Front& aFront, const Request& aRequest) -> void
{
  const auto& attempt = *aRequest.mAttempt;
  const auto measured = aFront.mPorts.mNow() - attempt.mStarted;
  const auto slowness = MeasureSlowness(
    measured, attempt.mPredicted, aFront.mSettings.mChoice.mPrediction);
  if (slowness) {
    endpoints::NoteSlowness(
      aFront.mFleet.mRegistry, attempt.mEndpoint, *slowness);
  }
}

auto
TakePiece(Front& aFront,
          Request& aRequest,
          const endpoints::StreamPiece& aPiece) -> void
{
  auto& attempt = *aRequest.mAttempt;
  const auto droppedBefore = DroppedPieces(aRequest.mSequencer.mCounts);
  const auto texts = endpoints::TakePiece(aRequest.mSequencer, aPiece);
  if (DroppedPieces(aRequest.mSequencer.mCounts) != droppedBefore) {
    LogDropped(aFront, aRequest, "late, doubled or foreign piece");
  }
  if (!texts.empty() && !attempt.mFirstPiece) {
    attempt.mFirstPiece = aFront.mPorts.mNow();
    RecordFirstTokenTime(aFront, aRequest);
    if (std::exchange(attempt.mIsLongPrefill, false)) {
      CountLongPrefill(aFront.mFleet, attempt.mEndpoint, -1);
    }
  }
  for (const auto& text : texts) {
    DeliverPiece(aFront, aRequest, text);
  }
}

auto
CompleteStream(Front& aFront, Request& aRequest, const std::string& aReason)
  -> void
{
  auto& attempt = *aRequest.mAttempt;
  RecordCallOutcome(aFront.mFleet,
                    attempt.mEndpoint,
                    CallOutcome::Succeeded,
                    attempt.mIsTrial,
                    aFront.mSettings.mHealth,
                    aFront.mPorts.mNow());
  attempt.mIsTrial = false;
  CloseAttempt(aFront, aRequest, endpoints::ReleaseReason::None);
  FinishAnswer(aFront, aRequest, aReason);
  PumpQueue(aFront);
}

auto
TakeEnd(Front& aFront, Request& aRequest, const endpoints::StreamEnd& aEnd)
  -> void
{
  switch (endpoints::TakeEnd(aRequest.mSequencer, aEnd)) {
    case endpoints::EndVerdict::Complete:
      CompleteStream(aFront, aRequest, aEnd.mReason);
      return;
    case endpoints::EndVerdict::Incomplete:
      // NOTE: reordered pieces may still come; the connection's end decides.
      aRequest.mAttempt->mEndReason = aEnd.mReason;
      return;
    case endpoints::EndVerdict::Contradictory:
      FailAttempt(aFront,
                  aRequest,
                  CallOutcome::Failed,
                  Ran::Yes,
                  "the end mark contradicts the pieces");
      return;
    case endpoints::EndVerdict::Ignored:
      LogDropped(aFront, aRequest, "foreign end mark");
      return;
  }
}

/// Takes a piece that may complete an answer whose end mark came before it.
auto
HandlePiece(Front& aFront,
            Request& aRequest,
            const endpoints::StreamPiece& aPiece) -> void
{
  TakePiece(aFront, aRequest, aPiece);
  if (endpoints::IsComplete(aRequest.mSequencer)) {
    CompleteStream(
      aFront, aRequest, std::string(aRequest.mAttempt->mEndReason));
  }
}

/// Visits one event of the engine's stream.
struct StreamEventVisitor
{
  Front& mFront;
  Request& mRequest;

  auto operator()(const endpoints::StreamPiece& aPiece) const -> void
  {
    HandlePiece(mFront, mRequest, aPiece);
  }
  auto operator()(const endpoints::StreamEnd& aEnd) const -> void
  {
    TakeEnd(mFront, mRequest, aEnd);
  }
  auto operator()(const endpoints::StreamComment&) const -> void {}
  auto operator()(const endpoints::StreamMalformed& aMalformed) const -> void
  {
    FailAttempt(mFront,
                mRequest,
                CallOutcome::Failed,
                Ran::Yes,
                "malformed event: " + aMalformed.mReason);
  }
};

auto
OnStreamBytes(Front& aFront,
              const RequestId& aRequest,
              const AttemptId& aAttempt,
              std::string_view aBytes) -> void
{
  auto* request = FindAttempt(aFront, aRequest, aAttempt);
  const auto events =
    endpoints::ParseStreamBytes(request->mAttempt->mParser, aBytes);
  for (const auto& event : events) {
    request = FindAttempt(aFront, aRequest, aAttempt);
    if (request == nullptr) {
      return;
    }
    std::visit(StreamEventVisitor{ aFront, *request }, event);
  }
}

auto
OnBytes(Front& aFront,
        const RequestId& aRequest,
        const AttemptId& aAttempt,
        std::string_view aBytes) -> void
{
  auto* request = FindAttempt(aFront, aRequest, aAttempt);
  if (request == nullptr) {
    return;
  }
  auto& attempt = *request->mAttempt;
  attempt.mLastActivity = aFront.mPorts.mNow();
  if (request->mCompletion && attempt.mStatus == kStatusOk) {
    OnStreamBytes(aFront, aRequest, aAttempt, aBytes);
    return;
  }
  if (attempt.mBody.size() + aBytes.size() > kMaxServiceAnswer) {
    FailAttempt(
      aFront, *request, CallOutcome::Failed, Ran::Yes, "answer too large");
    return;
  }
  attempt.mBody += aBytes;
}

auto
OnRefused(Front& aFront, Request& aRequest) -> void
{
  const auto refusal = endpoints::DecodeRefusal(aRequest.mAttempt->mBody);
  FailAttempt(aFront,
              aRequest,
              refusal.mRan ? CallOutcome::Failed : CallOutcome::Refused,
              refusal.mRan ? Ran::Unknown : Ran::No,
              "refused: " + refusal.mReason);
}

auto
OnServiceAnswer(Front& aFront, Request& aRequest) -> void
{
  auto& attempt = *aRequest.mAttempt;
  const auto ran = wire::FindHeader(attempt.mHeaders, "x-cuminslip-ran");
  if (ran == "no") {
    FailAttempt(
      aFront, aRequest, CallOutcome::Refused, Ran::No, "refused by service");
    return;
  }
  const auto response =
    wire::HttpResponse{ attempt.mStatus, attempt.mHeaders, attempt.mBody };
  RecordCallOutcome(aFront.mFleet,
                    attempt.mEndpoint,
                    CallOutcome::Succeeded,
                    attempt.mIsTrial,
                    aFront.mSettings.mHealth,
                    aFront.mPorts.mNow());
  attempt.mIsTrial = false;
  CloseAttempt(aFront, aRequest, endpoints::ReleaseReason::None);
  FinishServiceCall(aFront, aRequest, response);
  PumpQueue(aFront);
}

auto
EndName(wire::CallEnd aEnd) -> std::string
{
  switch (aEnd) {
    case wire::CallEnd::Complete:
      return "ended without its end mark";
    case wire::CallEnd::NotConnected:
      return "not connected";
    case wire::CallEnd::Broken:
      return "connection broken";
    case wire::CallEnd::TooLarge:
      return "head too large";
    case wire::CallEnd::TimedOut:
      return "timed out";
  }
  return "unknown";
}

auto
OnEnd(Front& aFront,
      const RequestId& aRequest,
      const AttemptId& aAttempt,
      wire::CallEnd aEnd) -> void
{
  auto* request = FindAttempt(aFront, aRequest, aAttempt);
  if (request == nullptr) {
    return;
  }
  const auto& attempt = *request->mAttempt;
  if (aEnd == wire::CallEnd::Complete && !request->mCompletion) {
    OnServiceAnswer(aFront, *request);
    return;
  }
  if (aEnd == wire::CallEnd::Complete && attempt.mStatus != kStatusOk) {
    OnRefused(aFront, *request);
    return;
  }
  const auto hasRun = attempt.mFirstPiece.has_value();
  const auto ran = hasRun                                ? Ran::Yes
                   : aEnd == wire::CallEnd::NotConnected ? Ran::No
                                                         : Ran::Unknown;
  const auto outcome = aEnd == wire::CallEnd::TimedOut ? CallOutcome::TimedOut
                                                       : CallOutcome::Failed;
  FailAttempt(aFront, *request, outcome, ran, EndName(aEnd));
}

} // namespace

auto
MakeCallHandlers(Front& aFront,
                 const Request& aRequest,
                 const AttemptId& aAttempt) -> wire::CallHandlers
{
  const auto request = aRequest.mFacts.mId;
  auto handlers = wire::CallHandlers{};
  handlers.mOnHead =
    [&aFront, request, aAttempt](int aStatus, const wire::Headers& aHeaders) {
      auto* open = FindAttempt(aFront, request, aAttempt);
      if (open == nullptr) {
        return;
      }
      open->mAttempt->mStatus = aStatus;
      open->mAttempt->mHeaders = aHeaders;
      open->mAttempt->mLastActivity = aFront.mPorts.mNow();
    };
  handlers.mOnPiece = [&aFront, request, aAttempt](std::string_view aBytes) {
    OnBytes(aFront, request, aAttempt, aBytes);
  };
  handlers.mOnEnd = [&aFront, request, aAttempt](wire::CallEnd aEnd) {
    OnEnd(aFront, request, aAttempt, aEnd);
  };
  return handlers;
}

} // namespace cuminslip::requests
