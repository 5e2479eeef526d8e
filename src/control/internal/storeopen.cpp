#include "control/controlstore.h"
#include "control/internal/storefiles.h"
#include "control/internal/storeformat.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// Files in the store's folder by kind.
struct FolderContent
{
  std::vector<std::uint64_t> mSegments;
  std::vector<Revision> mSnapshots;
  bool mHasVote = false;
};

/// Progress of opening a store.
struct Recovery
{
  OpenedStore& mOpened;
  Findings mFindings;
  /// Name of the last segment and the offset to truncate it at; empty if its
  /// end is intact.
  std::string mTornSegment;
  std::uint64_t mTornAt = 0;
};

auto
AddProblem(Recovery& aRecovery,
           const std::string& aName,
           std::string aProblem,
           const char* aExpected) -> void
{
  const auto path = aRecovery.mOpened.mStore.mFolder + "/" + aName;
  AddFinding(aRecovery.mFindings,
             { { path }, "", std::move(aProblem), aExpected });
}

auto
ListContent(const std::vector<std::string>& aNames) -> FolderContent
{
  auto content = FolderContent{};
  for (const auto& it : aNames) {
    if (const auto segment = NumberInName(it, kSegmentPrefix)) {
      content.mSegments.push_back(*segment);
    } else if (const auto snapshot = NumberInName(it, kSnapshotPrefix)) {
      content.mSnapshots.push_back(*snapshot);
    } else if (it == kVoteName) {
      content.mHasVote = true;
    }
  }
  return content;
}

/// Payload of a file that holds one record. Adds a finding if it is damaged.
auto
ReadWholeFile(Recovery& aRecovery, const std::string& aName)
  -> std::optional<std::string>
{
  auto& store = aRecovery.mOpened.mStore;
  const auto bytes = store.mFiles.mRead(store.mFolder + "/" + aName);
  if (!bytes) {
    AddProblem(aRecovery, aName, "can't be read", "a readable file");
    return std::nullopt;
  }
  const auto record = ParseRecord(*bytes, 0, 0);
  if (!record || record->mEnd != bytes->size()) {
    AddProblem(aRecovery,
               aName,
               "wrong checksum or length",
               "the file as it was synced");
    return std::nullopt;
  }
  return std::string(record->mPayload);
}

auto
ReadVoteFile(Recovery& aRecovery, const FolderContent& aContent) -> StoredVote
{
  const auto name = std::string(kVoteName);
  if (!aContent.mHasVote) {
    AddProblem(aRecovery,
               name,
               "there is a log, but the vote record is missing",
               "the vote record, or an empty folder and a replaced member");
    return {};
  }
  const auto payload = ReadWholeFile(aRecovery, name);
  if (!payload) {
    return {};
  }
  auto outcome =
    CollectOutcome<StoredVote>([&] { return DecodeStoredVote(*payload); });
  if (!outcome.mValue) {
    AddProblem(aRecovery, name, "can't be decoded", "a vote record");
  }
  return outcome.mValue.value_or(StoredVote{});
}

auto
ReadSnapshotFile(Recovery& aRecovery, const FolderContent& aContent) -> void
{
  if (aContent.mSnapshots.empty()) {
    return;
  }
  const auto name = SnapshotName(aContent.mSnapshots.back());
  const auto payload = ReadWholeFile(aRecovery, name);
  if (!payload) {
    return;
  }
  auto outcome =
    CollectOutcome<Snapshot>([&] { return DecodeSnapshot(*payload); });
  if (!outcome.mValue || outcome.mValue->mIndex != aContent.mSnapshots.back()) {
    AddProblem(aRecovery, name, "can't be decoded", "a snapshot");
    return;
  }
  auto& opened = aRecovery.mOpened;
  opened.mDisk.mSnapshot = std::move(*outcome.mValue);
  opened.mStore.mSnapshotIndex = opened.mDisk.mSnapshot.mIndex;
}

/// Adds an entry to the log. False when an entry before it is missing.
auto
ReplayEntry(RecoveredDisk& aDisk, LogEntry aEntry) -> bool
{
  if (aDisk.mEntries.empty() && aEntry.mIndex <= aDisk.mBaseIndex + 1) {
    aDisk.mBaseIndex = aEntry.mIndex - 1;
  }
  if (aEntry.mIndex > aDisk.mBaseIndex + aDisk.mEntries.size() + 1 &&
      aEntry.mIndex <= aDisk.mSnapshot.mIndex + 1) {
    // NOTE: the snapshot covers all entries before this one.
    aDisk.mEntries.clear();
    aDisk.mBaseIndex = aEntry.mIndex - 1;
  }
  const auto next = aDisk.mBaseIndex + aDisk.mEntries.size() + 1;
  if (aEntry.mIndex > next || aEntry.mIndex <= aDisk.mBaseIndex) {
    return false;
  }
  // NOTE: an entry with a known index replaces that entry and all after it.
  aDisk.mEntries.resize(aEntry.mIndex - aDisk.mBaseIndex - 1);
  aDisk.mEntries.push_back(std::move(aEntry));
  return true;
}

