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

/// Returns the number of slots of the engine that this instance may take now.
auto
OwnSlots(const Forwarder& aForwarder,
         const EndpointId& aEngine,
         std::int64_t aSlots) -> std::int64_t
{
  const auto key = Checksum(aEngine.mValue);
  const auto rankOf = [&](const std::string& aInstance) {
    return Checksum(aInstance, key);
  };
  const auto all = WorkOn(aForwarder, aEngine);
  const auto own = OwnWorkOn(aForwarder, aEngine);
  auto others = std::vector<SlotClaim>{};
  const auto shares = aForwarder.mRemoteShares.find(key);
  if (shares != aForwarder.mRemoteShares.end()) {
    for (const auto& it : shares->second) {
      if (it.mWork.mClaimedStreams > 0) {
        others.push_back(
          { rankOf(it.mSource->mInstance), it.mWork.mClaimedStreams });
      }
    }
  }
  return GrantedSlots(
    aSlots - (all.mStreams - all.mClaimedStreams),
    { rankOf(aForwarder.mSettings.mPeerAddress), own.mClaimedStreams },
    others);
}

auto
EndSlotClaim(Forwarder& aForwarder, Flight& aFlight) -> void
{
  const auto isGranted = MaySendNow(CheckSend(aForwarder, aFlight.mAttempt)) &&
                         OwnSlots(aForwarder,
                                  aFlight.mAttempt.mEndpoint,
                                  aFlight.mService->mEngine->mSlots) > 0;
  aFlight.mIsSlotClaimed = false;
  if (isGranted || aFlight.mClaims >= kMaxClaims) {
    SendFlight(aForwarder, aFlight, std::exchange(aFlight.mAttempt, {}));
    return;
  }
  ++aForwarder.mCounters.mSlotClaimsLost;
  PlaceAgain(aForwarder, aFlight);
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

auto
BeginSlotClaim(Forwarder& aForwarder, Flight& aFlight, Attempt aAttempt) -> void
{
  aFlight.mIsWaiting = false;
  aFlight.mIsDeferred = false;
  aFlight.mIsSlotClaimed = true;
  aFlight.mAttempt = std::move(aAttempt);
  const auto others =
    GroupSize(aForwarder, aFlight.mAttempt.mWork.front().mGroup) - 1;
  ++aFlight.mClaims;
  // NOTE: long enough to hear of a claim that another instance made just before
  // it heard of this one.
  constexpr auto kNoticesInTime = 2;
  aFlight.mClaimTimer = aForwarder.mPorts.mTimers.mStart(
    aForwarder.mSettings.mClaimTimePerInstance * kNoticesInTime * others,
    [&aForwarder, id = aFlight.mId] {
      if (auto* flight = FindFlight(aForwarder, id)) {
        flight->mClaimTimer = 0;
        EndSlotClaim(aForwarder, *flight);
      }
    });
  NoteWorkChanged(aForwarder, aFlight);
}

} // namespace cuminslip::forwarding
