#pragma once

#include "bench/fakefleet.h"

#include <string>
#include <vector>

/// Tables of fleet runs over several seeds.
namespace cuminslip::bench {

/// Runs with seeds 1 to aSeeds and prints one table line: 95th percentile of
/// the time to first token of short prompts and of its ratio to an unloaded
/// engine's for each length, as median (least-greatest) over the seeds.
auto
PrintFleetLine(const std::string& aName,
               FleetSettings aSettings,
               std::uint64_t aSeeds) -> void;

auto
PrintFleetHeading(const std::string& aTitle) -> void;

/// Value at aShare of the sorted values. Precondition: not empty.
auto
Quantile(std::vector<double> aValues, double aShare) -> double;

} // namespace cuminslip::bench