auto
ReplayRecord(Recovery& aRecovery, std::uint64_t aSegment, LogRecord aRecord)
  -> bool
{
  auto& disk = aRecovery.mOpened.mDisk;
  if (auto* entry = std::get_if<LogEntry>(&aRecord)) {
    auto& last = aRecovery.mOpened.mStore.mSegments[aSegment];
    last = std::max(last, entry->mIndex);
    return ReplayEntry(disk, std::move(*entry));
  }
  if (const auto* truncate = std::get_if<TruncateRecord>(&aRecord)) {
    const auto end = disk.mBaseIndex + disk.mEntries.size();
    if (truncate->mFrom > disk.mBaseIndex && truncate->mFrom <= end) {
      disk.mEntries.resize(truncate->mFrom - disk.mBaseIndex - 1);
    }
  } else if (const auto* floor = std::get_if<FloorRecord>(&aRecord)) {
    disk.mCommitFloor = std::max(disk.mCommitFloor, floor->mCommitFloor);
  } else if (const auto* base = std::get_if<BaseRecord>(&aRecord)) {
    disk.mEntries.clear();
    disk.mBaseIndex = base->mIndex;
    disk.mBaseTerm = base->mTerm;
  }
  return true;
}

auto
ReadSegment(Recovery& aRecovery, std::uint64_t aNumber, bool aIsLast) -> void
{
  auto& store = aRecovery.mOpened.mStore;
  const auto name = SegmentName(aNumber);
  store.mSegments[aNumber] = 0;
  const auto bytes = store.mFiles.mRead(store.mFolder + "/" + name);
  if (!bytes) {
    AddProblem(aRecovery, name, "can't be read", "a readable file");
    return;
  }
  auto offset = std::uint64_t{ 0 };
  while (offset < bytes->size()) {
    const auto framed = ParseRecord(*bytes, aNumber, offset);
    if (!framed) {
      break;
    }
    auto record = CollectOutcome<LogRecord>(
      [&] { return DecodeLogRecord(framed->mPayload); });
    if (!record.mValue ||
        !ReplayRecord(aRecovery, aNumber, std::move(*record.mValue))) {
      AddProblem(aRecovery,
                 name,
                 "offset " + std::to_string(offset) +
                   ": the record does not follow the one before it",
                 "consecutive entries");
      return;
    }
    offset = framed->mEnd;
  }
  if (offset < bytes->size()) {
    if (!aIsLast || WasSynced(*bytes, aNumber, offset)) {
      AddProblem(aRecovery,
                 name,
                 "offset " + std::to_string(offset) +
                   ": a record that was synced is damaged",
                 "the log as it was synced; replace this member");
      return;
    }
    aRecovery.mTornSegment = name;
    aRecovery.mTornAt = offset;
    aRecovery.mOpened.mDroppedBytes = bytes->size() - offset;
  }
  store.mSegmentSize = offset;
  store.mSyncedSize = offset;
}

auto
ReadSegments(Recovery& aRecovery, const FolderContent& aContent) -> void
{
  auto expected = aContent.mSegments.empty() ? 0 : aContent.mSegments.front();
  for (const auto it : aContent.mSegments) {
    if (it != expected) {
      AddProblem(aRecovery,
                 SegmentName(expected),
                 "the segment is missing",
                 "consecutive segments");
    }
    ReadSegment(aRecovery, it, it == aContent.mSegments.back());
    expected = it + 1;
  }
}

/// Checks that the last segment named by the vote record exists, that no entry
/// is missing between the snapshot and the log, and that both together reach
/// the commit floor of the vote record and the floor records.
auto
CheckCompleteness(Recovery& aRecovery,
                  const FolderContent& aContent,
                  const StoredVote& aVote) -> void
{
  const auto last = aContent.mSegments.empty() ? 0 : aContent.mSegments.back();
  if (last < aVote.mLastSegment) {
    AddProblem(aRecovery,
               SegmentName(aVote.mLastSegment),
               "the segment is missing",
               "the last segment that was started");
  }
  auto& disk = aRecovery.mOpened.mDisk;
  const auto first = disk.mBaseIndex + 1;
  const auto end = disk.mBaseIndex + disk.mEntries.size();
  if (first > disk.mSnapshot.mIndex + 1) {
    AddProblem(aRecovery,
               SnapshotName(first - 1),
               "the snapshot that precedes the log is missing",
               "a snapshot that reaches the start of the log");
  }
  const auto floor = std::max(disk.mCommitFloor, aVote.mFloor);
  if (std::max(end, disk.mSnapshot.mIndex) < floor) {
    AddProblem(aRecovery,
               SegmentName(last),
               "entries up to " + std::to_string(floor) +
                 " were committed here but the log ends at " +
                 std::to_string(end),
               "the complete log; replace this member");
  }
  disk.mCommitFloor = floor;
}

