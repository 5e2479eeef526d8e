#pragma once

#include "control/types/membership.h"

#include <memory>

/// The replicated state as of one log index.
namespace cuminslip {

struct Snapshot
{
  Revision mIndex = 0;
  Term mTerm = 0;
  LogMillis mClock = 0;
  Membership mMembership;
  /// Encoded state, never null. Shared because it is large and immutable.
  std::shared_ptr<const std::string> mState =
    std::make_shared<const std::string>();
};

/// True when both snapshots have equal fields and equal encoded state.
auto
IsSameSnapshot(const Snapshot& aLeft, const Snapshot& aRight) -> bool;

} // namespace cuminslip
