#include "forwarding/internal/forwarderstate.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

constexpr auto kOk = 200;
constexpr auto kFirstServerError = 500;
/// Endpoints to which connections are tried for one request.
constexpr auto kMostTried = std::size_t{ 4 };
/// When a caller is to come back: an endpoint that refused is full, and has a
/// place within about a short request's time; one that failed is replaced by
/// others at once.
constexpr auto kRefusedRetry = Millis(500);
constexpr auto kFailedRetry = Millis(250);

auto
RepeatRuleOf(const routing::Route& aRoute) -> RepeatRule
{
  const auto mayRepeat =
    aRoute.mKind == routing::RouteKind::Idempotent ||
    (aRoute.mKind == routing::RouteKind::Streaming && aRoute.mIsResumable);
  return mayRepeat ? RepeatRule::Always : RepeatRule::OnlyIfNotRun;
}

auto
MayRepeatFlight(Forwarder& aForwarder,
                const Flight& aFlight,
                SendOutcome aOutcome) -> bool
{
  auto facts = RepeatFacts{};
  const auto now = aForwarder.mPorts.mNow();
  facts.mOutcome = aOutcome;
  facts.mRule = RepeatRuleOf(*aFlight.mRoute);
  facts.mSends = aFlight.mSends;
  facts.mMaxSends = aFlight.mRoute->mMaxAttempts;
  facts.mHasTime = now < aFlight.mDeadline;
  facts.mHasBudget = MayDraw(aForwarder.mBudgets[aFlight.mService->mName],
                             aForwarder.mSettings.mRetryBudget,
                             aForwarder.mEntries.size(),
                             now);
  return MayRepeat(facts);
}

auto
LogDelivered(const Forwarder& aForwarder, const Flight& aFlight) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  LogEvent(
    kForwardDeliveredEvent,
    { { "request", aFlight.mRequest.mId.mValue },
      { "endpoint", aFlight.mAttempt.mEndpoint.mValue },
      { "status", aFlight.mAttempt.mStatus },
      { "events", aFlight.mEvents },
      { "first_event_ms",
        aFlight.mEvents == 0
          ? -1
          : MillisBetween(aFlight.mArrived, aFlight.mFirstEventAt).count() },
      { "longest_pause_ms", aFlight.mLongestPause.count() },
      { "total_ms", MillisBetween(aFlight.mArrived, now).count() },
      { "sends", aFlight.mSends } });
}

auto
DeliverWhole(Forwarder& aForwarder, Flight& aFlight) -> void
{
  auto& attempt = aFlight.mAttempt;
  attempt.mExchange = 0;
  NoteOutcome(aForwarder, aFlight, ForwardOutcome::Delivered);
  LogDelivered(aForwarder, aFlight);
  aFlight.mCaller.mRespond({ attempt.mStatus,
                             std::move(attempt.mAnswer.mHeaders),
                             std::move(attempt.mBody) });
  RemoveFlight(aForwarder, aFlight);
}

auto
IsStream(const Flight& aFlight) -> bool
{
  return aFlight.mRoute->mKind == routing::RouteKind::Streaming &&
         aFlight.mAttempt.mStatus == kOk && aFlight.mAttempt.mAnswer.mIsGenuine;
}

/// Passes one event on unless the caller has it. False when events before it
/// are missing.
auto
PassEvent(Forwarder& aForwarder, Flight& aFlight, const StreamEvent& aEvent)
  -> bool
{
  if (aEvent.mId && aFlight.mLastEvent) {
    if (*aEvent.mId <= *aFlight.mLastEvent) {
      return true;
    }
    if (*aEvent.mId > *aFlight.mLastEvent + 1) {
      return false;
    }
  }
  if (!aFlight.mHasStarted) {
    aFlight.mHasStarted = true;
    aFlight.mCaller.mStartStream(aFlight.mAttempt.mStatus,
                                 aFlight.mAttempt.mAnswer.mHeaders);
  }
  const auto now = aForwarder.mPorts.mNow();
  if (aFlight.mEvents++ == 0) {
    aFlight.mFirstEventAt = now;
    NoteWorkChanged(aForwarder, aFlight);
  } else {
    aFlight.mLongestPause =
      std::max(aFlight.mLongestPause, MillisBetween(aFlight.mLastEventAt, now));
  }
  aFlight.mLastEventAt = now;
  aFlight.mCaller.mSendPiece(aEvent.mBytes);
  if (aEvent.mId) {
    aFlight.mLastEvent = aEvent.mId;
  }
  return true;
}

