#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/harmfulrequests.h"
#include "forwarding/internal/statements.h"
#include "forwarding/internal/warmup.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

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

/// Returns the connect timeout: a fraction of the answer target, so that
/// another endpoint can still answer in time when this one is unreachable.
auto
ConnectTimeout(const ForwardSettings& aSettings, const routing::Route& aRoute)
  -> Millis
{
  constexpr auto kShareOfTarget = 3;
  if (aRoute.mAnswerTarget <= Millis(0)) {
    return aSettings.mConnectTimeout;
  }
  return std::clamp(aRoute.mAnswerTarget / kShareOfTarget,
                    aSettings.mMinConnectTimeout,
                    aSettings.mConnectTimeout);
}

/// Returns true for a prompt whose answer target has passed before its first
/// event.
auto
IsSentLate(const Forwarder& aForwarder, const Flight& aFlight) -> bool
{
  return aFlight.mService->mEngine && !aFlight.mHasStarted &&
         aForwarder.mPorts.mNow() >=
           aFlight.mArrived + aFlight.mRoute->mAnswerTarget;
}

/// Returns the urgency to state to an engine, by the order of waiting prompts.
/// A stream that has started is never late.
auto
UrgencyOfFlight(const Forwarder& aForwarder, const Flight& aFlight)
  -> std::optional<int>
{
  if (!aForwarder.mSettings.mOrder || !aFlight.mService->mEngine) {
    return std::nullopt;
  }
  if (aFlight.mHasStarted) {
    return kDefaultUrgency;
  }
  const auto isShort = !IsLongPrompt(*aFlight.mService->mEngine,
                                     ToPromptWork(aForwarder, aFlight));
  return UrgencyOf(ToWaitingPrompt(aForwarder, aFlight),
                   isShort,
                   static_cast<double>(aFlight.mAttempt.mWork.size()),
                   *aForwarder.mSettings.mOrder);
}

} // namespace

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

auto
SendFlight(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  // NOTE: after a pause of the process, timers run in the order in which they
  // were due, so that the one of the deadline may come later.
  if (now >= aFlight.mDeadline) {
    aFlight.mAttempt = std::move(aAttempt);
    FailFlight(aForwarder, aFlight, { FailureKind::TooLate, {} });
    return;
  }
  // NOTE: the request may have proved harmful while engines were claimed.
  if (const auto failure = CheckSuspects(aForwarder, aFlight)) {
    aFlight.mAttempt = std::move(aAttempt);
    FailFlight(aForwarder, aFlight, *failure);
    return;
  }
  // NOTE: the last claim of a slot ends in a send whatever happened since. A
  // placement takes only endpoints that pass this check.
  if (!MaySendNow(CheckSend(aForwarder, aAttempt))) {
    ReleaseMemory(aForwarder, aAttempt);
    PlaceAgain(aForwarder, aFlight);
    return;
  }
  if (aFlight.mSends++ > 0) {
    Draw(aForwarder.mBudgets[aFlight.mService->mName], now);
    ++aForwarder.mCounters.mRepeats;
  }
  ++aForwarder.mCounters.mSends;
  aForwarder.mCounters.mSentLate += IsSentLate(aForwarder, aFlight) ? 1 : 0;
  DrawSend(aForwarder, aAttempt.mEndpoint);
  aAttempt.mIsWarmUpDrawn = DrawWarmUp(aForwarder, aAttempt.mEndpoint);
  aFlight.mTried.insert(aAttempt.mEndpoint);
  aAttempt.mSentAt = now;
  const auto endpoint = aForwarder.mView.mEntries.find(aAttempt.mEndpoint);
  if (endpoint != aForwarder.mView.mEntries.end()) {
    aAttempt.mIncarnation = endpoint->second.mNotice.mIncarnation;
  }
  aFlight.mAttempt = std::move(aAttempt);
  auto facts = AttemptParameters{};
  facts.mEndpoint = aFlight.mAttempt.mEndpoint;
  facts.mAccount = aFlight.mAccount;
  facts.mAllowance = MillisBetween(now, aFlight.mDeadline);
  facts.mLastEvent =
    aFlight.mHasStarted ? aFlight.mLastEvent : aFlight.mRequest.mLastEvent;
  facts.mHelpers = ListHelpers(aFlight.mAttempt);
  facts.mUrgency = UrgencyOfFlight(aForwarder, aFlight);
  auto exchange = MakeExchange(aForwarder, aFlight.mAttempt.mAddress);
  exchange.mConnectTimeout =
    ConnectTimeout(aForwarder.mSettings, *aFlight.mRoute);
  exchange.mRequest = aFlight.mRequest.mHttp;
  exchange.mRequest.mHeaders =
    aForwarder.mPorts.mCodec.mWriteHeaders(aFlight.mRequest, facts);
  exchange.mEcho = aForwarder.mPorts.mCodec.mEchoOf(aFlight.mRequest);
  exchange.mIsKept = IsKept(aFlight);
  // NOTE: a kept connection may hang without a sign of it.
  exchange.mNeedsNewConnection = aFlight.mIsReachTrial;
  aFlight.mAttempt.mExchange = aForwarder.mPorts.mExchanges.mStart(
    std::move(exchange), MakeHandlers(aForwarder, aFlight.mId));
  aFlight.mIsWaiting = false;
  if (!aFlight.mAttempt.mIsAnnounced) {
    NoteWorkChanged(aForwarder, aFlight);
  }
}

} // namespace cuminslip::forwarding
