#pragma once

#include "base/findings.h"
#include "routing/types/routingdocument.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>

/// Checks routing documents and finds what they say of a request. Pure.
namespace cuminslip::routing {

/// What is wrong with a document: unknown services, two routes at one place,
/// weights that add up to nothing, times of zero, a key of two client accounts.
/// Thread safe.
auto
CheckRoutingDocument(const RoutingDocument& aDocument) -> Findings;

/// A document with its indexes. Immutable once built.
struct RoutingTable
{
  RoutingDocument mDocument;
  /// By host; the longest prefixes first.
  std::unordered_map<std::string, std::vector<std::size_t>> mRoutesByHost;
  std::unordered_map<std::string, std::size_t> mAccountsByKey;
  std::unordered_map<std::string, std::size_t> mServicesByName;
};

/// Precondition: CheckRoutingDocument found nothing. Thread safe.
auto
BuildRoutingTable(RoutingDocument aDocument) -> RoutingTable;

/// The route with the longest prefix that begins aPath, or null. Thread safe.
auto
FindRoute(const RoutingTable& aTable,
          std::string_view aHost,
          std::string_view aPath) -> const Route*;

/// The client account that holds aKey, or null. Thread safe.
auto
FindAccount(const RoutingTable& aTable, std::string_view aKey)
  -> const ClientAccount*;

/// The service called aName, or null. Thread safe.
auto
FindService(const RoutingTable& aTable, std::string_view aName)
  -> const Service*;

/// The service for a request by the route's weights. The same aRequest always
/// gives the same one. Precondition: the weights add up to more than 0. Thread
/// safe.
auto
ChooseService(const Route& aRoute, std::string_view aRequest)
  -> const std::string&;

/// Name for logs and metrics. Thread safe.
auto
ToText(RouteKind aKind) -> std::string_view;

} // namespace cuminslip::routing
