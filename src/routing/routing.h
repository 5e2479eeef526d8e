#pragma once

#include "base/findings.h"
#include "routing/types/routingdocument.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>

/// Validates routing documents and looks up routes, services and client
/// accounts. Pure.
namespace cuminslip::routing {

/// Returns the problems of a document, such as unknown services, two routes
/// with the same host and path prefix, no positive weight, a timeout of zero or
/// a key shared by two client accounts. Thread safe.
auto
CheckRoutingDocument(const RoutingDocument& aDocument) -> Findings;

/// Returns the client accounts of a document, none where it has no list of
/// them. Valid as long as the document. Thread safe.
auto
AccountsOf(const RoutingDocument& aDocument)
  -> const std::vector<ClientAccount>&;

/// Returns true if a request on aRoute needs the key of a client account.
/// Thread safe.
auto
NeedsKey(const RoutingDocument& aDocument, const Route& aRoute) -> bool;

/// A routing document with lookup indexes. Immutable once built.
struct RoutingTable
{
  RoutingDocument mDocument;
  /// Indexes of the routes of each host, longest path prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>> mRoutesByHost;
  std::unordered_map<std::string, std::size_t> mAccountsByKey;
  std::unordered_map<std::string, std::size_t> mServicesByName;
};

/// Precondition: CheckRoutingDocument returned no findings. Thread safe.
auto
BuildRoutingTable(RoutingDocument aDocument) -> RoutingTable;

/// Returns the route of the host whose path prefix is the longest match for
/// aPath, or null. Thread safe.
auto
FindRoute(const RoutingTable& aTable,
          std::string_view aHost,
          std::string_view aPath) -> const Route*;

/// Returns the client account that owns aKey, or null. Thread safe.
auto
FindAccount(const RoutingTable& aTable, std::string_view aKey)
  -> const ClientAccount*;

/// Returns the service called aName, or null. Thread safe.
auto
FindService(const RoutingTable& aTable, std::string_view aName)
  -> const Service*;

/// Selects a service of the route by weight. The choice is a hash of aRequest,
/// so that the same request always maps to the same service. Precondition: the
/// sum of the weights is positive. Thread safe.
auto
ChooseService(const Route& aRoute, std::string_view aRequest)
  -> const std::string&;

/// Returns the name used in logs and metrics. Thread safe.
auto
ToText(RouteKind aKind) -> std::string_view;

} // namespace cuminslip::routing
