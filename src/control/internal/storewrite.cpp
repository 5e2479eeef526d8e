#include "control/controlstore.h"
#include "control/internal/storefiles.h"
#include "control/internal/storeformat.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// Records to append to the last segment with one write and one sync.
struct RecordGroup
{
  std::string mBytes;
  std::uint64_t mRecords = 0;
  Revision mLastIndex = 0;
};

auto
SegmentPath(const ControlStore& aStore, std::uint64_t aNumber) -> std::string
{
  return aStore.mFolder + "/" + SegmentName(aNumber);
}

auto
AddRecord(const ControlStore& aStore,
          RecordGroup& aGroup,
          const LogRecord& aRecord) -> void
{
  AppendRecord(aGroup.mBytes,
               aStore.mSegments.rbegin()->first,
               aStore.mSegmentSize + aGroup.mBytes.size(),
               aStore.mSyncedSize,
               EncodeLogRecord(aRecord));
  ++aGroup.mRecords;
  if (const auto* entry = std::get_if<LogEntry>(&aRecord)) {
    aGroup.mLastIndex = std::max(aGroup.mLastIndex, entry->mIndex);
  }
}

/// Removes what a write that failed has left in the last segment.
auto
UndoPartialWrite(ControlStore& aStore) -> IoStatus
{
  if (!aStore.mHasPartialWrite) {
    return IoStatus::Done;
  }
  const auto path = SegmentPath(aStore, aStore.mSegments.rbegin()->first);
  const auto status = aStore.mFiles.mTruncate(path, aStore.mSegmentSize);
  aStore.mHasPartialWrite = status != IoStatus::Done;
  return status;
}

/// Writes and syncs the group. Undoes a partial write when the disk is full, or
/// leaves that to the next write if the disk refuses it too.
auto
FlushGroup(ControlStore& aStore, RecordGroup& aGroup) -> IoStatus
{
  if (aGroup.mBytes.empty()) {
    return IoStatus::Done;
  }
  auto status = UndoPartialWrite(aStore);
  if (status != IoStatus::Done) {
    return status;
  }
  const auto number = aStore.mSegments.rbegin()->first;
  const auto path = SegmentPath(aStore, number);
  status = aStore.mFiles.mAppend(path, aGroup.mBytes);
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mSyncFile(path);
    ++aStore.mFigures.mSyncs;
  }
  if (status == IoStatus::Full) {
    aStore.mHasPartialWrite = true;
    return UndoPartialWrite(aStore) == IoStatus::Failed ? IoStatus::Failed
                                                        : IoStatus::Full;
  }
  if (status != IoStatus::Done) {
    return status;
  }
  aStore.mSegmentSize += aGroup.mBytes.size();
  aStore.mSyncedSize = aStore.mSegmentSize;
  auto& last = aStore.mSegments[number];
  last = std::max(last, aGroup.mLastIndex);
  aStore.mFigures.mRecords += aGroup.mRecords;
  aStore.mFigures.mBytes += aGroup.mBytes.size();
  aGroup = {};
  return IoStatus::Done;
}

/// Removes segments and snapshots that the current snapshot supersedes. What
/// can't be removed stays until the next snapshot.
auto
RemoveOldFiles(ControlStore& aStore) -> void
{
  while (aStore.mSegments.size() > 1 &&
         aStore.mSegments.begin()->second <= aStore.mSnapshotIndex) {
    const auto number = aStore.mSegments.begin()->first;
    // NOTE: with a later one gone before it, the segments would have a gap,
    // which OpenStore takes for a lost segment.
    const auto isRemoved =
      aStore.mFiles.mRemove(SegmentPath(aStore, number)) == IoStatus::Done &&
      aStore.mFiles.mSyncFolder(aStore.mFolder) == IoStatus::Done;
    if (!isRemoved) {
      break;
    }
    aStore.mSegments.erase(aStore.mSegments.begin());
  }
  const auto names =
    aStore.mFiles.mList(aStore.mFolder).value_or(std::vector<std::string>{});
  for (const auto& it : names) {
    const auto index = NumberInName(it, kSnapshotPrefix);
    if (index && *index < aStore.mSnapshotIndex) {
      aStore.mFiles.mRemove(aStore.mFolder + "/" + it);
    }
  }
}

auto
StoreSnapshot(ControlStore& aStore, const DiskWrite& aWrite) -> IoStatus
{
  const auto& snapshot = *aWrite.mSnapshot;
  const auto status = WriteWholeFile(
    aStore, SnapshotName(snapshot.mIndex), EncodeSnapshot(snapshot));
  if (status != IoStatus::Done) {
    return status;
  }
  // NOTE: only segments before the last one can be removed.
  const auto begun = StartSegment(aStore);
  if (begun != IoStatus::Done) {
    return begun;
  }
  if (aWrite.mIsLogReplaced) {
    auto group = RecordGroup{};
    AddRecord(aStore, group, BaseRecord{ snapshot.mIndex, snapshot.mTerm });
    const auto flushed = FlushGroup(aStore, group);
    if (flushed != IoStatus::Done) {
      return flushed;
    }
    for (auto& [number, last] : aStore.mSegments) {
      last = 0;
    }
  }
  aStore.mSnapshotIndex = snapshot.mIndex;
  RemoveOldFiles(aStore);
  return IoStatus::Done;
}

