#include "base/events.h"
#include "fakes/engine/engineserver.h"
#include "fakes/engine/jsonread.h"
#include "fakes/engine/types/standinevents.h"
#include "fakes/service/scenario.h"
#include "fakes/service/serviceserver.h"

#include <popt.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace {

using namespace cuminslip;
using namespace cuminslip::fakes;
namespace json = boost::json;

constexpr auto kExitUsage = 2;
constexpr auto kExitSettings = 3;
constexpr auto kSignalCheck = Millis(20);
const auto kControlLimits =
  wire::ListenerLimits{ std::size_t{ 64 } * 1024, 64, Millis(5000) };

volatile std::sig_atomic_t gStopSignals = 0;

auto
OnStopSignal(int) -> void
{
  gStopSignals = gStopSignals + 1;
}

struct Options
{
  std::string mCommand;
  std::string mSettings;
  std::string mLog;
};

/// All stand-ins of this process.
struct Standins
{
  wire::EventLoopPtr mLoop = wire::CreateEventLoop();
  wire::HttpClientPtr mClient = wire::CreateHttpClient(*mLoop);
  WeightStore mStore;
  std::vector<EngineServerPtr> mEngines;
  std::vector<ServiceServerPtr> mServices;
  wire::HttpServerPtr mControl;
  bool mIsLeaving = false;
};

