#pragma once

#include "policy/types/requestfacts.h"

#include <cstdint>

namespace cuminslip {

enum class CacheEventKind : std::uint8_t
{
  Stored,
  Evicted
};

/// Reports that an engine stored or evicted a prefix in its cache.
struct CacheEvent
{
  std::uint64_t mSequence = 0;
  CacheEventKind mKind = CacheEventKind::Stored;
  PrefixHash mPrefix = 0;
  std::int64_t mTokens = 0;

  auto operator==(const CacheEvent&) const -> bool = default;
};

} // namespace cuminslip
