#include "forwarding/internal/forwarderstate.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Lease of memory at engines: what an instance that dies leaves behind is free
/// before the platform counts it as lost, also where an order came late.
constexpr auto kHoldLease = Millis(3500);
constexpr auto kRenewAfter = Millis(1000);
/// With the lease under the platform's bound of 9 s for memory that is set
/// aside and not used.
constexpr auto kUnusedHoldTime = Millis(5000);
/// Longest wait for all engines to set memory aside.
constexpr auto kHoldTimeout = Millis(400);
/// An engine that did not set memory aside is left alone for this long.
constexpr auto kRefusalPause = Millis(300);

auto
SendHold(Forwarder& aForwarder,
         const GivenWork& aWork,
         Millis aLease,
         std::function<void(bool)> aReply) -> void
{
  auto exchange = MakeExchange(aForwarder, aWork.mAddress);
  exchange.mRequest = aForwarder.mPorts.mCodec.mWriteHold(
    { aWork.mHolding, aWork.mHoldTokens, aLease }, aWork.mAddress);
  auto handlers = wire::ExchangeHandlers{};
  const auto isHeld = std::make_shared<bool>(false);
  handlers.mOnHead = [&aForwarder, isHeld](int aStatus, const wire::Headers&) {
    *isHeld = aForwarder.mPorts.mCodec.mIsHeld(aStatus);
  };
  handlers.mOnEnd =
    [isHeld, reply = std::move(aReply)](const wire::ExchangeResult& aResult) {
      reply(*isHeld && aResult.mEnd == wire::ExchangeEnd::Complete);
    };
  aForwarder.mPorts.mExchanges.mStart(std::move(exchange), std::move(handlers));
}

/// Gives back what was set aside, and looks for other engines.
auto
FailHolds(Forwarder& aForwarder, Flight& aFlight, std::string_view aReason)
  -> void
{
  aForwarder.mPorts.mTimers.mStop(std::exchange(aFlight.mHoldTimer, 0));
  const auto attempt = std::exchange(aFlight.mAttempt, {});
  LogEvent(
    kHoldRefusedEvent,
    { { "request", aFlight.mRequest.mId.mValue }, { "reason", aReason } });
  for (const auto& it : attempt.mWork) {
    if (it.mHoldTokens > 0 && !it.mIsHeld) {
      aForwarder.mHealth[it.mEngine].mEjectedUntil =
        aForwarder.mPorts.mNow() + kRefusalPause;
    }
  }
  ReleaseHolds(aForwarder, attempt);
  PlaceAnew(aForwarder, aFlight);
}

auto
TakeHold(Forwarder& aForwarder,
         FlightId aFlight,
         const HoldingId& aHolding,
         bool aIsHeld) -> void
{
  auto* flight = FindFlight(aForwarder, aFlight);
  if (flight == nullptr || flight->mHoldTimer == 0) {
    return;
  }
  auto& work = flight->mAttempt.mWork;
  const auto it =
    std::find_if(work.begin(), work.end(), [&](const auto& aItem) {
      return aItem.mHolding == aHolding;
    });
  // NOTE: the answer may be that of an attempt that was given up.
  if (it == work.end()) {
    return;
  }
  if (!aIsHeld) {
    FailHolds(aForwarder, *flight, "an engine did not set memory aside");
    return;
  }
  it->mIsHeld = true;
  const auto isReady =
    std::all_of(work.begin(), work.end(), [](const auto& aItem) {
      return aItem.mHoldTokens == 0 || aItem.mIsHeld;
    });
  if (!isReady) {
    return;
  }
  aForwarder.mPorts.mTimers.mStop(std::exchange(flight->mHoldTimer, 0));
  flight->mHoldsRenewed = aForwarder.mPorts.mNow();
  LogEvent(
    kHoldsReadyEvent,
    { { "request", flight->mRequest.mId.mValue }, { "engines", work.size() } });
  SendFlight(aForwarder, *flight, std::exchange(flight->mAttempt, {}));
}

} // namespace

auto
BeginHolds(Forwarder& aForwarder, Flight& aFlight) -> void
{
  aFlight.mIsWaiting = false;
  const auto id = aFlight.mId;
  aFlight.mHoldTimer =
    aForwarder.mPorts.mTimers.mStart(kHoldTimeout, [&aForwarder, id] {
      if (auto* flight = FindFlight(aForwarder, id)) {
        flight->mHoldTimer = 0;
        FailHolds(aForwarder, *flight, "engines did not answer in time");
      }
    });
  auto n = 0;
  for (auto& it : aFlight.mAttempt.mWork) {
    if (it.mHoldTokens == 0) {
      continue;
    }
    // NOTE: names are never used again, so that a late order for one attempt
    // can't touch the memory of another.
    it.mHolding = { aForwarder.mSettings.mPeerAddress + "-" +
                    std::to_string(aForwarder.mSettings.mIncarnation) + "-" +
                    std::to_string(++aForwarder.mLastHolding) + "-" +
                    std::to_string(n++) };
    SendHold(aForwarder,
             it,
             kHoldLease,
             [&aForwarder, id, holding = it.mHolding](bool aIsHeld) {
               TakeHold(aForwarder, id, holding, aIsHeld);
             });
  }
}

auto
ReleaseHolds(Forwarder& aForwarder, const Attempt& aAttempt) -> void
{
  for (const auto& it : aAttempt.mWork) {
    if (!it.mHolding.mValue.empty()) {
      // NOTE: memory that is not given back is free when its lease ends.
      SendHold(aForwarder, it, Millis(0), [](bool) {});
    }
  }
}

auto
RenewHolds(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [id, flight] : aForwarder.mFlights) {
    // NOTE: memory that a prompt has not come to use by then is of no use: its
    // first engine does not answer.
    const auto isUnused =
      flight->mEvents == 0 && now > flight->mAttempt.mSentAt + kUnusedHoldTime;
    if (flight->mHoldTimer != 0 || isUnused ||
        now < flight->mHoldsRenewed + kRenewAfter) {
      continue;
    }
    flight->mHoldsRenewed = now;
    for (const auto& it : flight->mAttempt.mWork) {
      if (it.mIsHeld) {
        SendHold(aForwarder, it, kHoldLease, [](bool) {});
      }
    }
  }
}

} // namespace cuminslip::forwarding