auto
ReadOptions(int aCount, const char** aArguments) -> std::optional<Options>
{
  char* settings = nullptr;
  char* log = nullptr;
  const poptOption table[] = {
    { "settings",
      's',
      POPT_ARG_STRING,
      &settings,
      0,
      "scenario file in YAML",
      "FILE" },
    { "log", 'l', POPT_ARG_STRING, &log, 0, "log file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto* context =
    poptGetContext("cuminslip-standin", aCount, aArguments, table, 0);
  poptSetOtherOptionHelp(context, "engine|service|all --settings FILE");
  const auto rc = poptGetNextOpt(context);
  const auto* command = poptGetArg(context);
  auto options = std::optional<Options>{};
  if (rc == -1 && command != nullptr && settings != nullptr) {
    options =
      Options{ command, settings, log == nullptr ? std::string{} : log };
  } else {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  return options;
}

auto
StartAll(Standins& aStandins,
         const Scenario& aScenario,
         const Options& aOptions) -> leaf::result<void>
{
  auto& loop = *aStandins.mLoop;
  auto& client = *aStandins.mClient;
  aStandins.mStore.mGigabytesPerSecond =
    aScenario.mWeightStoreGigabytesPerSecond;
  const auto scale = aScenario.mTimeScale;
  if (aOptions.mCommand != "service") {
    for (const auto& settings : aScenario.mEngines) {
      BOOST_LEAF_AUTO(
        engine,
        StartEngineServer({ &loop, &client, &aStandins.mStore, scale },
                          settings));
      aStandins.mEngines.push_back(std::move(engine));
    }
  }
  if (aOptions.mCommand != "engine") {
    for (const auto& settings : aScenario.mServices) {
      BOOST_LEAF_AUTO(service,
                      StartServiceServer({ &loop, &client, scale }, settings));
      aStandins.mServices.push_back(std::move(service));
    }
  }
  return {};
}

auto
AllCounters(const Standins& aStandins) -> json::object
{
  auto engines = json::array{};
  for (const auto& engine : aStandins.mEngines) {
    engines.push_back(EngineCountersDocument(*engine, false));
  }
  auto services = json::array{};
  for (const auto& service : aStandins.mServices) {
    services.push_back(ServiceCountersDocument(*service, false));
  }
  return { { "engines", engines }, { "services", services } };
}

/// Passes a fault to the stand-ins that match the "endpoints" member, or all.
auto
CommandAll(Standins& aStandins, const json::object& aFault) -> std::int64_t
{
  const auto names = TextsOf(aFault, "endpoints");
  const auto isMeant = [&](const std::string& aName) {
    return names.empty() ||
           std::find(names.begin(), names.end(), aName) != names.end();
  };
  auto count = std::int64_t{ 0 };
  for (const auto& engine : aStandins.mEngines) {
    if (isMeant(EngineName(*engine))) {
      CommandFault(*engine, aFault);
      ++count;
    }
  }
  for (const auto& service : aStandins.mServices) {
    if (isMeant(ServiceName(*service))) {
      CommandServiceFault(*service, aFault);
      ++count;
    }
  }
  return count;
}

auto
HandleControl(Standins& aStandins,
              const wire::HttpRequest& aRequest,
              const wire::ResponderPtr& aResponder) -> void
{
  auto body = AllCounters(aStandins);
  if (aRequest.mPath == "/fault") {
    const auto fault = ParseObject(aRequest.mBody);
    const auto count = fault.has_value() ? CommandAll(aStandins, *fault) : 0;
    body = { { "reached", count } };
  }
  SendResponse(aResponder, wire::JsonResponse(200, json::serialize(body)));
}

auto
StartControl(Standins& aStandins, const std::string& aAddress)
  -> leaf::result<void>
{
  const auto address = wire::ParseAddress(aAddress);
  if (!address.has_value()) {
    return {};
  }
  BOOST_LEAF_ASSIGN(
    aStandins.mControl,
    wire::StartHttpServer(*aStandins.mLoop,
                          *address,
                          kControlLimits,
                          [&aStandins](const wire::HttpRequest& aRequest,
                                       const wire::ResponderPtr& aResponder) {
                            HandleControl(aStandins, aRequest, aResponder);
                          }));
  return {};
}

auto
IsIdle(const Standins& aStandins) -> bool
{
  return std::all_of(aStandins.mEngines.begin(),
                     aStandins.mEngines.end(),
                     [](const auto& aIt) { return IsEngineIdle(*aIt); }) &&
         std::all_of(aStandins.mServices.begin(),
                     aStandins.mServices.end(),
                     [](const auto& aIt) { return IsServiceIdle(*aIt); });
}

auto
LeaveAll(Standins& aStandins) -> void
{
  aStandins.mIsLeaving = true;
  LogEvent(kStandinLeavingEvent, {});
  for (const auto& engine : aStandins.mEngines) {
    LeaveEngine(*engine);
  }
  for (const auto& service : aStandins.mServices) {
    LeaveService(*service);
  }
}

/// Runs until the stop signal and the end of running work, or a second signal.
auto
RunUntilStopped(Standins& aStandins) -> void
{
  while (gStopSignals < 2) {
    RunLoopOnce(*aStandins.mLoop, kSignalCheck);
    if (gStopSignals == 1 && !aStandins.mIsLeaving) {
      LeaveAll(aStandins);
    }
    const auto isTold = CountCalls(*aStandins.mClient) == 0;
    if (aStandins.mIsLeaving && isTold && IsIdle(aStandins)) {
      return;
    }
  }
}

auto
Run(const Options& aOptions) -> leaf::result<int>
{
  auto file = std::ifstream(aOptions.mSettings);
  if (!file) {
    return leaf::new_error(Findings{ { { { aOptions.mSettings, 0, 0 },
                                         "",
                                         "cannot be read",
                                         "a readable file" } } });
  }
  const auto text = std::string(std::istreambuf_iterator<char>(file), {});
  BOOST_LEAF_AUTO(scenario, ReadScenario(text, aOptions.mSettings));
  auto standins = Standins{};
  auto started = StartAll(standins, scenario, aOptions);
  if (!started) {
    return started.error();
  }
  auto controlled = StartControl(standins, scenario.mControl);
  if (!controlled) {
    return controlled.error();
  }
  RunUntilStopped(standins);
  LogEvent(kStandinStoppedEvent, {});
  return 0;
}

} // namespace

auto
main(int aCount, const char** aArguments) -> int
{
  const auto options = ReadOptions(aCount, aArguments);
  if (!options.has_value()) {
    return kExitUsage;
  }
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
  StartLog("standin", options->mLog, Severity::Info);
  const auto outcome = CollectOutcome<int>([&] { return Run(*options); });
  if (!outcome.mValue.has_value()) {
    std::cerr << FormatFindings(outcome.mFindings);
    return kExitSettings;
  }
  return *outcome.mValue;
}
