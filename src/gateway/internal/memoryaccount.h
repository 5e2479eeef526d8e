#pragma once

#include "base/clock.h"
#include "policy/memorybudget.h"

#include <cstdint>

/// The memory that a gateway holds for callers, and the refusals for it.
/// Functions are for the owner thread only.
namespace cuminslip::gateway {

struct Gateway;

struct MemoryAccount
{
  /// As last counted.
  MemoryUse mUse;
  TimePoint mCountedAt{};
  bool mIsAtBound = false;
  std::uint64_t mRefusals = 0;
};

/// The bound by the settings.
auto
MemoryRulesOf(const Gateway& aGateway) -> MemoryRules;

/// Looks at each connection and request in flight.
auto
CountMemory(const Gateway& aGateway) -> MemoryUse;

/// True if a request may be taken whose body of aBodyBytes the listener has
/// already. Counts the refusal otherwise, and logs when the bound is met and
/// when it is left.
auto
TakeBody(Gateway& aGateway, std::size_t aBodyBytes) -> bool;

} // namespace cuminslip::gateway
