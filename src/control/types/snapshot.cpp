#include "control/types/snapshot.h"

namespace cuminslip {

auto
IsSameSnapshot(const Snapshot& aLeft, const Snapshot& aRight) -> bool
{
  return aLeft.mIndex == aRight.mIndex && aLeft.mTerm == aRight.mTerm &&
         aLeft.mClock == aRight.mClock &&
         aLeft.mMembership == aRight.mMembership &&
         *aLeft.mState == *aRight.mState;
}

} // namespace cuminslip
