#include "program/serve.h"

#include "program/instance.h"
#include "program/internal/reload.h"
#include "settings/settings.h"

#include <atomic>
#include <csignal>
#include <ostream>
#include <thread>

namespace cuminslip::program {

namespace {

constexpr auto kExitSettings = 2;
constexpr auto kExitStart = 3;

auto
WatchedSignals() -> sigset_t
{
  auto signals = sigset_t{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

/// Waits for signals in a thread of its own and passes them on to the front
/// task, until one of them is a stop. Precondition: they are blocked in every
/// thread.
auto
WatchSignals(Instance& aInstance, const std::string& aPath) -> std::jthread
{
  return std::jthread([&aInstance, aPath] {
    const auto signals = WatchedSignals();
    auto number = 0;
    while (sigwait(&signals, &number) == 0 && number == SIGHUP) {
      wire::PostToLoop(*aInstance.mLoop, [&aInstance, aPath] {
        ReloadSettings(aInstance, aPath);
      });
    }
    wire::PostToLoop(*aInstance.mLoop,
                     [&aInstance] { BeginGracefulStop(aInstance); });
  });
}

} // namespace

auto
Serve(const std::string& aPath, std::ostream& aErrors) -> int
{
  const auto signals = WatchedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto settings = CollectOutcome<Settings>([&] { return LoadSettings(aPath); });
  if (!settings.mValue) {
    aErrors << FormatFindings(settings.mFindings);
    return kExitSettings;
  }
  const auto& log = settings.mValue->mLog;
  StartLog(settings.mValue->mInstance.mValue, log.mFile, log.mLowest);
  auto instance = CollectOutcome<std::unique_ptr<Instance>>(
    [&] { return StartInstance(*settings.mValue); });
  if (!instance.mValue) {
    aErrors << FormatFindings(instance.mFindings);
    return kExitStart;
  }
  {
    const auto watcher = WatchSignals(**instance.mValue, aPath);
    RunInstance(**instance.mValue);
    // NOTE: wakes the watcher when the stop came from elsewhere.
    kill(getpid(), SIGTERM);
  }
  return 0;
}

} // namespace cuminslip::program
