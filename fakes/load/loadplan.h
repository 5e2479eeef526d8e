#pragma once

#include "fakes/load/types/loadsettings.h"
#include "fakes/load/types/plannedrequest.h"

#include <string>
#include <vector>

/// The requests of a run, drawn from its seed. All functions are thread safe.
namespace cuminslip::fakes {

/// Poisson arrivals over all phases. The same settings give the same plan; a
/// bound on prompt lengths leaves requests out and changes no other.
auto
MakePlan(const LoadSettings& aSettings) -> std::vector<PlannedRequest>;

/// The prompt of a request: lower-case letters and spaces, four for a token.
auto
MakePrompt(const PlannedRequest& aRequest) -> std::string;

} // namespace cuminslip::fakes
