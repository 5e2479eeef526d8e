#pragma once

#include "base/findings.h"
#include "control/controlcore.h"
#include "control/filesystem.h"

#include <map>

/// On-disk storage of the control log in one folder: numbered log segments,
/// one snapshot and the vote record. Not thread safe.
namespace cuminslip {

struct StoreOptions
{
  /// Size above which the next write starts a new segment.
  std::uint64_t mSegmentBytes = std::uint64_t{ 8 } * 1024 * 1024;
  /// Free space below which the disk counts as full.
  std::uint64_t mReserveBytes = std::uint64_t{ 32 } * 1024 * 1024;

  auto operator==(const StoreOptions&) const -> bool = default;
};

/// Counters since the store was opened.
struct StoreCounters
{
  std::uint64_t mSyncs = 0;
  std::uint64_t mRecords = 0;
  std::uint64_t mBytes = 0;

  auto operator==(const StoreCounters&) const -> bool = default;
};

struct ControlStore
{
  FileSystem mFiles;
  std::string mFolder;
  StoreOptions mOptions;
  /// Highest entry index written to each segment, by segment number.
  std::map<std::uint64_t, Revision> mSegments;
  /// Size of the last segment in bytes.
  std::uint64_t mSegmentSize = 0;
  /// Bytes of the last segment that are known to be synced.
  std::uint64_t mSyncedSize = 0;
  /// The last segment has bytes behind mSegmentSize, of a write that failed.
  bool mHasPartialWrite = false;
  VoteRecord mVote;
  std::uint64_t mVoteSequence = 0;
  /// Last segment that the stored vote record names.
  std::uint64_t mNamedSegment = 0;
  Revision mFloor = 0;
  Revision mSnapshotIndex = 0;
  StoreCounters mFigures;
};

struct OpenedStore
{
  ControlStore mStore;
  RecoveredDisk mDisk;
  /// Bytes dropped from the end of the log because they were never synced.
  std::uint64_t mDroppedBytes = 0;
};

/// Reads the folder, which must exist, and records this start in the vote
/// record. aRandom makes the boot identity unique and becomes the member
/// identity when the folder is empty. Fails with Findings, and changes nothing,
/// when synced data is damaged or missing.
auto
OpenStore(FileSystem aFiles,
          std::string aFolder,
          StoreOptions aOptions,
          std::uint64_t aRandom) -> leaf::result<OpenedStore>;

/// Makes aWrites durable with as few syncs as possible, and records that
/// entries up to aFloor are committed. After Full nothing was acknowledged and
/// the same writes may be retried; after Failed the store must not be used
/// again.
auto
WriteToStore(ControlStore& aStore,
             const std::vector<DiskWrite>& aWrites,
             Revision aFloor) -> IoStatus;

/// True when less than mReserveBytes is free.
auto
IsStoreFull(const ControlStore& aStore) -> bool;

} // namespace cuminslip
