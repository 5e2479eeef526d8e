#include "evacuation/evacuation.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cuminslip::evacuation {

namespace {

namespace json = boost::json;

auto
BadDocument(std::string aProblem) -> Findings
{
  return { { { {}, "domains", std::move(aProblem), "a list of domains" } } };
}

auto
Find(const Evacuations& aEvacuations, const FailureDomainId& aDomain)
  -> const DomainEvacuation*
{
  const auto& domains = aEvacuations.mDomains;
  const auto it = std::lower_bound(
    domains.begin(),
    domains.end(),
    aDomain,
    [](const auto& aItem, const auto& aName) { return aItem.mDomain < aName; });
  return it != domains.end() && it->mDomain == aDomain ? &*it : nullptr;
}

auto
ReadDomain(const json::value& aValue) -> DomainEvacuation
{
  return { { json::value_to<std::string>(aValue.at("name")) },
           aValue.at("evacuated").as_bool(),
           aValue.at("changes").to_number<std::uint64_t>() };
}

} // namespace

auto
ParseEvacuations(std::string_view aText) -> leaf::result<Evacuations>
{
  auto evacuations = Evacuations{};
  try {
    const auto document = json::parse(aText);
    for (const auto& it : document.at("domains").as_array()) {
      evacuations.mDomains.push_back(ReadDomain(it));
    }
  } catch (const std::exception& error) {
    return leaf::new_error(BadDocument(error.what()));
  }
  const auto isSorted =
    std::adjacent_find(evacuations.mDomains.begin(),
                       evacuations.mDomains.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.mDomain >= aRight.mDomain;
                       }) == evacuations.mDomains.end();
  if (!isSorted) {
    return leaf::new_error(BadDocument("not sorted by name"));
  }
  return evacuations;
}

auto
FormatEvacuations(const Evacuations& aEvacuations) -> std::string
{
  auto domains = json::array{};
  for (const auto& it : aEvacuations.mDomains) {
    domains.push_back(json::object{ { "name", it.mDomain.mValue },
                                    { "evacuated", it.mIsEvacuated },
                                    { "changes", it.mChanges } });
  }
  return json::serialize(json::object{ { "domains", std::move(domains) } });
}

auto
IsEvacuated(const Evacuations& aEvacuations, const FailureDomainId& aDomain)
  -> bool
{
  const auto* domain = Find(aEvacuations, aDomain);
  return domain != nullptr && domain->mIsEvacuated;
}

auto
IsInForce(const Evacuations& aEvacuations, const EvacuationOrder& aOrder)
  -> bool
{
  return IsEvacuated(aEvacuations, aOrder.mDomain) == aOrder.mIsEvacuated;
}

auto
IsAcceptable(const Evacuations& aEvacuations, const EvacuationOrder& aOrder)
  -> bool
{
  const auto& name = aOrder.mDomain.mValue;
  const auto isValid = !name.empty() && name.size() <= kMaxNameBytes &&
                       name.find('/') == std::string::npos;
  return isValid && (aEvacuations.mDomains.size() < kMaxDomains ||
                     Find(aEvacuations, aOrder.mDomain) != nullptr);
}

auto
ApplyOrder(const Evacuations& aEvacuations, const EvacuationOrder& aOrder)
  -> Evacuations
{
  auto changed = aEvacuations;
  if (IsInForce(changed, aOrder)) {
    return changed;
  }
  const auto* present = Find(aEvacuations, aOrder.mDomain);
  const auto changes = present == nullptr ? 0 : present->mChanges;
  std::erase_if(changed.mDomains, [&](const auto& aItem) {
    return aItem.mDomain == aOrder.mDomain;
  });
  changed.mDomains.push_back(
    { aOrder.mDomain, aOrder.mIsEvacuated, changes + 1 });
  std::sort(changed.mDomains.begin(),
            changed.mDomains.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mDomain < aRight.mDomain;
            });
  return changed;
}

auto
IsStillDue(const Evacuations& aRead,
           const Evacuations& aPresent,
           const EvacuationOrder& aOrder) -> bool
{
  const auto* read = Find(aRead, aOrder.mDomain);
  const auto* present = Find(aPresent, aOrder.mDomain);
  const auto before = read == nullptr ? 0 : read->mChanges;
  const auto after = present == nullptr ? 0 : present->mChanges;
  return before == after;
}

} // namespace cuminslip::evacuation
