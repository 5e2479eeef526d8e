#include "fakes/service/servicecore.h"

#include <algorithm>
#include <iterator>

namespace cuminslip::fakes {

auto
CountOpenCalls(const PlainService& aService, TimePoint aNow) -> std::int64_t
{
  const auto& busy = aService.mBusyUntil;
  return std::distance(busy.upper_bound(aNow), busy.end());
}

auto
RunCall(PlainService& aService,
        const ServiceFaults& aFaults,
        const std::string& aKey,
        std::uint64_t aBody,
        TimePoint aNow) -> CallVerdict
{
  auto& busy = aService.mBusyUntil;
  busy.erase(busy.begin(), busy.upper_bound(aNow));
  const auto& settings = aService.mSettings;
  const auto open = static_cast<std::int64_t>(busy.size());
  if (open >= settings.mSlots + settings.mMaxWaiting) {
    aService.mRefused += 1;
    return { false, aNow, 0 };
  }
  // NOTE: the slot that a call gets is the one that is free first after all
  // calls before it have theirs.
  auto start = aNow;
  if (open >= settings.mSlots) {
    start = *std::next(busy.begin(), open - settings.mSlots);
  }
  const auto delay = settings.mDelay + aFaults.mExtraDelay;
  const auto scaled = std::chrono::duration_cast<Micros>(
    std::chrono::duration<double, std::micro>(Micros(delay)) /
    aService.mTimeScale);
  const auto doneAt = start + scaled;
  busy.insert(doneAt);
  aService.mRuns += 1;
  const auto byBody = ++aService.mRunsByBody[aBody];
  const auto run = aKey.empty() ? byBody : ++aService.mRunsByKey[aKey];
  return { true, doneAt, run };
}

auto
MostRunsOfKey(const PlainService& aService) -> std::int64_t
{
  auto most = std::int64_t{ 0 };
  for (const auto& [key, runs] : aService.mRunsByKey) {
    most = std::max(most, runs);
  }
  return most;
}

} // namespace cuminslip::fakes
