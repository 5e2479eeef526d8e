#pragma once

#include "base/findings.h"
#include "routing/types/routingdocument.h"
#include "routingcheck/types/routingfindings.h"

#include <functional>
#include <string>
#include <string_view>

namespace cuminslip::routingcheck {

/// A routing document that was read from a file.
struct RoutingReading
{
  routing::RoutingDocument mDocument;
  /// Formats a path into this document with the member names of the file, such
  /// as "routes[3].timeout_ms".
  std::function<std::string(const Path&)> mFormatPath;
};

/// The file format of routing documents, provided by an adapter. Both functions
/// are pure and thread safe.
struct RoutingFormat
{
  /// Returns true if a text is meant as a routing document, even if malformed.
  std::function<bool(std::string_view)> mIsRouting;
  /// Reads a document without validating it. Fails with Findings, which have
  /// lines and columns or paths and no source.
  std::function<leaf::result<RoutingReading>(std::string_view)> mRead;
};

} // namespace cuminslip::routingcheck
