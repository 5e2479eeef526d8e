#pragma once

#include "requests/internal/frontstate.h"

/// Completes the durable record of a non-idempotent call.
namespace cuminslip::requests {

/// Records that the call was executed, with its answer.
auto
RecordOutcome(Front& aFront, Request& aRequest, std::string aAnswer) -> void;

/// Records that the call was not executed or that its outcome is unknown.
auto
RecordFailure(Front& aFront, Request& aRequest, Ran aRan) -> void;

} // namespace cuminslip::requests
