#pragma once

#include "control/types/controlstate.h"

/// Internal functions of the state machine. One overload of ApplyKind for each
/// kind of command applies the command at log index aIndex.
namespace cuminslip {

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const PublishCommand& aCommand) -> CommandResult;

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const ClaimRunCommand& aCommand) -> CommandResult;

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const FinishRunCommand& aCommand) -> CommandResult;

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const LeaseCommand& aCommand) -> CommandResult;

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const SubmitWorkCommand& aCommand) -> CommandResult;

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const TakeWorkCommand& aCommand) -> CommandResult;

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const RenewWorkCommand& aCommand) -> CommandResult;

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const FinishWorkCommand& aCommand) -> CommandResult;

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const PublishRoutingCommand& aCommand) -> CommandResult;

/// Deletes publish records, runs and works whose retention has ended.
auto
DropExpired(ControlState& aState, const ControlLimits& aBounds) -> void;

/// Deletes works whose retention has ended.
auto
DropExpiredWorks(ControlState& aState) -> void;

/// True when no name is empty or longer than mMaxNameBytes.
auto
AreNamesValid(const ControlLimits& aBounds,
              std::initializer_list<std::string_view> aNames) -> bool;

/// Bytes accounted to a work: its complete request, the announced result and
/// the overhead of the record.
auto
WorkBytes(const WorkRecord& aWork) -> std::size_t;

} // namespace cuminslip
