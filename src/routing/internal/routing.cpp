#include "routing/routing.h"

#include "base/digest.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace cuminslip::routing {

namespace {

auto
AddProblem(Findings& aFindings,
           const std::string& aKey,
           std::string aProblem,
           std::string aExpected) -> void
{
  AddFinding(aFindings,
             { {}, aKey, std::move(aProblem), std::move(aExpected) });
}

auto
TotalWeight(const Route& aRoute) -> std::int64_t
{
  return std::accumulate(
    aRoute.mServices.begin(),
    aRoute.mServices.end(),
    std::int64_t{ 0 },
    [](auto aSum, const auto& aItem) { return aSum + aItem.mWeight; });
}

auto
CheckRoute(const Route& aRoute,
           const std::set<std::string>& aServices,
           Findings& aFindings) -> void
{
  const auto key = "routes." + aRoute.mName;
  const auto& prefix = aRoute.mPathPrefix;
  if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
    AddProblem(aFindings,
               key,
               "has the invalid path prefix " + prefix,
               "/ at both ends");
  }
  if (aRoute.mTimeout <= Millis(0)) {
    AddProblem(aFindings, key, "has no timeout", "at least 1 ms");
  }
  if (aRoute.mMaxAttempts < 1) {
    AddProblem(aFindings, key, "has no attempts", "at least 1");
  }
  const auto hasNegative =
    std::any_of(aRoute.mServices.begin(),
                aRoute.mServices.end(),
                [](const auto& aItem) { return aItem.mWeight < 0; });
  if (hasNegative || TotalWeight(aRoute) <= 0) {
    AddProblem(aFindings,
               key,
               "has a negative weight or no positive weight",
               "weights of 0 or more, one above 0");
  }
  for (const auto& it : aRoute.mServices) {
    if (!aServices.contains(it.mService)) {
      AddProblem(aFindings,
                 key,
                 "refers to the unknown service " + it.mService,
                 "a service of this document");
    }
  }
}

auto
CheckAccounts(const RoutingDocument& aDocument, Findings& aFindings) -> void
{
  auto names = std::set<AccountId>{};
  auto keys = std::set<std::string>{};
  for (const auto& account : AccountsOf(aDocument)) {
    const auto key = "accounts." + account.mId.mValue;
    if (!names.insert(account.mId).second) {
      AddProblem(aFindings,
                 key,
                 "is defined more than once",
                 "each client account once");
    }
    for (const auto& it : account.mKeys) {
      if (it.empty() || !keys.insert(it).second) {
        AddProblem(aFindings,
                   key,
                   "has an empty or duplicate key",
                   "unique keys that are not empty");
      }
    }
  }
}

} // namespace

auto
AccountsOf(const RoutingDocument& aDocument)
  -> const std::vector<ClientAccount>&
{
  static const auto none = std::vector<ClientAccount>{};
  return aDocument.mAccounts ? *aDocument.mAccounts : none;
}

auto
NeedsKey(const RoutingDocument& aDocument, const Route& aRoute) -> bool
{
  return aDocument.mAccounts && !aRoute.mIsPublic;
}

auto
CheckRoutingDocument(const RoutingDocument& aDocument) -> Findings
{
  auto findings = Findings{};
  auto services = std::set<std::string>{};
  for (const auto& it : aDocument.mServices) {
    if (it.mName.empty() || !services.insert(it.mName).second) {
      AddProblem(findings,
                 "services." + it.mName,
                 "has an empty or duplicate name",
                 "unique names that are not empty");
    }
  }
  auto locations = std::set<std::pair<std::string, std::string>>{};
  for (const auto& it : aDocument.mRoutes) {
    CheckRoute(it, services, findings);
    if (!locations.insert({ it.mHost, it.mPathPrefix }).second) {
      AddProblem(findings,
                 "routes." + it.mName,
                 "has the same host and path prefix as another route",
                 "a unique pair of host and path prefix");
    }
  }
  CheckAccounts(aDocument, findings);
  return findings;
}

auto
BuildRoutingTable(RoutingDocument aDocument) -> RoutingTable
{
  auto table = RoutingTable{};
  table.mDocument = std::move(aDocument);
  const auto& document = table.mDocument;
  for (auto i = std::size_t{ 0 }; i < document.mRoutes.size(); ++i) {
    table.mRoutesByHost[document.mRoutes[i].mHost].push_back(i);
  }
  for (auto& [host, routes] : table.mRoutesByHost) {
    std::sort(routes.begin(), routes.end(), [&](auto aLeft, auto aRight) {
      return document.mRoutes[aLeft].mPathPrefix.size() >
             document.mRoutes[aRight].mPathPrefix.size();
    });
  }
  const auto& accounts = AccountsOf(document);
  for (auto i = std::size_t{ 0 }; i < accounts.size(); ++i) {
    for (const auto& key : accounts[i].mKeys) {
      table.mAccountsByKey.emplace(key, i);
    }
  }
  for (auto i = std::size_t{ 0 }; i < document.mServices.size(); ++i) {
    table.mServicesByName.emplace(document.mServices[i].mName, i);
  }
  return table;
}

auto
FindRoute(const RoutingTable& aTable,
          std::string_view aHost,
          std::string_view aPath) -> const Route*
{
  const auto routes = aTable.mRoutesByHost.find(std::string(aHost));
  if (routes == aTable.mRoutesByHost.end()) {
    return nullptr;
  }
  for (const auto i : routes->second) {
    const auto& route = aTable.mDocument.mRoutes[i];
    if (aPath.starts_with(route.mPathPrefix)) {
      return &route;
    }
  }
  return nullptr;
}

auto
FindAccount(const RoutingTable& aTable, std::string_view aKey)
  -> const ClientAccount*
{
  const auto it = aTable.mAccountsByKey.find(std::string(aKey));
  return it == aTable.mAccountsByKey.end()
           ? nullptr
           : &AccountsOf(aTable.mDocument)[it->second];
}

auto
FindService(const RoutingTable& aTable, std::string_view aName)
  -> const Service*
{
  const auto it = aTable.mServicesByName.find(std::string(aName));
  return it == aTable.mServicesByName.end()
           ? nullptr
           : &aTable.mDocument.mServices[it->second];
}

auto
ChooseService(const Route& aRoute, std::string_view aRequest)
  -> const std::string&
{
  const auto total = static_cast<std::uint64_t>(TotalWeight(aRoute));
  auto offset = static_cast<std::int64_t>(Checksum(aRequest) % total);
  for (const auto& it : aRoute.mServices) {
    if (offset < it.mWeight) {
      return it.mService;
    }
    offset -= it.mWeight;
  }
  return aRoute.mServices.back().mService;
}

auto
ToText(RouteKind aKind) -> std::string_view
{
  switch (aKind) {
    case RouteKind::Idempotent:
      return "idempotent";
    case RouteKind::NonIdempotent:
      return "non_idempotent";
    case RouteKind::Streaming:
      return "streaming";
  }
  return "unknown";
}

} // namespace cuminslip::routing