/// Drops entries that the snapshot covers, so that the log starts after it.
auto
DropSnapshottedEntries(RecoveredDisk& aDisk) -> void
{
  const auto index = aDisk.mSnapshot.mIndex;
  const auto isInLog = index > aDisk.mBaseIndex &&
                       index <= aDisk.mBaseIndex + aDisk.mEntries.size();
  if (isInLog && aDisk.mEntries[index - aDisk.mBaseIndex - 1].mTerm !=
                   aDisk.mSnapshot.mTerm) {
    // NOTE: a crash between installing a snapshot and starting its segment
    // leaves entries that conflict with the snapshot.
    aDisk.mEntries.clear();
  }
  const auto covered =
    aDisk.mSnapshot.mIndex > aDisk.mBaseIndex
      ? std::min<std::uint64_t>(aDisk.mSnapshot.mIndex - aDisk.mBaseIndex,
                                aDisk.mEntries.size())
      : 0;
  aDisk.mEntries.erase(aDisk.mEntries.begin(),
                       aDisk.mEntries.begin() +
                         static_cast<std::ptrdiff_t>(covered));
  aDisk.mBaseIndex = aDisk.mSnapshot.mIndex;
  aDisk.mBaseTerm = aDisk.mSnapshot.mTerm;
}

/// Truncates a torn end of the log and makes the new boot identity durable.
auto
FinishOpening(Recovery& aRecovery) -> void
{
  auto& store = aRecovery.mOpened.mStore;
  auto status = IoStatus::Done;
  if (!aRecovery.mTornSegment.empty()) {
    const auto path = store.mFolder + "/" + aRecovery.mTornSegment;
    status = store.mFiles.mTruncate(path, aRecovery.mTornAt);
    if (status == IoStatus::Done) {
      status = store.mFiles.mSyncFile(path);
    }
  }
  // NOTE: without a durable boot identity the member must not take part, as
  // its peers could not detect an old disk.
  if (status == IoStatus::Done) {
    status = WriteVote(store);
  }
  if (status != IoStatus::Done) {
    AddProblem(aRecovery,
               std::string(kVoteName),
               status == IoStatus::Full ? "the disk is full"
                                        : "the file can't be written",
               "a writable folder with space left");
  }
}

} // namespace

auto
OpenStore(FileSystem aFiles,
          std::string aFolder,
          StoreOptions aOptions,
          std::uint64_t aRandom) -> leaf::result<OpenedStore>
{
  auto opened = OpenedStore{};
  auto& store = opened.mStore;
  store.mFiles = std::move(aFiles);
  store.mFolder = std::move(aFolder);
  store.mOptions = aOptions;
  auto recovery = Recovery{ opened, {}, {}, 0 };
  const auto names = store.mFiles.mList(store.mFolder);
  if (!names) {
    AddProblem(recovery, "", "the folder can't be read", "an existing folder");
    return leaf::new_error(recovery.mFindings);
  }
  const auto content = ListContent(*names);
  auto vote = StoredVote{};
  vote.mVote.mMember = aRandom;
  if (content.mHasVote || !content.mSegments.empty() ||
      !content.mSnapshots.empty()) {
    vote = ReadVoteFile(recovery, content);
    ReadSnapshotFile(recovery, content);
    opened.mDisk.mBaseIndex = opened.mDisk.mSnapshot.mIndex;
    ReadSegments(recovery, content);
    CheckCompleteness(recovery, content, vote);
    DropSnapshottedEntries(opened.mDisk);
  }
  store.mVote = vote.mVote;
  store.mVote.mBoot = NextBoot(store.mVote.mBoot, aRandom);
  store.mVoteSequence = vote.mSequence;
  store.mNamedSegment = vote.mLastSegment;
  store.mFloor = opened.mDisk.mCommitFloor;
  opened.mDisk.mVote = store.mVote;
  if (IsEmpty(recovery.mFindings)) {
    FinishOpening(recovery);
  }
  if (!IsEmpty(recovery.mFindings)) {
    return leaf::new_error(recovery.mFindings);
  }
  return opened;
}

} // namespace cuminslip
