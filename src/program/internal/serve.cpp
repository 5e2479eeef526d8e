#include "program/serve.h"

#include "gateway/gateway.h"
#include "platform/platform.h"
#include "program/instance.h"
#include "program/internal/reload.h"
#include "settings/settings.h"

#include <atomic>
#include <csignal>
#include <functional>
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

/// Waits for signals in a thread of its own and calls aOnReload and aOnStop
/// there, until one of them is a stop. Precondition: the signals are blocked in
/// every thread.
auto
WatchSignals(std::function<void()> aOnReload, std::function<void()> aOnStop)
  -> std::jthread
{
  return std::jthread(
    [onReload = std::move(aOnReload), onStop = std::move(aOnStop)] {
      const auto signals = WatchedSignals();
      auto number = 0;
      while (sigwait(&signals, &number) == 0 && number == SIGHUP) {
        onReload();
      }
      onStop();
    });
}

auto
ServeInstance(const Settings& aSettings,
              const std::string& aPath,
              std::ostream& aErrors) -> int
{
  auto started = CollectOutcome<std::unique_ptr<Instance>>(
    [&] { return StartInstance(aSettings); });
  if (!started.mValue) {
    aErrors << FormatFindings(started.mFindings);
    return kExitStart;
  }
  auto& instance = **started.mValue;
  const auto watcher = WatchSignals(
    [&instance, aPath] {
      wire::PostToLoop(*instance.mLoop,
                       [&instance, aPath] { ReloadSettings(instance, aPath); });
    },
    [&instance] {
      wire::PostToLoop(*instance.mLoop,
                       [&instance] { BeginGracefulStop(instance); });
    });
  RunInstance(instance);
  // NOTE: wakes the watcher when the stop came from elsewhere.
  kill(getpid(), SIGTERM);
  return 0;
}

auto
ServeGateway(const Settings& aSettings,
             const std::string& aPath,
             std::ostream& aErrors) -> int
{
  auto started = CollectOutcome<gateway::GatewayPtr>(
    [&] { return gateway::StartGateway(aSettings, platform::MakeAdapter()); });
  if (!started.mValue) {
    aErrors << FormatFindings(started.mFindings);
    return kExitStart;
  }
  auto& gateway = **started.mValue;
  const auto watcher =
    WatchSignals([&gateway, aPath] { ReloadGateway(gateway, aPath); },
                 [&gateway] { StopGateway(gateway); });
  gateway::RunGateway(gateway);
  kill(getpid(), SIGTERM);
  return 0;
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
  const auto status = settings.mValue->mAdapter == AdapterKind::Platform
                        ? ServeGateway(*settings.mValue, aPath, aErrors)
                        : ServeInstance(*settings.mValue, aPath, aErrors);
  StopLog();
  return status;
}

} // namespace cuminslip::program
