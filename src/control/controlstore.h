#pragma once

#include "base/findings.h"
#include "control/controlcore.h"
#include "control/filesystem.h"

#include <map>

/// Storage of the control log in one folder: numbered log segments, one
/// snapshot and the vote record. Not thread safe.
namespace cuminslip {

struct StoreOptions
{
  std::uint64_t mSegmentBytes = std::uint64_t{ 8 } * 1024 * 1024;
  /// Space that must stay free; below it the disk counts as full.
  std::uint64_t mReserveBytes = std::uint64_t{ 32 } * 1024 * 1024;

  auto operator==(const StoreOptions&) const -> bool = default;
};

/// Counted since the store was opened.
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
  /// Highest entry index that each segment has held.
  std::map<std::uint64_t, Revision> mSegments;
  std::uint64_t mSegmentSize = 0;
  /// Part of the last segment known to be on the disk.
  std::uint64_t mSyncedSize = 0;
  VoteRecord mVote;
  std::uint64_t mVoteSequence = 0;
  Revision mFloor = 0;
  Revision mSnapshotIndex = 0;
  StoreCounters mFigures;
};

struct OpenedStore
{
  ControlStore mStore;
  RecoveredDisk mDisk;
  /// Bytes of records at the end that had not been synced and were dropped.
  std::uint64_t mDroppedBytes = 0;
};

/// Reads the folder, which must exist, and counts this start in the vote
/// record. aRandom makes the start unlike any other, and is the identity of
/// the new member that an empty folder becomes. Fails with
/// Findings when something that was synced is damaged or missing; nothing is
/// changed then.
auto
OpenStore(FileSystem aFiles,
          std::string aFolder,
          StoreOptions aOptions,
          std::uint64_t aRandom) -> leaf::result<OpenedStore>;

/// Makes aWrites durable, in as few syncs as possible, and records that
/// entries up to aFloor are committed. When the result is Full nothing was
/// acknowledged and the same writes may be given again; when it is Failed the
/// store must not be used any more.
auto
WriteToStore(ControlStore& aStore,
             const std::vector<DiskWrite>& aWrites,
             Revision aFloor) -> IoStatus;

/// True when less than the reserve is free.
auto
IsStoreFull(const ControlStore& aStore) -> bool;

} // namespace cuminslip
