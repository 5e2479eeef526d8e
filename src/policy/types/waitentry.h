#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "templates/types/template.h"

#include <cstdint>

namespace cuminslip {

/// Entries of the same pool and lane can run on the same endpoints.
struct WaitPool
{
  std::uint64_t mPool = 0;
  bool mIsLong = false;

  auto operator<=>(const WaitPool&) const = default;
};

/// One waiting request.
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
  /// When it is given up: the end of its queue time or of its allowance.
  TimePoint mExpires;
  /// Start later than this and the deadline is missed, by prediction.
  TimePoint mLatestStart;

  auto operator==(const WaitEntry&) const -> bool = default;
};

} // namespace cuminslip
