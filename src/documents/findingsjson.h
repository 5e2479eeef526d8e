#pragma once

#include "base/findings.h"

#include <boost/json/value.hpp>

/// Findings as JSON, as in answers of the operator interface and in the
/// client's output for scripts. Thread safe.
namespace cuminslip::documents {

/// An array of {"source", "line", "column", "key", "problem", "expected"}.
auto
FindingsToJson(const Findings& aFindings) -> boost::json::value;

/// Reads what FindingsToJson writes; members that are missing or of another
/// type stay empty.
auto
FindingsFromJson(const boost::json::value& aValue) -> Findings;

} // namespace cuminslip::documents
