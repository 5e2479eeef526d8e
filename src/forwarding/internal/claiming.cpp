#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/statements.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Maximum number of claims of one flight. After the last one it is sent
/// regardless of the claims of others.
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
    ReserveMemory(aForwarder, aFlight);
    return;
  }
  SendFlight(aForwarder, aFlight, std::exchange(aFlight.mAttempt, {}));
}

auto
EndClaim(Forwarder& aForwarder, Flight& aFlight) -> void
{
  // NOTE: the endpoint may have stated a limit since it was chosen.
  if (!MaySendNow(CheckSend(aForwarder, aFlight.mAttempt))) {
    PlaceAgain(aForwarder, aFlight);
    return;
  }
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
  const auto others =
    GroupSize(aForwarder, aFlight.mAttempt.mWork.front().mGroup) - 1;
  if (others == 0) {
    SendClaimed(aForwarder, aFlight);
    return;
  }
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
