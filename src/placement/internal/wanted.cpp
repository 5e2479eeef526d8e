#include "placement/placement.h"

#include <algorithm>
#include <cmath>

namespace cuminslip::placement {

namespace {

struct DomainFacts
{
  std::size_t mEngines = 0;
  double mTokensPerSecond = 0;
  RegionId mRegion;
};

using DomainMap = std::map<FailureDomainId, DomainFacts>;

/// Failure domains with active model engines.
auto
FindDomains(const Placement& aPlacement, const PlacementInput& aInput)
  -> DomainMap
{
  auto domains = DomainMap{};
  for (const auto& endpoint : aInput.mEndpoints) {
    const auto& view = endpoint.mView;
    if (view.mKind != EndpointKind::ModelEngine ||
        view.mState != EndpointState::Active) {
      continue;
    }
    auto& facts = domains[view.mFailureDomain];
    ++facts.mEngines;
    facts.mRegion = view.mRegion;
    const auto rate = view.mLoad.mPrefillTokensPerSecond;
    facts.mTokensPerSecond +=
      rate > 0 ? rate : aPlacement.mSettings.mDefaultTokensPerSecond;
  }
  return domains;
}

auto
Contains(const auto& aList, const auto& aItem) -> bool
{
  return std::find(aList.begin(), aList.end(), aItem) != aList.end();
}

auto
IsPermitted(const Template& aTemplate,
            const FailureDomainId& aDomain,
            const DomainFacts& aFacts) -> bool
{
  return Contains(aTemplate.mFailureDomains, aDomain) &&
         (aTemplate.mRegions.empty() ||
          Contains(aTemplate.mRegions, aFacts.mRegion));
}

auto
HighestPriority(const Template& aTemplate) -> Priority
{
  auto priority = Priority::Patient;
  for (const auto& kind : aTemplate.mWorkKinds) {
    if (!kind.mService) {
      priority = std::min(priority, kind.mPriority);
    }
  }
  return priority;
}

auto
IsLost(const Placement& aPlacement,
       const DomainMap& aDomains,
       const FailureDomainId& aDomain,
       TimePoint aNow) -> bool
{
  const auto down = aPlacement.mDownSince.find(aDomain);
  return !aDomains.contains(aDomain) && down != aPlacement.mDownSince.end() &&
         aNow - down->second >= aPlacement.mSettings.mDomainLossTime;
}

/// The template's demand in aDomain, plus an equal share of the demand of lost
/// domains.
auto
ComputeDemand(const Placement& aPlacement,
              const PlacementInput& aInput,
              const Template& aTemplate,
              const DomainMap& aDomains,
              const FailureDomainId& aDomain,
              std::size_t aPermitted,
              TimePoint aNow) -> double
{
  auto demand = 0.0;
  for (const auto& it : aInput.mDemands) {
    if (it.mAccount != aTemplate.mAccount) {
      continue;
    }
    if (it.mFailureDomain == aDomain) {
      demand += it.mPromptTokensPerSecond;
    } else if (IsLost(aPlacement, aDomains, it.mFailureDomain, aNow)) {
      demand += it.mPromptTokensPerSecond / static_cast<double>(aPermitted);
    }
  }
  return demand;
}

auto
CopiesFor(const PlacementSettings& aSettings,
          double aDemand,
          const DomainFacts& aFacts) -> std::size_t
{
  const auto rate =
    aFacts.mTokensPerSecond / static_cast<double>(aFacts.mEngines);
  const auto needed = std::ceil(aDemand * aSettings.mHeadroom / rate);
  const auto most = static_cast<double>(aFacts.mEngines);
  return static_cast<std::size_t>(std::clamp(needed, 1.0, most));
}

} // namespace

auto
ComputeWantedCopies(const Placement& aPlacement,
                    const PlacementInput& aInput,
                    TimePoint aNow) -> WantedMap
{
  const auto domains = FindDomains(aPlacement, aInput);
  auto wanted = WantedMap{};
  auto demands = std::map<CopyKey, double>{};
  for (const auto& inForce : aInput.mTemplates) {
    const auto& it = inForce.mTemplate;
    auto permitted = std::set<FailureDomainId>{};
    for (const auto& [domain, facts] : domains) {
      if (IsPermitted(it, domain, facts)) {
        permitted.insert(domain);
      }
    }
    for (const auto& domain : permitted) {
      const auto key = CopyKey{ domain, { it.mModel, it.mVersion } };
      auto& entry = wanted[key];
      entry.mPriority = std::min(entry.mPriority, HighestPriority(it));
      entry.mPermitted.insert(permitted.begin(), permitted.end());
      demands[key] += ComputeDemand(
        aPlacement, aInput, it, domains, domain, permitted.size(), aNow);
    }
  }
  for (auto& [key, entry] : wanted) {
    entry.mCopies = CopiesFor(
      aPlacement.mSettings, demands[key], domains.at(key.mFailureDomain));
  }
  return wanted;
}

} // namespace cuminslip::placement
