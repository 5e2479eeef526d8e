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

auto
IsLate(const Flight& aFlight, TimePoint aNow) -> bool
{
  return aNow >= aFlight.mArrived + aFlight.mRoute->mAnswerTarget;
}

/// Returns true for a deferred prompt that may have to be refused or sent now,
/// whether a slot is free or not, since its caller would leave.
auto
IsPatienceShort(const Forwarder& aForwarder, const Flight& aFlight) -> bool
{
  const auto& rules = *aForwarder.mSettings.mDeferral;
  const auto work = ToPromptWork(aForwarder, aFlight);
  auto prompt = LatePrompt{};
  prompt.mAnswerTarget = work.mAnswerTarget;
  prompt.mPauseTarget = aFlight.mRoute->mPauseTarget;
  const auto patience =
    std::min(PatienceOf(prompt, rules), work.mWaited + work.mAllowance);
  // NOTE: an engine with a free slot would answer within the target.
  return work.mWaited + work.mAnswerTarget + rules.mMargin >= patience;
}

/// The waiting prompts of one service while they are being placed in order.
struct ServiceQueue
{
  double mAheadMillis = 0;
  /// Of each priority, those that were passed and still wait, and all.
  std::map<int, double> mSameAheadMillis;
  std::map<int, double> mSameMillis;
  /// No slot is free for a deferred prompt, and for a late one.
  bool mIsFull = false;
  bool mIsFullForLate = false;
};

/// Places one flight in its turn.
auto
PlaceInTurn(Forwarder& aForwarder,
            Flight& aFlight,
            const WaitingPrompt& aPrompt,
            ServiceQueue& aQueue) -> void
{
  const auto isLate = IsLate(aFlight, aForwarder.mPorts.mNow());
  const auto isFull = isLate ? aQueue.mIsFullForLate : aQueue.mIsFull;
  if (!aFlight.mIsDeferred || !isFull || aForwarder.mStop ||
      IsPatienceShort(aForwarder, aFlight)) {
    aFlight.mQueue = OwnQueue{ aQueue.mAheadMillis,
                               aQueue.mSameAheadMillis[aPrompt.mPriority],
                               aQueue.mSameMillis[aPrompt.mPriority] };
    PlaceFlight(aForwarder, aFlight);
  }
  auto* flight = FindFlight(aForwarder, aPrompt.mId);
  if (flight == nullptr || !flight->mIsWaiting) {
    aQueue.mSameMillis[aPrompt.mPriority] -= aPrompt.mEngineMillis;
  } else {
    aQueue.mAheadMillis += aPrompt.mEngineMillis;
    aQueue.mSameAheadMillis[aPrompt.mPriority] += aPrompt.mEngineMillis;
    aQueue.mIsFull |= flight->mIsDeferred && !isLate;
    aQueue.mIsFullForLate |= flight->mIsDeferred;
  }
  if (flight != nullptr) {
    flight->mQueue.reset();
  }
}

/// Places the waiting flights in the order of policy/workorder.h. A late
/// deferred prompt leaves slots free, so one without a slot says nothing of
/// those in time that come after it.
auto
PlaceInOrder(Forwarder& aForwarder) -> void
{
  const auto flights = OrderFlights(aForwarder);
  auto queues = std::map<std::string, ServiceQueue>{};
  for (const auto& [id, prompt] : flights) {
    queues[FindFlight(aForwarder, id)->mService->mName]
      .mSameMillis[prompt.mPriority] += prompt.mEngineMillis;
  }
  for (const auto& [id, prompt] : flights) {
    auto* flight = FindFlight(aForwarder, id);
    if (flight != nullptr && flight->mIsWaiting) {
      PlaceInTurn(aForwarder, *flight, prompt, queues[flight->mService->mName]);
    }
  }
}

/// Places the waiting flights: first those that can still meet their answer
/// target, then by arrival.
auto
PlaceByArrival(Forwarder& aForwarder) -> void
{
  const auto now = aForwarder.mPorts.mNow();
  auto waiting = std::vector<std::tuple<bool, TimePoint, FlightId>>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    if (flight->mIsWaiting) {
      waiting.emplace_back(IsLate(*flight, now), flight->mArrived, id);
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
WaitForEngine(Forwarder& aForwarder, Flight& aFlight, std::size_t aCandidates)
  -> void
{
  aFlight.mHasWaited = true;
  if (std::exchange(aFlight.mIsWaiting, true)) {
    return;
  }
  aForwarder.mIsNoticeDue |= aForwarder.mSettings.mOrder.has_value();
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
      if (aForwarder.mSettings.mOrder) {
        PlaceInOrder(aForwarder);
      } else {
        PlaceByArrival(aForwarder);
      }
    });
}

} // namespace cuminslip::forwarding
