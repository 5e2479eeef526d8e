#include "evacuation/evacuation.h"
#include "forwarding/internal/forwarderstate.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

auto
IsInEvacuatedDomain(const Forwarder& aForwarder,
                    const directory::EndpointNotice& aEndpoint) -> bool
{
  return evacuation::IsEvacuated(aForwarder.mEvacuations,
                                 aEndpoint.mFailureDomain);
}

auto
CountEvacuatedEndpoints(const Forwarder& aForwarder) -> std::size_t
{
  const auto& entries = aForwarder.mView.mEntries;
  return static_cast<std::size_t>(
    std::count_if(entries.begin(), entries.end(), [&](const auto& aItem) {
      const auto& notice = aItem.second.mNotice;
      return notice.mState != directory::NoticeState::Gone &&
             IsInEvacuatedDomain(aForwarder, notice);
    }));
}

auto
SetEvacuations(Forwarder& aForwarder, evacuation::Evacuations aEvacuations)
  -> void
{
  if (aEvacuations == aForwarder.mEvacuations) {
    return;
  }
  aForwarder.mEvacuations = std::move(aEvacuations);
  auto domains = std::string{};
  for (const auto& it : aForwarder.mEvacuations.mDomains) {
    if (it.mIsEvacuated) {
      domains += (domains.empty() ? "" : " ") + it.mDomain.mValue;
    }
  }
  LogEvent(kEvacuationsInForceEvent,
           { { "domains", domains },
             { "endpoints", CountEvacuatedEndpoints(aForwarder) } });
  RefreshGroups(aForwarder);
  SchedulePlacement(aForwarder, true);
}

} // namespace cuminslip::forwarding
