#pragma once

#include "routing/types/routingdocument.h"
#include "routingcheck/types/routingfindings.h"

#include <string>
#include <string_view>

/// Checks a routing document before it is published. Pure functions; thread
/// safe. The time is proportional to the size of the documents, but for a
/// logarithmic factor.
namespace cuminslip::routingcheck {

/// Returns an error for everything that routing::CheckRoutingDocument refuses
/// and for version 0, and a warning for entries that never match and for
/// contradictory limits.
auto
CheckDocument(const routing::RoutingDocument& aDocument) -> RoutingFindings;

/// Returns the differences of aNext from aInForce, with paths into aNext.
/// Routes, services and client accounts are matched by name; their order
/// doesn't matter. An entry that was removed has the path of its list. A
/// different document whose version is not higher is an error: publishing it is
/// acknowledged without any effect.
auto
CompareDocuments(const routing::RoutingDocument& aInForce,
                 const routing::RoutingDocument& aNext) -> RoutingFindings;

/// Returns the first 8 hexadecimal digits of the SHA-256 of a key, which stand
/// for the key in findings.
auto
DigestOfKey(std::string_view aKey) -> std::string;

/// Returns "error", "warning" or "difference".
auto
ToText(FindingSeverity aSeverity) -> std::string_view;

} // namespace cuminslip::routingcheck
