#pragma once

#include "templates/types/template.h"

#include <cstddef>
#include <cstdint>
#include <vector>

/// Estimates the size of a prompt in tokens and determines its length class.
namespace cuminslip {

constexpr std::int64_t kBytesPerToken = 4;

/// Estimates the tokens of a text of aBytes bytes: one per kBytesPerToken
/// bytes, rounded up. Precondition: aBytes is not negative. Thread safe.
auto
EstimateTokens(std::int64_t aBytes) -> std::int64_t;

/// Returns the index of the length class of a prompt of aTokens: the last one
/// if the prompt is longer than all classes, 0 if there are none. Precondition:
/// aClasses is sorted by ascending mMaxTokens. Thread safe.
auto
ClassifyLength(std::int64_t aTokens, const std::vector<LengthClass>& aClasses)
  -> std::size_t;

} // namespace cuminslip
