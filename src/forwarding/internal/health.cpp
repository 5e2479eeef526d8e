#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/warmup.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

auto
NoteSuccess(Forwarder& aForwarder, const EndpointId& aEndpoint) -> void
{
  if (aEndpoint.mValue.empty()) {
    return;
  }
  auto& health = aForwarder.mHealth[aEndpoint];
  health.mFailuresInRow = 0;
  health.mEjectedUntil = {};
  NoteContact(aForwarder, aEndpoint);
}

auto
NoteFailure(Forwarder& aForwarder,
            const EndpointId& aEndpoint,
            std::string_view aReason) -> void
{
  constexpr auto kMaxDoublings = 10;
  if (aForwarder.mReach.mIsLost) {
    return;
  }
  auto& health = aForwarder.mHealth[aEndpoint];
  const auto doublings = std::min(health.mFailuresInRow++, kMaxDoublings);
  const auto pause =
    std::min(aForwarder.mSettings.mFirstEjection * (1 << doublings),
             aForwarder.mSettings.mMaxEjection);
  health.mEjectedUntil = aForwarder.mPorts.mNow() + pause;
  LogEvent(kForwardEjectedEvent,
           { { "endpoint", aEndpoint.mValue },
             { "reason", aReason },
             { "failures_in_row", health.mFailuresInRow },
             { "pause_ms", pause.count() } });
}

} // namespace cuminslip::forwarding
