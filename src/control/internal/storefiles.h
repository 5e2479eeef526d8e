#pragma once

#include "control/controlstore.h"

/// Whole files of the control store.
namespace cuminslip {

/// Puts a file with one record in the place of the former one, durably.
auto
WriteWholeFile(ControlStore& aStore,
               const std::string& aName,
               const std::string& aPayload) -> IoStatus;

/// Makes the vote record of aStore durable.
auto
WriteVote(ControlStore& aStore) -> IoStatus;

/// Begins the next segment, durably.
auto
BeginSegment(ControlStore& aStore) -> IoStatus;

} // namespace cuminslip