auto
StoreVote(ControlStore& aStore, const std::vector<DiskWrite>& aWrites)
  -> IoStatus
{
  const auto it = std::find_if(aWrites.rbegin(),
                               aWrites.rend(),
                               [](const auto& aWrite) { return aWrite.mVote; });
  if (it == aWrites.rend()) {
    return IoStatus::Done;
  }
  aStore.mVote = *it->mVote;
  return WriteVote(aStore);
}

} // namespace

auto
WriteWholeFile(ControlStore& aStore,
               const std::string& aName,
               const std::string& aPayload) -> IoStatus
{
  auto bytes = std::string{};
  AppendRecord(bytes, 0, 0, 0, aPayload);
  const auto path = aStore.mFolder + "/" + aName;
  const auto temporary = path + std::string(kTemporarySuffix);
  // NOTE: an earlier write that failed may have left a part of the file.
  auto status = aStore.mFiles.mRemove(temporary);
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mAppend(temporary, bytes);
  }
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mSyncFile(temporary);
  }
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mRename(temporary, path);
  }
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mSyncFolder(aStore.mFolder);
  }
  aStore.mFigures.mSyncs += 2;
  aStore.mFigures.mBytes += bytes.size();
  return status;
}

auto
WriteVote(ControlStore& aStore) -> IoStatus
{
  const auto last =
    aStore.mSegments.empty() ? 0 : aStore.mSegments.rbegin()->first;
  const auto status = WriteWholeFile(
    aStore,
    std::string(kVoteName),
    EncodeStoredVote(
      { ++aStore.mVoteSequence, aStore.mVote, last, aStore.mFloor }));
  if (status == IoStatus::Done) {
    aStore.mNamedSegment = last;
  }
  return status;
}

auto
StartSegment(ControlStore& aStore) -> IoStatus
{
  const auto number =
    aStore.mSegments.empty() ? 1 : aStore.mSegments.rbegin()->first + 1;
  const auto path = SegmentPath(aStore, number);
  // NOTE: the segment before it is not written to any more, and a record that
  // was cut off is allowed in the last segment only.
  auto status = UndoPartialWrite(aStore);
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mRemove(path);
  }
  // NOTE: the floor record makes sure that the segment is not empty.
  auto bytes = std::string{};
  AppendRecord(
    bytes, number, 0, 0, EncodeLogRecord(FloorRecord{ aStore.mFloor }));
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mAppend(path, bytes);
  }
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mSyncFile(path);
  }
  if (status == IoStatus::Done) {
    status = aStore.mFiles.mSyncFolder(aStore.mFolder);
  }
  aStore.mFigures.mSyncs += 2;
  if (status != IoStatus::Done) {
    aStore.mFiles.mRemove(path);
    return status;
  }
  aStore.mSegments[number] = 0;
  aStore.mSegmentSize = bytes.size();
  aStore.mSyncedSize = bytes.size();
  return WriteVote(aStore);
}

auto
WriteToStore(ControlStore& aStore,
             const std::vector<DiskWrite>& aWrites,
             Revision aFloor) -> IoStatus
{
  auto status = StoreVote(aStore, aWrites);
  if (status == IoStatus::Done &&
      (aStore.mSegments.empty() ||
       aStore.mSegmentSize > aStore.mOptions.mSegmentBytes)) {
    status = StartSegment(aStore);
  }
  // NOTE: the disk was full when the last segment was started.
  if (status == IoStatus::Done &&
      aStore.mNamedSegment < aStore.mSegments.rbegin()->first) {
    status = WriteVote(aStore);
  }
  auto group = RecordGroup{};
  for (const auto& it : aWrites) {
    if (status != IoStatus::Done) {
      return status;
    }
    if (it.mSnapshot) {
      status = FlushGroup(aStore, group);
      status = status == IoStatus::Done ? StoreSnapshot(aStore, it) : status;
    }
    if (status == IoStatus::Done && it.mTruncateFrom != 0) {
      AddRecord(aStore, group, TruncateRecord{ it.mTruncateFrom });
    }
    for (const auto& entry : it.mEntries) {
      AddRecord(aStore, group, entry);
    }
  }
  if (status == IoStatus::Done && aFloor > aStore.mFloor) {
    AddRecord(aStore, group, FloorRecord{ aFloor });
  }
  status = status == IoStatus::Done ? FlushGroup(aStore, group) : status;
  if (status == IoStatus::Done) {
    aStore.mFloor = std::max(aStore.mFloor, aFloor);
  }
  return status;
}

auto
IsStoreFull(const ControlStore& aStore) -> bool
{
  return aStore.mFiles.mFreeBytes(aStore.mFolder) <
         aStore.mOptions.mReserveBytes;
}

} // namespace cuminslip
