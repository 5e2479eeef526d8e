#pragma once

#include "base/types/ids.h"

#include <compare>
#include <string>

namespace cuminslip::directory {

/// An entry instance, as control instances name it to the others.
struct EntryInstance
{
  std::string mPeerAddress;
  /// Empty when a control instance of an earlier version names it.
  FailureDomainId mFailureDomain;

  auto operator<=>(const EntryInstance&) const = default;
};

} // namespace cuminslip::directory
