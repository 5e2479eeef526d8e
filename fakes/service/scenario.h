#pragma once

#include "base/findings.h"
#include "fakes/engine/types/enginesettings.h"
#include "fakes/service/types/servicesettings.h"

#include <string>
#include <vector>

/// Scenario files: the stand-ins that one process runs, in YAML.
namespace cuminslip::fakes {

struct Scenario
{
  /// All rates are multiplied by this; announcements are not.
  double mTimeScale = 1;
  double mWeightStoreGigabytesPerSecond = 8;
  /// Where the process itself listens for faults and counters.
  std::string mControl;
  std::vector<EngineSettings> mEngines;
  std::vector<ServiceSettings> mServices;

  auto operator==(const Scenario&) const -> bool = default;
};

/// Reads a scenario from YAML text; aSource names it in findings. Fails with
/// all findings. Thread safe.
auto
ReadScenario(const std::string& aText, const std::string& aSource)
  -> leaf::result<Scenario>;

} // namespace cuminslip::fakes
