#include "forwarding/internal/forwarderstate.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

/// Calls aAdd with each engine that the flight has work on, or only with aOnly
/// if it is not null, and the work.
template<class Function>
auto
ForAssignedWork(const Forwarder& aForwarder,
                const Flight& aFlight,
                const EndpointId* aOnly,
                Function aAdd) -> void
{
  if (aFlight.mAttempt.mWork.empty()) {
    return;
  }
  const auto now = aForwarder.mPorts.mNow();
  for (const auto& assigned : aFlight.mAttempt.mWork) {
    if (aOnly != nullptr && assigned.mEngine != *aOnly) {
      continue;
    }
    auto work = EngineWork{};
    // NOTE: an overdue prefill may continue for a while. That the whole prompt
    // is not prefilled yet says little about the part of one helper.
    constexpr auto kOverdueMillis = 30.0;
    const auto left =
      std::chrono::duration<double, std::milli>(assigned.mPrefillEnd - now)
        .count();
    const auto isUnread =
      aFlight.mEvents == 0 && (!assigned.mIsHelper || left > -kOverdueMillis);
    if (isUnread) {
      work.mReadMillis = std::max(left, kOverdueMillis);
      work.mLongPromptsInPrefill = assigned.mIsHelper ? 1 : 0;
    }
    if (!assigned.mIsHelper) {
      const auto& timing = *aFlight.mService->mEngine;
      const auto prompt = ToPromptWork(aForwarder, aFlight);
      work.mStreams = 1;
      work.mClaimedStreams = aFlight.mIsSlotClaimed ? 1 : 0;
      work.mStreamsInPrefill = aFlight.mEvents == 0 ? 1 : 0;
      work.mContextTokens = prompt.mPromptTokens;
      work.mLongStreams = IsLongPrompt(timing, prompt) ? 1 : 0;
      const auto pause = aFlight.mRoute->mPauseTarget;
      work.mLongPromptsInPrefill = work.mStreamsInPrefill * work.mLongStreams;
      if (pause > Millis(0) && work.mLongStreams > 0) {
        work.mPauseMillis = static_cast<double>(pause.count());
      }
    }
    aAdd(assigned.mEngine, work);
  }
}

} // namespace

auto
ToPromptWork(const Forwarder& aForwarder, const Flight& aFlight) -> PromptWork
{
  const auto prompt = aFlight.mRequest.mPrompt.value_or(PromptFacts{});
  const auto now = aForwarder.mPorts.mNow();
  return { prompt.mPromptTokens,
           prompt.mMaxOutputTokens,
           aFlight.mRoute->mAnswerTarget,
           aFlight.mStrictestPause,
           MillisBetween(aFlight.mArrived, now),
           MillisBetween(now, aFlight.mDeadline) };
}

auto
OwnWorkOn(const Forwarder& aForwarder, const EndpointId& aEngine) -> EngineWork
{
  auto work = EngineWork{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    ForAssignedWork(
      aForwarder, *flight, &aEngine, [&](const auto&, const auto& aWork) {
        work = AddWork(work, aWork);
      });
  }
  return work;
}

auto
OwnWorkByEngine(const Forwarder& aForwarder)
  -> std::unordered_map<EndpointId, EngineWork>
{
  auto works = std::unordered_map<EndpointId, EngineWork>{};
  for (const auto& [id, flight] : aForwarder.mFlights) {
    ForAssignedWork(
      aForwarder, *flight, nullptr, [&](const auto& aId, const auto& aWork) {
        auto& sum = works[aId];
        sum = AddWork(sum, aWork);
      });
  }
  return works;
}

auto
RemoteWorkOn(const Forwarder& aForwarder, const EndpointId& aEngine)
  -> EngineWork
{
  auto work = EngineWork{};
  const auto now = aForwarder.mPorts.mNow();
  const auto key = Checksum(aEngine.mValue);
  const auto addWork = [&](const EngineWork& aWork, TimePoint aHeard) {
    const auto age = now - aHeard;
    if (age > aForwarder.mSettings.mMaxNoticeAge) {
      return;
    }
    auto known = aWork;
    const auto passed = std::chrono::duration<double, std::milli>(age).count();
    known.mReadMillis = std::max(known.mReadMillis - passed, 0.0);
    work = AddWork(work, known);
  };
  const auto shares = aForwarder.mRemoteShares.find(key);
  if (shares != aForwarder.mRemoteShares.end()) {
    for (const auto& it : shares->second) {
      addWork(it.mWork, it.mSource->mHeard);
    }
  }
  const auto summary = aForwarder.mSummaries.find(key);
  if (summary != aForwarder.mSummaries.end()) {
    addWork(summary->second.mWork, summary->second.mHeard);
  }
  return work;
}

auto
WorkOn(const Forwarder& aForwarder, const EndpointId& aEngine) -> EngineWork
{
  return AddWork(OwnWorkOn(aForwarder, aEngine),
                 RemoteWorkOn(aForwarder, aEngine));
}

} // namespace cuminslip::forwarding
