#pragma once

#include "requests/internal/frontstate.h"

/// Settles the durable record of a non-idempotent call.
namespace cuminslip::requests {

/// Records that the call ran and how it was answered.
auto
RecordOutcome(Front& aFront, Request& aRequest, std::string aAnswer) -> void;

/// Records that the call did not run, or that nobody knows.
auto
RecordFailure(Front& aFront, Request& aRequest, Ran aRan) -> void;

} // namespace cuminslip::requests