auto
TakeHead(Forwarder& aForwarder,
         FlightId aId,
         int aStatus,
         const wire::Headers& aHeaders) -> void
{
  auto* flight = FindFlight(aForwarder, aId);
  if (flight == nullptr) {
    return;
  }
  auto& attempt = flight->mAttempt;
  attempt.mStatus = aStatus;
  attempt.mAnswer = aForwarder.mPorts.mCodec.mReadAnswer(aStatus, aHeaders);
  if (attempt.mAnswer.mLoad) {
    auto& health = aForwarder.mHealth[attempt.mEndpoint];
    health.mLoad = attempt.mAnswer.mLoad;
    health.mLoadAt = aForwarder.mPorts.mNow();
  }
}

auto
TakePiece(Forwarder& aForwarder, FlightId aId, std::string_view aPiece) -> void
{
  auto* flight = FindFlight(aForwarder, aId);
  if (flight == nullptr) {
    return;
  }
  auto& attempt = flight->mAttempt;
  if (!IsStream(*flight)) {
    attempt.mBody += aPiece;
    return;
  }
  for (const auto& event : SplitEvents(attempt.mSplitter, aPiece)) {
    if (!PassEvent(aForwarder, *flight, event)) {
      aForwarder.mPorts.mExchanges.mCancel(std::exchange(attempt.mExchange, 0));
      RecoverFlight(aForwarder,
                    *flight,
                    SendOutcome::NotAnAnswer,
                    "events are missing in the stream");
      return;
    }
  }
}

auto
EndStream(Forwarder& aForwarder, Flight& aFlight) -> void
{
  if (!aFlight.mHasStarted) {
    RecoverFlight(aForwarder,
                  aFlight,
                  SendOutcome::NotAnAnswer,
                  "the stream ended without an event");
    return;
  }
  NoteSuccess(aForwarder, aFlight.mAttempt.mEndpoint);
  if (!aFlight.mAttempt.mSplitter.mRest.empty()) {
    aFlight.mCaller.mSendPiece(aFlight.mAttempt.mSplitter.mRest);
  }
  aFlight.mCaller.mFinish();
  NoteOutcome(aForwarder, aFlight, ForwardOutcome::Delivered);
  LogDelivered(aForwarder, aFlight);
  RemoveFlight(aForwarder, aFlight);
}

/// Statuses by which an instance itself promises that a request has not run.
auto
IsPromiseStatus(int aStatus) -> bool
{
  constexpr auto kRequestTimeout = 408;
  constexpr auto kMisdirected = 421;
  constexpr auto kTooManyRequests = 429;
  constexpr auto kUnavailable = 503;
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooManyRequests || aStatus == kUnavailable;
}

auto
TakeWholeAnswer(Forwarder& aForwarder, Flight& aFlight) -> void
{
  const auto& attempt = aFlight.mAttempt;
  if (attempt.mAnswer.mHasNotRun) {
    RecoverFlight(aForwarder,
                  aFlight,
                  SendOutcome::RefusedNotRun,
                  "the endpoint did not run it");
    return;
  }
  // NOTE: passed on, such a status would promise what the endpoint did not say.
  if (!attempt.mAnswer.mIsGenuine || IsPromiseStatus(attempt.mStatus)) {
    RecoverFlight(aForwarder,
                  aFlight,
                  SendOutcome::NotAnAnswer,
                  "the answer is not one of the endpoint to this request");
    return;
  }
  const auto isError = attempt.mStatus >= kFirstServerError;
  if (isError && MayRepeatFlight(aForwarder, aFlight, SendOutcome::Answered)) {
    RecoverFlight(aForwarder,
                  aFlight,
                  SendOutcome::Answered,
                  "the endpoint answered with an error");
    return;
  }
  if (!isError) {
    NoteSuccess(aForwarder, attempt.mEndpoint);
  }
  DeliverWhole(aForwarder, aFlight);
}

auto
TakeEnd(Forwarder& aForwarder,
        FlightId aId,
        const wire::ExchangeResult& aResult) -> void
{
  auto* flight = FindFlight(aForwarder, aId);
  if (flight == nullptr) {
    return;
  }
  flight->mAttempt.mExchange = 0;
  switch (aResult.mEnd) {
    case wire::ExchangeEnd::Complete:
      if (IsStream(*flight)) {
        EndStream(aForwarder, *flight);
      } else {
        TakeWholeAnswer(aForwarder, *flight);
      }
      return;
    case wire::ExchangeEnd::NotConnected:
      RecoverFlight(aForwarder,
                    *flight,
                    SendOutcome::NotConnected,
                    "no connection was made");
      return;
    case wire::ExchangeEnd::Broken:
      RecoverFlight(aForwarder,
                    *flight,
                    SendOutcome::Unanswered,
                    aResult.mWasKept ? "the kept connection broke"
                                     : "the connection broke");
      return;
    case wire::ExchangeEnd::Malformed:
    case wire::ExchangeEnd::TooLarge:
      RecoverFlight(aForwarder,
                    *flight,
                    SendOutcome::NotAnAnswer,
                    "the bytes are no answer");
      return;
  }
}

