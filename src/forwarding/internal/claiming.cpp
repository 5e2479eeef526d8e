#include "forwarding/internal/forwarderstate.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Claims of one flight; the last is sent whatever others claim.
constexpr auto kMaxClaims = 4;

auto
CountCompetingPrompts(const Forwarder& aForwarder, const Attempt& aAttempt)
  -> std::int64_t
{
  auto n = std::int64_t{ 0 };
  for (const auto& it : aAttempt.mWork) {
    n += RemoteWorkOn(aForwarder, it.mEngine).mLongPromptsInPrefill;
  }
  return n;
}

auto
SendClaimed(Forwarder& aForwarder, Flight& aFlight) -> void
{
  const auto& work = aFlight.mAttempt.mWork;
  const auto needsMemory =
    std::any_of(work.begin(), work.end(), [](const auto& aItem) {
      return aItem.mHoldTokens > 0;
    });
  if (needsMemory) {
    BeginHolds(aForwarder, aFlight);
    return;
  }
  SendFlight(aForwarder, aFlight, std::exchange(aFlight.mAttempt, {}));
}

auto
EndClaim(Forwarder& aForwarder, Flight& aFlight) -> void
{
  const auto rivals = CountCompetingPrompts(aForwarder, aFlight.mAttempt);
  if (rivals <= aFlight.mCompetingPrompts || aFlight.mClaims >= kMaxClaims) {
    SendClaimed(aForwarder, aFlight);
    return;
  }
  LogEvent(kClaimAbandonedEvent,
           { { "request", aFlight.mRequest.mId.mValue },
             { "engines", aFlight.mAttempt.mWork.size() },
             { "rivals_before", aFlight.mCompetingPrompts },
             { "rivals", rivals },
             { "claims", aFlight.mClaims } });
  PlaceAgain(aForwarder, aFlight);
}

} // namespace

auto
BeginClaim(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt) -> void
{
  aFlight.mIsWaiting = false;
  aFlight.mAttempt = std::move(aAttempt);
  if (aForwarder.mEntries.size() <= 1) {
    SendClaimed(aForwarder, aFlight);
    return;
  }
  const auto others = aForwarder.mEntries.size() - 1;
  ++aFlight.mClaims;
  aFlight.mCompetingPrompts =
    CountCompetingPrompts(aForwarder, aFlight.mAttempt);
  aFlight.mAttempt.mIsAnnounced = true;
  aFlight.mClaimTimer = aForwarder.mPorts.mTimers.mStart(
    aForwarder.mSettings.mClaimTimePerInstance * others,
    [&aForwarder, id = aFlight.mId] {
      if (auto* flight = FindFlight(aForwarder, id)) {
        flight->mClaimTimer = 0;
        EndClaim(aForwarder, *flight);
      }
    });
  NoteWorkChanged(aForwarder, aFlight);
}

} // namespace cuminslip::forwarding
