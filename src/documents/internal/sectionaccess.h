#pragma once

#include "documents/section.h"

namespace cuminslip::documents {

auto
Quote(const std::string& aText) -> std::string;

/// The scalar at aKey, or no value when it is absent or, with a finding, not a
/// scalar.
auto
TakeScalar(Section& aSection,
           const std::string& aKey,
           const std::string& aExpected) -> std::optional<Item>;

} // namespace cuminslip::documents
