#include "control/controlcodec.h"
#include "control/controlcore.h"
#include "control/controlstore.h"
#include "control/tests/fakedisk.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace cuminslip;

namespace {

namespace data = boost::unit_test::data;

constexpr auto kFolder = "/data";

auto
Open(FakeDisk& aDisk, StoreOptions aOptions = {}) -> Outcome<OpenedStore>
{
  return CollectOutcome<OpenedStore>(
    [&] { return OpenStore(aDisk.Files(), kFolder, aOptions, 42); });
}

auto
EntryAt(Revision aIndex, Term aTerm = 1) -> LogEntry
{
  return { aIndex,
           aTerm,
           EntryKind::Command,
           aIndex * 10,
           "payload " + std::to_string(aIndex) };
}

auto
WriteOf(std::uint64_t aId, std::vector<LogEntry> aEntries) -> DiskWrite
{
  auto write = DiskWrite{};
  write.mId = aId;
  write.mEntries = std::move(aEntries);
  return write;
}

auto
VoteOf(std::uint64_t aId, const OpenedStore& aOpened, Term aTerm) -> DiskWrite
{
  auto write = DiskWrite{};
  write.mId = aId;
  write.mVote = aOpened.mDisk.mVote;
  write.mVote->mCluster = 7;
  write.mVote->mTerm = aTerm;
  return write;
}

auto
SnapshotOf(std::uint64_t aId, Revision aIndex, bool aIsLogReplaced = false)
  -> DiskWrite
{
  auto write = DiskWrite{};
  write.mId = aId;
  write.mSnapshot =
    Snapshot{ aIndex, 1, 5, {}, std::make_shared<const std::string>("state") };
  write.mIsLogReplaced = aIsLogReplaced;
  return write;
}

/// A disk with a vote and aCount entries, each synced separately.
auto
FilledDisk(Revision aCount) -> std::unique_ptr<FakeDisk>
{
  auto disk = std::make_unique<FakeDisk>();
  auto opened = Open(*disk);
  auto& store = opened.mValue->mStore;
  WriteToStore(store, { VoteOf(1, *opened.mValue, 3) }, 0);
  for (auto n = Revision{ 1 }; n <= aCount; ++n) {
    WriteToStore(store, { WriteOf(n + 1, { EntryAt(n) }) }, 0);
  }
  return disk;
}

struct ScriptOutcome
{
  int mOperations = 0;
  bool mHasFailed = false;
  bool mIsOpened = false;
  RecoveredDisk mDisk;
};

/// Writes what a member writes in its life, each write until the disk takes it,
/// on a disk that refuses aRefused operations from the one numbered aFirst on.
/// With aLoss the power fails whenever a write is refused, and the member goes
/// on with what its disk holds then.
auto
RunFullScript(int aFirst, int aRefused, std::mt19937_64* aLoss) -> ScriptOutcome
{
  constexpr auto kAllOperations = 1000000;
  constexpr auto kMaxTries = 20;
  auto outcome = ScriptOutcome{};
  auto disk = FakeDisk{};
  auto opened = Open(disk);
  auto conflict = WriteOf(4, { EntryAt(4, 2) });
  conflict.mTruncateFrom = 4;
  const auto writes = std::vector<std::pair<std::vector<DiskWrite>, Revision>>{
    { { VoteOf(1, *opened.mValue, 3) }, 0 },
    { { WriteOf(2, { EntryAt(1), EntryAt(2) }) }, 0 },
    { { WriteOf(3, { EntryAt(3), EntryAt(4), EntryAt(5) }) }, 2 },
    { { conflict }, 3 },
    { { WriteOf(5, { EntryAt(5, 2) }), SnapshotOf(6, 3) }, 4 },
    { { WriteOf(7, { EntryAt(6, 2) }), SnapshotOf(8, 6) }, 6 },
    { { WriteOf(9, { EntryAt(7, 2) }) }, 6 },
    { { SnapshotOf(10, 100, true), WriteOf(11, { EntryAt(101, 2) }) }, 100 },
    { { VoteOf(12, *opened.mValue, 4), WriteOf(13, { EntryAt(102, 4) }) }, 101 }
  };
  disk.mOperationsLeft = kAllOperations;
  disk.mOperationsUntilFull = aFirst;
  disk.mFullOperations = aRefused;
  for (const auto& [batch, floor] : writes) {
    auto status = WriteToStore(opened.mValue->mStore, batch, floor);
    for (auto n = 0; n < kMaxTries && status == IoStatus::Full; ++n) {
      if (aLoss != nullptr) {
        disk.LosePower(*aLoss);
        const auto left = std::exchange(disk.mFullOperations, 0);
        opened = Open(disk);
        disk.mFullOperations = left;
        if (!opened.mValue) {
          return outcome;
        }
      }
      status = WriteToStore(opened.mValue->mStore, batch, floor);
    }
    outcome.mHasFailed |= status != IoStatus::Done;
  }
  outcome.mOperations = kAllOperations - disk.mOperationsLeft;
  disk.mFullOperations = 0;
  auto again = Open(disk);
  outcome.mIsOpened = again.mValue.has_value();
  if (again.mValue) {
    outcome.mDisk = std::move(again.mValue->mDisk);
  }
  return outcome;
}

auto
LogPath() -> std::string
{
  return std::string(kFolder) + "/log-00000000000000000001";
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlStoreTests)

BOOST_AUTO_TEST_CASE(WritesAreRecoveredOnOpen)
{
  auto disk = FilledDisk(5);
  const auto again = Open(*disk);

  BOOST_REQUIRE(again.mValue.has_value());
  const auto& recovered = again.mValue->mDisk;
  BOOST_TEST(recovered.mVote.mTerm == 3U);
  BOOST_TEST(recovered.mVote.mMember == 42U);
  BOOST_TEST((recovered.mVote.mBoot >> 32U) == 2U);
  BOOST_REQUIRE(recovered.mEntries.size() == 5U);
  BOOST_TEST((recovered.mEntries.back() == EntryAt(5)));
}

BOOST_AUTO_TEST_CASE(TruncationAndSnapshotsShortenTheLog)
{
  auto disk = FilledDisk(5);
  auto opened = Open(*disk);
  auto& store = opened.mValue->mStore;
  auto change = WriteOf(1, { EntryAt(4, 2) });
  change.mTruncateFrom = 4;
  WriteToStore(store, { change }, 0);
  BOOST_TEST(Open(*disk).mValue->mDisk.mEntries.size() == 4U);
  WriteToStore(store, { SnapshotOf(2, 3) }, 3);
  WriteToStore(store, { WriteOf(3, { EntryAt(5, 2) }) }, 3);
  const auto again = Open(*disk);

  BOOST_REQUIRE(again.mValue.has_value());
  BOOST_TEST(again.mValue->mDisk.mSnapshot.mIndex == 3U);
  BOOST_TEST(again.mValue->mDisk.mEntries.size() == 2U);
  BOOST_TEST(again.mValue->mDisk.mEntries.front().mTerm == 2U);
}

BOOST_AUTO_TEST_CASE(AnInstalledSnapshotReplacesTheLog)
{
  auto disk = FilledDisk(5);
  auto opened = Open(*disk);
  auto& store = opened.mValue->mStore;
  WriteToStore(
    store, { SnapshotOf(1, 100, true), WriteOf(2, { EntryAt(101) }) }, 100);
  const auto again = Open(*disk);

  BOOST_REQUIRE(again.mValue.has_value());
  BOOST_TEST(again.mValue->mDisk.mSnapshot.mIndex == 100U);
  BOOST_TEST(again.mValue->mDisk.mEntries.size() == 1U);
  BOOST_TEST(disk->mNames.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ATornTailIsDroppedAndDamagedSyncedRecordsAreReported)
{
  struct Case
  {
    const char* mName;
    std::function<void(std::string&)> mDamage;
    bool mIsOpened;
    std::size_t mEntries;
  };
  const auto size = FilledDisk(5)->mNames.at(LogPath())->mBytes.size();
  const auto cases = std::vector<Case>{
    { "torn", [](auto& aBytes) { aBytes.resize(aBytes.size() - 5); }, true, 4 },
    { "short",
      [](auto& aBytes) { aBytes.resize(aBytes.size() - 100); },
      true,
      4 },
    { "flipped at the end", [](auto& aBytes) { aBytes.back() ^= 1; }, true, 4 },
    { "zeros behind",
      [](auto& aBytes) { aBytes += std::string(64, '\0'); },
      true,
      5 },
    { "garbage behind", [](auto& aBytes) { aBytes += "garbage"; }, true, 5 },
    { "flipped in the middle",
      [=](auto& aBytes) { aBytes[size / 2] ^= 1; },
      false,
      0 },
    { "flipped at the front", [](auto& aBytes) { aBytes[30] ^= 1; }, false, 0 },
    { "zeroed in the middle",
      [=](auto& aBytes) { aBytes.replace(size / 2, 64, 64, '\0'); },
      false,
      0 },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      auto disk = FilledDisk(5);
      it.mDamage(disk->mNames.at(LogPath())->mBytes);
      const auto opened = Open(*disk);
      BOOST_TEST(opened.mValue.has_value() == it.mIsOpened);
      if (opened.mValue) {
        BOOST_TEST(opened.mValue->mDisk.mEntries.size() == it.mEntries);
        BOOST_TEST(Open(*disk).mValue->mDroppedBytes == 0U);
      } else {
        BOOST_TEST(!IsEmpty(opened.mFindings));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AMissingCommittedSegmentIsDetected)
{
  auto disk = FilledDisk(5);
  auto opened = Open(*disk);
  auto& store = opened.mValue->mStore;
  WriteToStore(store, { WriteOf(1, { EntryAt(6) }) }, 6);
  store.mOptions.mSegmentBytes = 1;
  WriteToStore(store, { WriteOf(2, { EntryAt(7) }) }, 6);
  disk->mNames.erase(std::string(kFolder) + "/log-00000000000000000002");

  BOOST_TEST(!Open(*disk).mValue.has_value());
}

BOOST_DATA_TEST_CASE(DamagedOrMissingFilesStopTheInstance,
                     data::make({ "vote", "snapshot-00000000000000000005" }))
{
  for (const auto isMissing : { true, false }) {
    auto disk = FilledDisk(5);
    auto opened = Open(*disk);
    WriteToStore(opened.mValue->mStore, { SnapshotOf(1, 5) }, 5);
    const auto path = std::string(kFolder) + "/" + sample;
    if (isMissing) {
      disk->mNames.erase(path);
    } else {
      disk->mNames.at(path)->mBytes.back() ^= 1;
    }
    BOOST_TEST(!Open(*disk).mValue.has_value());
  }
}

BOOST_AUTO_TEST_CASE(WritesResumeAfterADiskWasFull)
{
  auto disk = FilledDisk(3);
  auto opened = Open(*disk);
  auto& store = opened.mValue->mStore;
  const auto writes = std::vector{ WriteOf(1, { EntryAt(4) }) };
  disk->mIsFull = true;
  BOOST_TEST((WriteToStore(store, writes, 0) == IoStatus::Full));
  disk->mIsFull = false;
  BOOST_TEST((WriteToStore(store, writes, 0) == IoStatus::Done));

  BOOST_TEST(Open(*disk).mValue->mDisk.mEntries.size() == 4U);
  disk->mFreeBytes = 1;
  BOOST_TEST(IsStoreFull(store));
}

// Report of another operator: after disks had been full one after another,
// changes were refused for the rest of the day.
BOOST_DATA_TEST_CASE(ADiskThatIsFullAtAnyOperationTakesTheWritesLater,
                     data::xrange(1, 8),
                     refused)
{
  const auto expected = RunFullScript(-1, 0, nullptr);
  for (auto first = 0; first < expected.mOperations; ++first) {
    BOOST_TEST_CONTEXT("full from operation " << first)
    {
      auto random = std::mt19937_64(static_cast<std::uint64_t>(first));
      for (auto* loss : { static_cast<std::mt19937_64*>(nullptr), &random }) {
        const auto outcome = RunFullScript(first, refused, loss);
        BOOST_TEST(!outcome.mHasFailed);
        BOOST_TEST(outcome.mIsOpened);
        BOOST_TEST((outcome.mDisk.mEntries == expected.mDisk.mEntries));
        BOOST_TEST(
          (outcome.mDisk.mSnapshot.mIndex == expected.mDisk.mSnapshot.mIndex));
        BOOST_TEST(outcome.mDisk.mCommitFloor == expected.mDisk.mCommitFloor);
        BOOST_TEST(outcome.mDisk.mVote.mTerm == expected.mDisk.mVote.mTerm);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(AFailedSyncIsReported)
{
  auto disk = FilledDisk(3);
  auto opened = Open(*disk);
  disk->mIsSyncFailing = true;

  BOOST_TEST(
    (WriteToStore(opened.mValue->mStore, { WriteOf(1, { EntryAt(4) }) }, 0) ==
     IoStatus::Failed));
}

BOOST_AUTO_TEST_CASE(AGroupOfRecordsTakesOneSync)
{
  auto disk = FilledDisk(0);
  auto opened = Open(*disk);
  auto& store = opened.mValue->mStore;
  WriteToStore(store, { WriteOf(1, { EntryAt(1) }) }, 0);
  const auto before = store.mFigures;
  auto writes = std::vector<DiskWrite>{};
  for (auto n = Revision{ 2 }; n < 102; ++n) {
    writes.push_back(WriteOf(n, { EntryAt(n) }));
  }
  WriteToStore(store, writes, 0);

  BOOST_TEST(store.mFigures.mSyncs - before.mSyncs == 1U);
  BOOST_TEST(store.mFigures.mRecords - before.mRecords == 100U);
}

BOOST_DATA_TEST_CASE(APowerLossAtAnyMomentLosesNothingSynced,
                     data::xrange(1, 400))
{
  auto random = std::mt19937_64(static_cast<std::uint64_t>(sample));
  auto disk = FakeDisk{};
  auto lastSynced = Revision{ 0 };
  auto lastFloor = Revision{ 0 };
  auto term = Term{ 0 };
  for (auto round = 0; round < 3; ++round) {
    auto opened = Open(disk, { 2000, 0 });
    BOOST_REQUIRE_MESSAGE(opened.mValue, FormatFindings(opened.mFindings));
    const auto& recovered = opened.mValue->mDisk;
    auto next = std::max(recovered.mSnapshot.mIndex,
                         recovered.mBaseIndex + recovered.mEntries.size()) +
                1;
    BOOST_REQUIRE_GE(next, lastSynced + 1);
    BOOST_REQUIRE_GE(recovered.mVote.mTerm, term);
    BOOST_REQUIRE_GE(recovered.mCommitFloor, lastFloor);
    for (const auto& it : recovered.mEntries) {
      BOOST_REQUIRE(it == EntryAt(it.mIndex));
    }
    disk.mOperationsLeft = static_cast<int>(random() % 120);
    for (auto id = std::uint64_t{ 1 };; ++id) {
      auto write = WriteOf(id, {});
      for (auto n = random() % 4; n > 0; --n) {
        write.mEntries.push_back(EntryAt(next++));
      }
      if (random() % 8 == 0) {
        write = VoteOf(id, *opened.mValue, term + 1);
      } else if (random() % 8 == 0 && lastSynced > 0) {
        write.mSnapshot = SnapshotOf(id, lastSynced).mSnapshot;
      }
      const auto status =
        WriteToStore(opened.mValue->mStore, { write }, lastSynced);
      if (status != IoStatus::Done) {
        break;
      }
      lastFloor = lastSynced;
      lastSynced = write.mVote ? lastSynced : next - 1;
      next = lastSynced + 1;
      term = write.mVote ? write.mVote->mTerm : term;
    }
    disk.LosePower(random);
  }
}

BOOST_DATA_TEST_CASE(RandomDamageNeverCrashesTheReader, data::xrange(1, 300))
{
  auto random = std::mt19937_64(static_cast<std::uint64_t>(sample));
  auto disk = FilledDisk(10);
  for (auto& [name, file] : disk->mNames) {
    for (auto n = random() % 4; n > 0 && !file->mBytes.empty(); --n) {
      auto& byte = file->mBytes[random() % file->mBytes.size()];
      byte = static_cast<char>(byte ^ static_cast<char>(1 + random() % 255));
    }
    if (random() % 4 == 0) {
      file->mBytes.resize(random() % (file->mBytes.size() + 1));
    }
  }
  const auto opened = Open(*disk);

  BOOST_TEST(opened.mValue.has_value() == IsEmpty(opened.mFindings));
  if (opened.mValue) {
    for (const auto& it : opened.mValue->mDisk.mEntries) {
      BOOST_TEST((it == EntryAt(it.mIndex)));
    }
  }
}

/// Guards against a founder that lost power while it founded and then neither
/// has a log nor can found one: its vote record is durable before the log.
BOOST_DATA_TEST_CASE(APowerLossWhileFoundingLeavesAWholeLogOrNone,
                     data::xrange(30),
                     operations)
{
  auto random = std::mt19937_64(static_cast<std::uint64_t>(operations));
  auto disk = FakeDisk{};
  const auto start = [&](OpenedStore& aOpened) {
    return StartCore({}, { "a" }, "a", aOpened.mDisk, 1, TimePoint(Seconds(1)));
  };
  auto opened = Open(disk);
  auto founded = Step(start(*opened.mValue),
                      BootstrapInput{ 7, { "d" }, {} },
                      TimePoint(Seconds(1)));
  auto writes = std::move(founded.mOutput.mWrites);
  auto elected =
    Step(std::move(founded.mState), TickInput{}, TimePoint(Seconds(2)));
  writes.insert(writes.end(),
                elected.mOutput.mWrites.begin(),
                elected.mOutput.mWrites.end());
  disk.mOperationsLeft = operations;
  WriteToStore(opened.mValue->mStore, writes, 0);
  disk.LosePower(random);
  auto again = Open(disk);

  BOOST_REQUIRE(again.mValue.has_value());
  const auto core = start(*again.mValue);
  BOOST_TEST((core.mVote.mCluster == 0) ==
             CurrentMembership(core).mMembers.empty());
}

BOOST_AUTO_TEST_SUITE_END()
