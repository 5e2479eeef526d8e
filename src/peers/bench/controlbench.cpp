#include "base/events.h"
#include "control/controlstore.h"
#include "peers/tests/testinstance.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>

using namespace cuminslip;

/// Measures the control log: grouped syncs, latencies, restarts, idle bytes.
namespace {

using BenchClock = std::chrono::steady_clock;

auto
SecondsSince(BenchClock::time_point aStart) -> double
{
  return std::chrono::duration<double>(BenchClock::now() - aStart).count();
}

auto
PrintQuantiles(const char* aName, std::vector<double> aSeconds) -> void
{
  constexpr auto kMillisPerSecond = 1000.0;
  std::sort(aSeconds.begin(), aSeconds.end());
  const auto last = aSeconds.size() - 1;
  std::printf("%s: median %.2f ms, 99th %.2f ms of %zu\n",
              aName,
              aSeconds[last / 2] * kMillisPerSecond,
              aSeconds[last * 99 / 100] * kMillisPerSecond,
              aSeconds.size());
}

/// Records a second with aGroup records to a sync.
auto
MeasureStore(const std::filesystem::path& aFolder, std::uint64_t aGroup) -> void
{
  constexpr auto kRecords = std::uint64_t{ 2000 };
  std::filesystem::create_directories(aFolder);
  auto opened = CollectOutcome<OpenedStore>(
    [&] { return OpenStore(LocalFileSystem(), aFolder.string(), {}, 1); });
  auto& store = opened.mValue->mStore;
  const auto before = store.mFigures;
  const auto start = BenchClock::now();
  for (auto index = std::uint64_t{ 1 }; index <= kRecords;) {
    auto write = DiskWrite{ index, {}, {}, 0, false, {} };
    for (auto n = std::uint64_t{ 0 }; n < aGroup; ++n, ++index) {
      write.mEntries.push_back(
        { index, 1, EntryKind::Command, 0, std::string(300, 'x') });
    }
    WriteToStore(store, { write }, 0);
  }
  const auto seconds = SecondsSince(start);
  std::printf(
    "store, %llu records a sync: %.0f records/s, %llu syncs\n",
    static_cast<unsigned long long>(aGroup),
    static_cast<double>(kRecords) / seconds,
    static_cast<unsigned long long>(store.mFigures.mSyncs - before.mSyncs));
}

auto
StartAll(TestGroup& aGroup, std::size_t aControls) -> void
{
  for (auto n = std::size_t{ 0 }; n < aGroup.mSettings.size(); ++n) {
    aGroup.Start(n);
  }
  aGroup.WaitForVoters(0, aControls);
  for (auto n = std::size_t{ 0 }; n < aGroup.mSettings.size(); ++n) {
    aGroup.WaitUntilReady(n);
  }
}

/// Latencies of changes one after another, in the group's first account.
auto
MeasureLatency(std::size_t aControls) -> void
{
  constexpr auto kChanges = 100;
  auto group = TestGroup(aControls, 3);
  StartAll(group, aControls);
  auto accept = std::vector<double>{};
  auto inForce = std::vector<double>{};
  auto revision = Revision{ 0 };
  for (auto n = 0; n < kChanges; ++n) {
    const auto start = BenchClock::now();
    revision = group
                 .Publish(aControls,
                          "ana",
                          revision,
                          "r" + std::to_string(n),
                          std::string(4000, 't'))
                 .mRevision;
    accept.push_back(SecondsSince(start));
    for (auto k = std::size_t{ 0 }; k < group.mSettings.size(); ++k) {
      group.WaitForRevision(k, revision);
    }
    inForce.push_back(SecondsSince(start));
  }
  std::printf("%zu control instances, 3 without a disk\n", aControls);
  PrintQuantiles("  accepted", accept);
  PrintQuantiles("  in force everywhere", inForce);
}

/// Run records a second with aWidth calls under way.
auto
MeasureClaims(std::size_t aControls, int aWidth) -> void
{
  constexpr auto kClaims = 4000;
  auto group = TestGroup(aControls, 1);
  StartAll(group, aControls);
  auto started = std::atomic<int>{ 0 };
  auto done = std::atomic<int>{ 0 };
  auto accepted = std::atomic<int>{ 0 };
  std::function<void()> next = [&] {
    const auto number = started++;
    if (number >= kClaims) {
      return;
    }
    const auto name = std::to_string(number);
    group.mTasks[aControls]->Propose(
      ClaimRunCommand{ { "ana" }, { name }, "fingerprint", name, 60000 },
      [&](const CommandResult& aResult) {
        accepted += aResult.mStatus == CommandStatus::Accepted ? 1 : 0;
        ++done;
        next();
      });
  };
  const auto start = BenchClock::now();
  for (auto n = 0; n < aWidth; ++n) {
    next();
  }
  TestGroup::WaitUntil([&] { return done == kClaims; });
  std::printf("%zu control instances, %d calls under way: %.0f run records/s, "
              "%d of %d accepted\n",
              aControls,
              aWidth,
              kClaims / SecondsSince(start),
              accepted.load(),
              kClaims);
}

auto
MeasureRestart(int aChanges) -> void
{
  auto group = TestGroup(1);
  group.Start(0);
  auto revision = Revision{ 0 };
  for (auto n = 0; n < aChanges; ++n) {
    revision = group
                 .Publish(0,
                          "account-" + std::to_string(n % 290),
                          n < 290 ? 0 : revision,
                          "r" + std::to_string(n),
                          std::string(4000, 't'))
                 .mRevision;
  }
  group.Stop(0);
  auto bytes = std::uintmax_t{ 0 };
  for (const auto& it :
       std::filesystem::recursive_directory_iterator(group.mFolder)) {
    bytes += it.is_regular_file() ? it.file_size() : 0;
  }
  const auto start = BenchClock::now();
  group.Start(0);
  group.WaitUntilReady(0);
  std::printf(
    "restart after %d changes: %.0f ms until ready, %.1f MB on disk\n",
    aChanges,
    SecondsSince(start) * 1000,
    static_cast<double>(bytes) / 1e6);
}

/// Runs one instance until killed: NUMBER CONTROLS TOTAL PORT FOLDER.
auto
RunInstance(char** aArguments) -> int
{
  const auto number = std::strtoul(aArguments[0], nullptr, 10);
  const auto controls = std::strtoul(aArguments[1], nullptr, 10);
  const auto total = std::strtoul(aArguments[2], nullptr, 10);
  const auto port = std::strtoul(aArguments[3], nullptr, 10);
  auto settings = PeerSettings{};
  for (auto n = 0UL; n < total; ++n) {
    const auto it =
      PeerInstance{ { "instance-" + std::to_string(n) },
                    "127.0.0.1:" + std::to_string(port + n),
                    { "domain-" + std::to_string(n % controls) } };
    if (n < controls) {
      settings.mControlInstances.push_back(it);
    }
    if (n == number) {
      settings.mInstance = it.mInstance;
      settings.mAddress = it.mAddress;
      settings.mFailureDomain = it.mFailureDomain;
    }
  }
  settings.mPeerKey = "peer key";
  if (number < controls) {
    settings.mDataFolder = std::string(aArguments[4]) + "/" + aArguments[0];
  }
  auto task = CollectOutcome<std::unique_ptr<PeerTask>>(
    [&] { return StartPeerTask(settings, {}); });
  if (!task.mValue) {
    std::fputs(FormatFindings(task.mFindings).c_str(), stderr);
    return 1;
  }
  while (true) {
    std::this_thread::sleep_for(std::chrono::seconds(60));
  }
}

} // namespace

auto
main(int aCount, char** aArguments) -> int
{
  constexpr auto kInstanceArguments = 7;
  if (aCount == kInstanceArguments) {
    return RunInstance(aArguments + 2);
  }
  StartLog("bench", "/dev/null", Severity::Error);
  auto name = std::string("/tmp/cuminslip-bench-XXXXXX");
  const auto folder = std::filesystem::path(::mkdtemp(name.data()));
  for (const auto group : { 1, 10, 100 }) {
    MeasureStore(folder / std::to_string(group),
                 static_cast<std::uint64_t>(group));
  }
  std::filesystem::remove_all(folder);
  for (const auto controls : { 1, 3, 5 }) {
    MeasureLatency(static_cast<std::size_t>(controls));
  }
  for (const auto width : { 1, 64, 256 }) {
    MeasureClaims(3, width);
  }
  MeasureRestart(500);
  MeasureRestart(5000);
  return 0;
}
