#pragma once

#include "control/controlcore.h"

#include <algorithm>

namespace cuminslip {

/// Contents of a member's disk after a power loss.
struct DiskImage
{
  VoteRecord mVote;
  Snapshot mSnapshot;
  std::vector<LogEntry> mEntries;
  Revision mFloor = 0;

  auto Apply(const DiskWrite& aWrite, Revision aFloor) -> void
  {
    if (aWrite.mVote) {
      mVote = *aWrite.mVote;
    }
    if (aWrite.mSnapshot) {
      mSnapshot = *aWrite.mSnapshot;
    }
    const auto from = aWrite.mIsLogReplaced ? 1 : aWrite.mTruncateFrom;
    std::erase_if(mEntries, [&](const auto& aEntry) {
      return (from != 0 && aEntry.mIndex >= from) ||
             aEntry.mIndex <= mSnapshot.mIndex;
    });
    for (const auto& it : aWrite.mEntries) {
      if (it.mIndex > mSnapshot.mIndex) {
        mEntries.push_back(it);
      }
    }
    mFloor = std::max(mFloor, aFloor);
  }
};

} // namespace cuminslip
