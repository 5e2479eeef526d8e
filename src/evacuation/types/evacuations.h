#pragma once

#include "base/types/ids.h"

#include <cstdint>
#include <vector>

/// Failure domains whose endpoints get no requests, by an operator's order.
namespace cuminslip::evacuation {

/// Maximum number of failure domains in one document.
inline constexpr auto kMaxDomains = std::size_t{ 256 };
/// Maximum length of the name of a failure domain, in bytes.
inline constexpr auto kMaxNameBytes = std::size_t{ 256 };

struct DomainEvacuation
{
  FailureDomainId mDomain;
  bool mIsEvacuated = false;
  /// Number of changes of this domain so far. Tells whether an order was
  /// overtaken by another one.
  std::uint64_t mChanges = 0;

  auto operator==(const DomainEvacuation&) const -> bool = default;
};

/// All failure domains that are or were evacuated.
struct Evacuations
{
  /// Sorted by domain, each at most once.
  std::vector<DomainEvacuation> mDomains;

  auto operator==(const Evacuations&) const -> bool = default;
};

/// An operator's order to evacuate a failure domain, or to withdraw that.
struct EvacuationOrder
{
  FailureDomainId mDomain;
  bool mIsEvacuated = false;

  auto operator==(const EvacuationOrder&) const -> bool = default;
};

} // namespace cuminslip::evacuation
