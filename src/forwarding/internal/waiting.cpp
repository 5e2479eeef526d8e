#include "forwarding/internal/forwarderstate.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cuminslip::forwarding {

namespace {

/// Range of the random delay after which instances place prompts on an engine
/// that became free, multiplied by the number of instances in the group. Ten
/// times the time to send a notice to one more instance.
constexpr auto kPlacementSpreadPerInstance = Micros(2000);

/// Places the waiting flights: first those that can still meet their answer
/// target, then by arrival.
auto
PlaceWaiting(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  auto waiting = std::vector<std::tuple<bool, TimePoint, FlightId>>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    if (flight->mIsWaiting) {
      const auto isLate =
        now >= flight->mArrived + flight->mRoute->mAnswerTarget;
      waiting.emplace_back(isLate, flight->mArrived, id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  // NOTE: where no slot is free for one deferred prompt, the later ones of its
  // route need not be tried: a burst leaves many of them. Late ones are looked
  // at apart, since they are refused before their callers leave.
  auto full = std::set<std::pair<const routing::Route*, bool>>{};
  for (const auto& [isLate, arrived, id] : waiting) {
    auto* flight = FindFlight(aForwarder, id);
    const auto isTried =
      flight != nullptr &&
      !(flight->mIsDeferred && full.contains({ flight->mRoute, isLate }));
    if (!isTried) {
      continue;
    }
    PlaceFlight(aForwarder, *flight);
    flight = FindFlight(aForwarder, id);
    if (flight != nullptr && flight->mIsWaiting && flight->mIsDeferred) {
      full.insert({ flight->mRoute, isLate });
    }
  }
}

} // namespace

auto
MayWaitForEndpoints(const Forwarder& aForwarder, const Flight& aFlight) -> bool
{
  const auto now = aForwarder.mPorts.mNow();
  const auto isEarly =
    now - aFlight.mArrived < (aFlight.mDeadline - aFlight.mArrived) / 2;
  return now < aForwarder.mDiscoverySettledAt && isEarly &&
         !aFlight.mHasStarted;
}

auto
WaitForEngine(Flight& aFlight, std::size_t aCandidates) -> void
{
  if (std::exchange(aFlight.mIsWaiting, true)) {
    return;
  }
  LogEvent(kForwardWaitsEvent,
           { { "request", aFlight.mRequest.mId.mValue },
             { "route", aFlight.mRoute->mName },
             { "prompt_tokens",
               aFlight.mRequest.mPrompt.value_or(PromptFacts{}).mPromptTokens },
             { "candidates", aCandidates } });
}

auto
SchedulePlacement(Forwarder& aForwarder, bool aIsAtOnce) -> void
{
  const auto hasWaiting =
    std::any_of(aForwarder.mFlights.begin(),
                aForwarder.mFlights.end(),
                [](const auto& aItem) { return aItem.second->mIsWaiting; });
  if (!hasWaiting || aForwarder.mPlacementTimer != 0) {
    return;
  }
  // NOTE: all instances learn of a free engine at the same time. The first one
  // to use it announces that to the others within this delay.
  const auto longest =
    kPlacementSpreadPerInstance * GroupSize(aForwarder, aForwarder.mOwnGroup);
  auto spread = std::uniform_int_distribution<std::int64_t>(
    0, aIsAtOnce ? 0 : Micros(longest).count());
  aForwarder.mPlacementTimer = aForwarder.mPorts.mTimers.mStart(
    Micros(spread(aForwarder.mRandom)), [&aForwarder] {
      aForwarder.mPlacementTimer = 0;
      PlaceWaiting(aForwarder);
    });
}

} // namespace cuminslip::forwarding
