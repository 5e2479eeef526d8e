#include "evacuation/evacuation.h"
#include "forwarding/internal/forwarderstate.h"
#include "forwarding/internal/warmup.h"
#include "forwarding/types/forwardevents.h"

#include <algorithm>

namespace cuminslip::forwarding {

namespace {

using evacuation::DomainEvacuation;
using evacuation::Evacuations;

/// Returns the domains whose evacuation ended between two documents, also if
/// the one that began it was missed. Without an earlier document there are
/// none: the instance has just started, and endpoints state their warm-up in
/// the notices that it gets then.
auto
ListRestored(const Evacuations& aBefore, const Evacuations& aNow)
  -> std::vector<FailureDomainId>
{
  auto restored = std::vector<FailureDomainId>{};
  if (aBefore.mDomains.empty()) {
    return restored;
  }
  for (const auto& it : aNow.mDomains) {
    const auto known = std::find_if(
      aBefore.mDomains.begin(), aBefore.mDomains.end(), [&](const auto& aItem) {
        return aItem.mDomain == it.mDomain;
      });
    const auto before =
      known == aBefore.mDomains.end() ? DomainEvacuation{} : *known;
    if (!it.mIsEvacuated && it.mChanges > before.mChanges) {
      restored.push_back(it.mDomain);
    }
  }
  return restored;
}

} // namespace

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
  for (const auto& it : ListRestored(aForwarder.mEvacuations, aEvacuations)) {
    NoteRestoredDomain(aForwarder, it);
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