auto
MakeHandlers(Forwarder& aForwarder, FlightId aId) -> wire::ExchangeHandlers
{
  auto handlers = wire::ExchangeHandlers{};
  handlers.mOnHead = [&aForwarder, aId](int aStatus,
                                        const wire::Headers& aHeaders) {
    TakeHead(aForwarder, aId, aStatus, aHeaders);
  };
  handlers.mOnPiece = [&aForwarder, aId](std::string_view aPiece) {
    TakePiece(aForwarder, aId, aPiece);
  };
  handlers.mOnEnd = [&aForwarder, aId](const wire::ExchangeResult& aResult) {
    TakeEnd(aForwarder, aId, aResult);
  };
  return handlers;
}

auto
ListHelpers(const Attempt& aAttempt) -> std::vector<HelperAddress>
{
  auto helpers = std::vector<HelperAddress>{};
  for (const auto& it : aAttempt.mWork) {
    if (it.mIsHelper) {
      helpers.push_back({ it.mAddress, it.mHolding });
    }
  }
  return helpers;
}

/// The kind of a failure that promises nothing about whether it ran.
auto
AfterRun(FailureKind aKind) -> FailureKind
{
  return aKind == FailureKind::TooLate || aKind == FailureKind::TimedOut
           ? FailureKind::TimedOut
           : FailureKind::EndpointFailed;
}

} // namespace

auto
FindFlight(Forwarder& aForwarder, FlightId aFlight) -> Flight*
{
  const auto it = aForwarder.mFlights.find(aFlight);
  return it == aForwarder.mFlights.end() ? nullptr : it->second.get();
}

auto
RemoveFlight(Forwarder& aForwarder, Flight& aFlight) -> void
{
  aForwarder.mPorts.mExchanges.mCancel(
    std::exchange(aFlight.mAttempt.mExchange, 0));
  aForwarder.mPorts.mTimers.mStop(aFlight.mDeadlineTimer);
  aForwarder.mPorts.mTimers.mStop(aFlight.mClaimTimer);
  aForwarder.mPorts.mTimers.mStop(aFlight.mHoldTimer);
  ReleaseHolds(aForwarder, aFlight.mAttempt);
  const auto flight =
    std::move(aForwarder.mFlights.extract(aFlight.mId).mapped());
  NoteWorkChanged(aForwarder, *flight);
}

auto
FailFlight(Forwarder& aForwarder, Flight& aFlight, const Failure& aFailure)
  -> void
{
  const auto isRefusal = !aFlight.mMayHaveRun && !aFlight.mHasStarted &&
                         aFlight.mAttempt.mExchange == 0;
  const auto failure =
    isRefusal ? aFailure : Failure{ AfterRun(aFailure.mKind), {} };
  ++aForwarder.mTimes.mFailures[failure.mKind];
  NoteOutcome(aForwarder,
              aFlight,
              aFlight.mHasStarted ? ForwardOutcome::Cut
              : isRefusal         ? ForwardOutcome::Refused
                                  : ForwardOutcome::Failed);
  const auto& event = aFlight.mHasStarted ? kForwardCutEvent
                      : isRefusal         ? kForwardRefusedEvent
                                          : kForwardFailedEvent;
  const auto now = aForwarder.mPorts.mNow();
  LogEvent(event,
           { { "request", aFlight.mRequest.mId.mValue },
             { "reason", ToText(failure.mKind) },
             { "route", aFlight.mRoute ? aFlight.mRoute->mName : "" },
             { "version", RoutingVersion(aForwarder) },
             { "endpoint", aFlight.mAttempt.mEndpoint.mValue },
             { "sends", aFlight.mSends },
             { "events", aFlight.mEvents },
             { "age_ms", MillisBetween(aFlight.mArrived, now).count() },
             { "retry_after_ms",
               failure.mRetryAfter ? failure.mRetryAfter->count() : -1 } });
  if (aFlight.mHasStarted) {
    aFlight.mCaller.mAbort();
  } else {
    aFlight.mCaller.mRespond(
      aForwarder.mPorts.mCodec.mWriteFailure(aFlight.mRequest, failure));
  }
  RemoveFlight(aForwarder, aFlight);
}

auto
MakeExchange(const Forwarder& aForwarder, const std::string& aAddress)
  -> wire::Exchange
{
  auto exchange = wire::Exchange{};
  exchange.mAddress =
    wire::ParseAddress(aAddress).value_or(wire::SocketAddress{});
  exchange.mConnectTimeout = aForwarder.mSettings.mConnectTimeout;
  return exchange;
}

