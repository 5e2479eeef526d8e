#pragma once

#include "control/types/controlstate.h"

/// Parts of the state machine, one function a kind of command. Each returns
/// the result of the command applied at log position aIndex.
namespace cuminslip {

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const PublishCommand& aCommand) -> CommandResult;

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const ClaimRunCommand& aCommand) -> CommandResult;

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const FinishRunCommand& aCommand) -> CommandResult;

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const LeaseCommand& aCommand) -> CommandResult;

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const SubmitWorkCommand& aCommand) -> CommandResult;

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const TakeWorkCommand& aCommand) -> CommandResult;

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const RenewWorkCommand& aCommand) -> CommandResult;

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const FinishWorkCommand& aCommand) -> CommandResult;

auto
ApplyOne(ControlState& aState,
         const ControlBounds& aBounds,
         Revision aIndex,
         const PublishRoutingCommand& aCommand) -> CommandResult;

/// Drops what has been kept for its time.
auto
DropExpired(ControlState& aState, const ControlBounds& aBounds) -> void;

/// Drops works whose retention is over.
auto
DropExpiredWorks(ControlState& aState) -> void;

/// True when every name is given and short enough.
auto
AreNamesValid(const ControlBounds& aBounds,
              std::initializer_list<std::string_view> aNames) -> bool;

/// Bytes that a work takes, now or when its request is complete.
auto
WorkBytes(const WorkRecord& aWork) -> std::size_t;

} // namespace cuminslip
