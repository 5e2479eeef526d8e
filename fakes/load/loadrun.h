#pragma once

#include "fakes/load/types/loadsettings.h"
#include "fakes/load/types/requestrecord.h"
#include "wire/httpclient.h"

#include <string>
#include <vector>

/// Sends the requests of a plan and records what becomes of each.
namespace cuminslip::fakes {

/// Records of a run, and what the tool itself used.
struct LoadOutcome
{
  std::vector<RequestRecord> mRecords;
  double mWallSeconds = 0;
  double mCpuSeconds = 0;
};

/// Runs a whole plan on aLoop and returns when each request has ended. Sends at
/// the planned times however slow the answers are. Precondition: the targets
/// are addresses; aLoop is not running.
auto
RunLoad(wire::EventLoop& aLoop,
        const LoadSettings& aSettings,
        const std::string& aLabel) -> LoadOutcome;

} // namespace cuminslip::fakes
