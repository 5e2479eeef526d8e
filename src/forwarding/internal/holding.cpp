#include "forwarding/internal/forwarderstate.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Lease of memory at engines: what an instance that dies leaves behind is free
/// before the platform counts it as lost, also where an order came late.
constexpr auto kReservationLease = Millis(3500);
constexpr auto kRenewAfter = Millis(1000);
/// With the lease under the platform's bound of 9 s for memory that is set
/// aside and not used.
constexpr auto kUnusedReservationTime = Millis(5000);
/// Longest wait for all engines to set memory aside.
constexpr auto kReservationTimeout = Millis(400);
/// An engine that did not set memory aside is left alone for this long.
constexpr auto kRefusalPause = Millis(300);

auto
SendReservation(Forwarder& aForwarder,
                const AssignedWork& aWork,
                Millis aLease,
                std::function<void(bool)> aReply) -> void
{
  auto exchange = MakeExchange(aForwarder, aWork.mAddress);
  exchange.mRequest = aForwarder.mPorts.mCodec.mWriteReservation(
    { aWork.mHolding, aWork.mHoldTokens, aLease }, aWork.mAddress);
  auto handlers = wire::ExchangeHandlers{};
  const auto isHeld = std::make_shared<bool>(false);
  handlers.mOnHead = [&aForwarder, isHeld](int aStatus, const wire::Headers&) {
    *isHeld = aForwarder.mPorts.mCodec.mIsReserved(aStatus);
  };
  handlers.mOnEnd =
    [isHeld, reply = std::move(aReply)](const wire::ExchangeResult& aResult) {
      reply(*isHeld && aResult.mEnd == wire::ExchangeEnd::Complete);
    };
  aForwarder.mPorts.mExchanges.mStart(std::move(exchange), std::move(handlers));
}

/// Gives back what was set aside, and looks for other engines.
auto
FailReservations(Forwarder& aForwarder,
                 Flight& aFlight,
                 std::string_view aReason) -> void
{
  aForwarder.mPorts.mTimers.mStop(std::exchange(aFlight.mReservationTimer, 0));
  const auto attempt = std::exchange(aFlight.mAttempt, {});
  LogEvent(
    kReservationRefusedEvent,
    { { "request", aFlight.mRequest.mId.mValue }, { "reason", aReason } });
  for (const auto& it : attempt.mWork) {
    if (it.mHoldTokens > 0 && !it.mIsReserved) {
      aForwarder.mHealth[it.mEngine].mEjectedUntil =
        aForwarder.mPorts.mNow() + kRefusalPause;
    }
  }
  ReleaseHolds(aForwarder, attempt);
  PlaceAgain(aForwarder, aFlight);
}

auto
HandleReservationReply(Forwarder& aForwarder,
                       FlightId aFlight,
                       const HoldingId& aHolding,
                       bool aIsHeld) -> void
{
  auto* flight = FindFlight(aForwarder, aFlight);
  if (flight == nullptr || flight->mReservationTimer == 0) {
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
    FailReservations(aForwarder, *flight, "an engine did not set memory aside");
    return;
  }
  it->mIsReserved = true;
  const auto isReady =
    std::all_of(work.begin(), work.end(), [](const auto& aItem) {
      return aItem.mHoldTokens == 0 || aItem.mIsReserved;
    });
  if (!isReady) {
    return;
  }
  aForwarder.mPorts.mTimers.mStop(std::exchange(flight->mReservationTimer, 0));
  flight->mReservationsRenewedAt = aForwarder.mPorts.mNow();
  LogEvent(
    kReservationsReadyEvent,
    { { "request", flight->mRequest.mId.mValue }, { "engines", work.size() } });
  SendFlight(aForwarder, *flight, std::exchange(flight->mAttempt, {}));
}

} // namespace

auto
BeginHolds(Forwarder& aForwarder, Flight& aFlight) -> void
{
  aFlight.mIsWaiting = false;
  const auto id = aFlight.mId;
  aFlight.mReservationTimer =
    aForwarder.mPorts.mTimers.mStart(kReservationTimeout, [&aForwarder, id] {
      if (auto* flight = FindFlight(aForwarder, id)) {
        flight->mReservationTimer = 0;
        FailReservations(aForwarder, *flight, "engines did not answer in time");
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
                    std::to_string(++aForwarder.mLastReservation) + "-" +
                    std::to_string(n++) };
    SendReservation(aForwarder,
                    it,
                    kReservationLease,
                    [&aForwarder, id, holding = it.mHolding](bool aIsHeld) {
                      HandleReservationReply(aForwarder, id, holding, aIsHeld);
                    });
  }
}

auto
ReleaseHolds(Forwarder& aForwarder, const Attempt& aAttempt) -> void
{
  for (const auto& it : aAttempt.mWork) {
    if (!it.mHolding.mValue.empty()) {
      // NOTE: memory that is not given back is free when its lease ends.
      SendReservation(aForwarder, it, Millis(0), [](bool) {});
    }
  }
}

auto
RenewReservations(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [id, flight] : aForwarder.mFlights) {
    // NOTE: memory that a prompt has not come to use by then is of no use: its
    // first engine does not answer.
    const auto isUnused =
      flight->mEvents == 0 &&
      now > flight->mAttempt.mSentAt + kUnusedReservationTime;
    if (flight->mReservationTimer != 0 || isUnused ||
        now < flight->mReservationsRenewedAt + kRenewAfter) {
      continue;
    }
    flight->mReservationsRenewedAt = now;
    for (const auto& it : flight->mAttempt.mWork) {
      if (it.mIsReserved) {
        SendReservation(aForwarder, it, kReservationLease, [](bool) {});
      }
    }
  }
}

} // namespace cuminslip::forwarding
