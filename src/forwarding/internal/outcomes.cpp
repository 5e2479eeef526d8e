#include "forwarding/internal/forwarderstate.h"

#include <algorithm>

namespace cuminslip::forwarding {

auto
AddTime(TimeHistogram& aHistogram, Millis aTime) -> void
{
  const auto it =
    std::lower_bound(kTimeBounds.begin(), kTimeBounds.end(), aTime);
  ++aHistogram.mCounts.at(
    static_cast<std::size_t>(std::distance(kTimeBounds.begin(), it)));
  aHistogram.mSum += aTime;
}

auto
ToText(ForwardOutcome aOutcome) -> std::string_view
{
  switch (aOutcome) {
    case ForwardOutcome::Delivered:
      return "delivered";
    case ForwardOutcome::Refused:
      return "refused";
    case ForwardOutcome::Failed:
      return "failed";
    case ForwardOutcome::Cut:
      return "cut";
    case ForwardOutcome::CallerGone:
      return "caller_gone";
  }
  return "unknown";
}

auto
NoteOutcome(Forwarder& aForwarder,
            const Flight& aFlight,
            ForwardOutcome aOutcome) -> void
{
  // NOTE: the instance that the caller sent it to counts it.
  if (aFlight.mIsRelayed) {
    return;
  }
  auto& counters = aForwarder.mCounters;
  switch (aOutcome) {
    case ForwardOutcome::Delivered:
      ++counters.mDelivered;
      break;
    case ForwardOutcome::Refused:
      ++counters.mRefused;
      break;
    case ForwardOutcome::Failed:
    case ForwardOutcome::Cut:
      ++counters.mFailed;
      break;
    case ForwardOutcome::CallerGone:
      ++counters.mCallersGone;
      break;
  }
  const auto kind =
    aFlight.mRoute ? std::optional(aFlight.mRoute->mKind) : std::nullopt;
  const auto now = aForwarder.mPorts.mNow();
  AddTime(aForwarder.mTimes.mWhole[{ kind, aOutcome }],
          MillisBetween(aFlight.mArrived, now));
  if (aFlight.mEvents > 0) {
    AddTime(aForwarder.mTimes.mFirstEvent,
            MillisBetween(aFlight.mArrived, aFlight.mFirstEventAt));
  }
}

} // namespace cuminslip::forwarding
