#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/statements.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Lease of reserved memory at engines. The reservations of an instance that
/// crashed expire before the platform counts them as leaked, even if the order
/// arrived late.
constexpr auto kReservationLease = Millis(3500);
constexpr auto kRenewAfter = Millis(1000);
/// Unused reservations are not renewed after this time. The sum of it and the
/// lease is below the platform's limit of 9 s for unused reserved memory.
constexpr auto kUnusedReservationTime = Millis(5000);
/// Maximum time for all engines to confirm their reservations.
constexpr auto kReservationTimeout = Millis(400);
/// Longest answer to a reservation.
constexpr auto kMaxReplyBytes = std::size_t{ 64 } * 1024;
/// Ejection time of an engine that did not confirm a reservation.
constexpr auto kRefusalEjection = Millis(300);

auto
SendReservation(Forwarder& aForwarder,
                const AssignedWork& aWork,
                Millis aLease,
                std::function<void(bool)> aReply) -> void
{
  auto exchange = MakeExchange(aForwarder, aWork.mAddress);
  exchange.mRequest = aForwarder.mPorts.mCodec.mWriteReservation(
    { aWork.mHolding, aWork.mHoldTokens, aLease }, aWork.mAddress);
  exchange.mMaxBodyBytes = kMaxReplyBytes;
  // NOTE: answers to requests carry the id of theirs, answers to orders none.
  exchange.mEcho = aForwarder.mPorts.mCodec.mEchoOf({});
  auto handlers = wire::ExchangeHandlers{};
  const auto isHeld = std::make_shared<bool>(false);
  auto source = StatementSource{};
  source.mEndpoint = aWork.mEngine;
  source.mSentAt = aForwarder.mPorts.mNow();
  const auto entry = aForwarder.mView.mEntries.find(aWork.mEngine);
  if (entry != aForwarder.mView.mEntries.end()) {
    source.mIncarnation = entry->second.mNotice.mIncarnation;
  }
  handlers.mOnHead =
    [&aForwarder, isHeld, source](int aStatus, const wire::Headers& aHeaders) {
      *isHeld = aForwarder.mPorts.mCodec.mIsReserved(aStatus);
      NoteStatement(
        aForwarder,
        source,
        aForwarder.mPorts.mCodec.mReadAnswer(aStatus, aHeaders).mStatement);
    };
  handlers.mOnEnd =
    [isHeld, reply = std::move(aReply)](const wire::ExchangeResult& aResult) {
      reply(*isHeld && aResult.mEnd == wire::ExchangeEnd::Complete);
    };
  aForwarder.mPorts.mExchanges.mStart(std::move(exchange), std::move(handlers));
}

/// Releases the reservations of the attempt and places the flight again.
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
        aForwarder.mPorts.mNow() + kRefusalEjection;
    }
  }
  ReleaseMemory(aForwarder, attempt);
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
  // NOTE: the reply may belong to an abandoned attempt.
  if (it == work.end()) {
    return;
  }
  if (!aIsHeld) {
    FailReservations(
      aForwarder, *flight, "an engine refused to reserve memory");
    return;
  }
  // NOTE: after a pause of the process, a reply may be handled before the timer
  // that was due earlier, and the lease may have ended.
  if (aForwarder.mPorts.mNow() >=
      flight->mReservationsRenewedAt + kReservationTimeout) {
    FailReservations(
      aForwarder, *flight, "engines did not confirm reservations in time");
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
  if (!MaySendNow(CheckSend(aForwarder, flight->mAttempt))) {
    FailReservations(
      aForwarder, *flight, "the first engine has stated a request limit");
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
ReserveMemory(Forwarder& aForwarder, Flight& aFlight) -> void
{
  aFlight.mIsWaiting = false;
  aFlight.mReservationsRenewedAt = aForwarder.mPorts.mNow();
  const auto id = aFlight.mId;
  aFlight.mReservationTimer =
    aForwarder.mPorts.mTimers.mStart(kReservationTimeout, [&aForwarder, id] {
      if (auto* flight = FindFlight(aForwarder, id)) {
        flight->mReservationTimer = 0;
        FailReservations(
          aForwarder, *flight, "engines did not confirm reservations in time");
      }
    });
  auto n = 0;
  for (auto& it : aFlight.mAttempt.mWork) {
    if (it.mHoldTokens == 0) {
      continue;
    }
    // NOTE: reservation ids are never reused, so that a delayed order of one
    // attempt can't affect the memory of another.
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
ReleaseMemory(Forwarder& aForwarder, const Attempt& aAttempt) -> void
{
  for (const auto& it : aAttempt.mWork) {
    if (!it.mHolding.mValue.empty()) {
      // NOTE: if the release fails, the memory is freed when its lease expires.
      SendReservation(aForwarder, it, Millis(0), [](bool) {});
    }
  }
}

auto
RenewReservations(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& [id, flight] : aForwarder.mFlights) {
    // NOTE: reservations still unused by then are not needed, since the first
    // engine of the prompt does not answer.
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
