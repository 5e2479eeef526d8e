#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "templates/types/template.h"

#include <cstdint>

namespace cuminslip {

/// Identifies entries that can run on the same endpoints.
struct WaitPool
{
  std::uint64_t mPool = 0;
  bool mIsLong = false;

  auto operator<=>(const WaitPool&) const = default;
};

/// A waiting request.
struct WaitEntry
{
  RequestId mId;
  AccountId mAccount;
  double mWeight = 1.0;
  Priority mPriority = Priority::Normal;
  WaitPool mPool;
  std::int64_t mCostTokens = 0;
  std::int64_t mBytes = 0;
  double mValue = 1.0;
  TimePoint mEnqueued;
  /// End of its queue time or its deadline, whichever is earlier; the entry is
  /// then removed.
  TimePoint mExpires;
  /// Latest start at which the deadline is predicted to be met.
  TimePoint mLatestStart;

  auto operator==(const WaitEntry&) const -> bool = default;
};

} // namespace cuminslip
