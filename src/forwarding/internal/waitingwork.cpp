#include "forwarding/internal/forwarderstate.h"

#include "policy/passmodel.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// The prompts of one service that wait here, and the work of accounts on it.
struct ServiceWork
{
  std::vector<FlightId> mFlights;
  std::vector<WaitingPrompt> mPrompts;
  std::vector<AccountWork> mRunning;
};

auto
PromptTokens(const Flight& aFlight) -> std::int64_t
{
  const auto& prompt = aFlight.mRequest.mPrompt;
  return prompt ? prompt->mPromptTokens : 0;
}

/// Adds a flight to the work of its service. Work in decoding takes no prefill
/// time and does not count.
auto
AddFlightWork(const Forwarder& aForwarder,
              const Flight& aFlight,
              bool aIsWaiting,
              ServiceWork& aWork) -> void
{
  if (aIsWaiting) {
    aWork.mFlights.push_back(aFlight.mId);
    aWork.mPrompts.push_back(ToWaitingPrompt(aForwarder, aFlight));
  } else if (!aFlight.mAttempt.mWork.empty() && aFlight.mEvents == 0) {
    aWork.mRunning.push_back({ aFlight.mAccount, EngineMillis(aFlight) });
  }
}

/// Returns the number of ready engines of a service that this instance's group
/// places prompts on.
auto
CountEngines(const Forwarder& aForwarder, const std::string& aService) -> double
{
  auto n = 0;
  for (const auto& [id, entry] : aForwarder.mView.mEntries) {
    const auto& notice = entry.mNotice;
    const auto isReady = notice.mService == aService &&
                         notice.mState == directory::NoticeState::Ready;
    n += isReady && GroupOfEngine(aForwarder, notice) == aForwarder.mOwnGroup
           ? 1
           : 0;
  }
  return n;
}

/// Returns the engine milliseconds that other instances of the group wait with,
/// by priority.
auto
SumWaitingElsewhere(const Forwarder& aForwarder) -> std::vector<double>
{
  const auto now = aForwarder.mPorts.mNow();
  auto sum = std::vector<double>(kStatedPriorities, 0.0);
  for (const auto& [address, remote] : aForwarder.mRemote) {
    if (now - remote.mHeard > aForwarder.mSettings.mMaxNoticeAge) {
      continue;
    }
    const auto n = std::min(remote.mWaitingMillis.size(), sum.size());
    for (auto i = std::size_t{ 0 }; i < n; ++i) {
      sum[i] += remote.mWaitingMillis[i];
    }
  }
  return sum;
}

auto
QueueOfFlight(const Forwarder& aForwarder,
              const Flight& aFlight,
              double aEngines) -> OwnQueue
{
  auto work = ServiceWork{};
  work.mFlights.reserve(aForwarder.mFlights.size());
  work.mPrompts.reserve(aForwarder.mFlights.size());
  auto own = std::size_t{ 0 };
  for (const auto& [id, flight] : aForwarder.mFlights) {
    if (flight->mService == nullptr ||
        flight->mService->mName != aFlight.mService->mName) {
      continue;
    }
    const auto isOwn = id == aFlight.mId;
    own = isOwn ? work.mPrompts.size() : own;
    AddFlightWork(aForwarder, *flight, isOwn || flight->mIsWaiting, work);
  }
  return QueueOf(work.mPrompts,
                 own,
                 *aForwarder.mSettings.mOrder,
                 { aEngines, work.mRunning });
}

} // namespace

auto
EngineMillis(const Flight& aFlight) -> double
{
  if (aFlight.mService == nullptr || !aFlight.mService->mEngine) {
    return 0;
  }
  return PrefillMillis(*aFlight.mService->mEngine, PromptTokens(aFlight));
}

auto
ToWaitingPrompt(const Forwarder& aForwarder, const Flight& aFlight)
  -> WaitingPrompt
{
  const auto now = aForwarder.mPorts.mNow();
  const auto whole = static_cast<double>(aFlight.mRoute->mTimeout.count()) *
                     aForwarder.mSettings.mOrder->mReturnedShare;
  const auto given = MillisBetween(aFlight.mArrived, aFlight.mDeadline);
  return { aFlight.mId,
           aFlight.mAccount,
           aFlight.mPriority,
           EngineMillis(aFlight),
           PromptTokens(aFlight),
           aFlight.mRoute->mAnswerTarget,
           MillisBetween(aFlight.mArrived, now),
           MillisBetween(now, aFlight.mDeadline),
           static_cast<double>(given.count()) < whole };
}

auto
OrderFlights(const Forwarder& aForwarder)
  -> std::vector<std::pair<FlightId, WaitingPrompt>>
{
  auto services = std::map<std::string_view, ServiceWork>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    if (flight->mService != nullptr) {
      AddFlightWork(aForwarder,
                    *flight,
                    flight->mIsWaiting,
                    services[flight->mService->mName]);
    }
  }
  auto flights = std::vector<std::pair<FlightId, WaitingPrompt>>{};
  for (const auto& [service, work] : services) {
    const auto engines = CountEngines(aForwarder, std::string(service));
    for (const auto i : OrderWork(work.mPrompts,
                                  *aForwarder.mSettings.mOrder,
                                  { engines, work.mRunning })) {
      flights.emplace_back(work.mFlights[i], work.mPrompts[i]);
    }
  }
  return flights;
}

auto
SumWaiting(const Forwarder& aForwarder) -> std::vector<double>
{
  auto sum = std::vector<double>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    if (!aForwarder.mSettings.mOrder || !flight->mIsWaiting) {
      continue;
    }
    const auto priority = StatedPriority(flight->mPriority);
    sum.resize(std::max(sum.size(), priority + 1), 0.0);
    sum[priority] += EngineMillis(*flight);
  }
  return sum;
}

auto
ForecastRoom(const Forwarder& aForwarder,
             const Flight& aFlight,
             std::span<const EngineCandidate> aEngines) -> RoomForecast
{
  const auto engines = static_cast<double>(aEngines.size());
  auto busy = 0.0;
  for (const auto& it : aEngines) {
    busy += it.mWork.mReadMillis * it.mSlowdown / engines;
  }
  const auto queue = aFlight.mQueue
                       ? *aFlight.mQueue
                       : QueueOfFlight(aForwarder, aFlight, engines);
  const auto elsewhere =
    WorkAheadElsewhere(SumWaitingElsewhere(aForwarder),
                       ToWaitingPrompt(aForwarder, aFlight),
                       queue);
  return { engines, busy, queue.mAheadMillis + elsewhere };
}

} // namespace cuminslip::forwarding
