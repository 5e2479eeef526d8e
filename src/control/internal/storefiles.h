#pragma once

#include "control/controlstore.h"

/// Internal functions that create the files of the control store.
namespace cuminslip {

/// Atomically and durably replaces a file with one that holds a single record.
auto
WriteWholeFile(ControlStore& aStore,
               const std::string& aName,
               const std::string& aPayload) -> IoStatus;

/// Makes the vote record of aStore durable.
auto
WriteVote(ControlStore& aStore) -> IoStatus;

/// Starts the next segment durably.
auto
StartSegment(ControlStore& aStore) -> IoStatus;

} // namespace cuminslip