namespace {

/// Time to wait for a connection: a part of the answer's target, so that
/// another endpoint can still answer in time when this one can't be reached.
auto
ConnectTimeout(const ForwardSettings& aSettings, const routing::Route& aRoute)
  -> Millis
{
  constexpr auto kShareOfTarget = 3;
  if (aRoute.mAnswerTarget <= Millis(0)) {
    return aSettings.mConnectTimeout;
  }
  return std::clamp(aRoute.mAnswerTarget / kShareOfTarget,
                    aSettings.mShortestConnectTimeout,
                    aSettings.mConnectTimeout);
}

} // namespace

auto
SendFlight(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  if (aFlight.mSends++ > 0) {
    Draw(aForwarder.mBudgets[aFlight.mService->mName], now);
    ++aForwarder.mCounters.mRepeats;
  }
  ++aForwarder.mCounters.mSends;
  aFlight.mTried.insert(aAttempt.mEndpoint);
  aAttempt.mSentAt = now;
  aFlight.mAttempt = std::move(aAttempt);
  auto facts = SendFacts{};
  facts.mEndpoint = aFlight.mAttempt.mEndpoint;
  facts.mAccount = aFlight.mAccount;
  facts.mAllowance = MillisBetween(now, aFlight.mDeadline);
  facts.mLastEvent =
    aFlight.mHasStarted ? aFlight.mLastEvent : aFlight.mRequest.mLastEvent;
  facts.mHelpers = ListHelpers(aFlight.mAttempt);
  auto exchange = MakeExchange(aForwarder, aFlight.mAttempt.mAddress);
  exchange.mConnectTimeout =
    ConnectTimeout(aForwarder.mSettings, *aFlight.mRoute);
  exchange.mRequest = aFlight.mRequest.mHttp;
  exchange.mRequest.mHeaders =
    aForwarder.mPorts.mCodec.mWriteHeaders(aFlight.mRequest, facts);
  exchange.mEcho = aForwarder.mPorts.mCodec.mEchoOf(aFlight.mRequest);
  aFlight.mAttempt.mExchange = aForwarder.mPorts.mExchanges.mStart(
    std::move(exchange), MakeHandlers(aForwarder, aFlight.mId));
  aFlight.mIsWaiting = false;
  if (!aFlight.mAttempt.mIsTold) {
    NoteWorkChanged(aForwarder, aFlight);
  }
}

auto
RecoverFlight(Forwarder& aForwarder,
              Flight& aFlight,
              SendOutcome aOutcome,
              std::string_view aReason) -> void
{
  const auto endpoint = aFlight.mAttempt.mEndpoint;
  const auto isRefused = aOutcome == SendOutcome::RefusedNotRun;
  const auto verdict = JudgeRun(aOutcome);
  const auto now = aForwarder.mPorts.mNow();
  aFlight.mMayHaveRun |= verdict != RunVerdict::NotRun;
  LogEvent(kForwardSendFailedEvent,
           { { "request", aFlight.mRequest.mId.mValue },
             { "endpoint", endpoint.mValue },
             { "reason", aReason },
             { "status", aFlight.mAttempt.mStatus },
             { "ran", verdict == RunVerdict::NotRun ? "no" : "unknown" },
             { "events", aFlight.mEvents },
             { "at_fault", aFlight.mAttempt.mAnswer.mAtFault },
             { "sent_ms_ago",
               MillisBetween(aFlight.mAttempt.mSentAt, now).count() } });
  if (aOutcome != SendOutcome::Answered) {
    NoteFailure(aForwarder, endpoint, aReason);
  }
  // NOTE: no endpoint has seen a request that found no connection.
  if (aOutcome == SendOutcome::NotConnected) {
    --aFlight.mSends;
  }
  const auto mayRepeat = MayRepeatFlight(aForwarder, aFlight, aOutcome) &&
                         aFlight.mTried.size() <= kMostTried;
  if (mayRepeat && aFlight.mHasStarted) {
    ++aForwarder.mCounters.mResumed;
    LogEvent(kForwardResumedEvent,
             { { "request", aFlight.mRequest.mId.mValue },
               { "after_event", aFlight.mLastEvent.value_or(0) } });
  }
  ReleaseHolds(aForwarder, aFlight.mAttempt);
  aFlight.mAttempt.mWork.clear();
  if (mayRepeat) {
    PlaceFlight(aForwarder, aFlight);
    return;
  }
  const auto retry = isRefused ? kRefusedRetry : kFailedRetry;
  FailFlight(aForwarder, aFlight, { FailureKind::NoCapacity, retry });
}

} // namespace cuminslip::forwarding
