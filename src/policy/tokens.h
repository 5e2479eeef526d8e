#pragma once

#include "templates/types/template.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Size of a prompt in tokens and its length class.
namespace cuminslip {

constexpr std::int64_t kBytesPerToken = 4;

/// Tokens of a text of aBytes bytes: one for each 4 bytes, rounded up.
/// Precondition: aBytes is not negative. Thread safe.
auto
EstimateTokens(std::int64_t aBytes) -> std::int64_t;

/// Index of the class that a prompt of aTokens belongs to; the last one when it
/// is longer than all, 0 when there are none. Precondition: aClasses ascend by
/// mMaxTokens. Thread safe.
auto
ClassifyLength(std::int64_t aTokens, const std::vector<LengthClass>& aClasses)
  -> std::size_t;

} // namespace cuminslip
