#pragma once

#include "control/types/controlstate.h"

#include <vector>

/// The replicated state machine: pure and deterministic. Not thread safe.
namespace cuminslip {

/// Applies the command of the log entry at aIndex with the log's clock
/// aClock. Precondition: aIndex is above aState.mApplied.
auto
ApplyCommand(ControlState& aState,
             const ControlBounds& aBounds,
             Revision aIndex,
             LogMillis aClock,
             const Command& aCommand) -> CommandResult;

/// Applies any committed entry. Entries without a command, or with one that
/// can't be read, only move the position and the clock.
auto
ApplyEntry(ControlState& aState,
           const ControlBounds& aBounds,
           const LogEntry& aEntry) -> CommandResult;

/// Highest template revision.
auto
TemplateRevision(const ControlState& aState) -> Revision;

/// Templates with a revision above aAfter, in the order of accounts.
auto
TemplatesAfter(const ControlState& aState, Revision aAfter)
  -> std::vector<StoredTemplate>;

/// Newest first; empty for an unknown account.
auto
HistoryOf(const ControlState& aState, const AccountId& aAccount)
  -> std::vector<StoredTemplate>;

/// Finished with the result, InProgress, or NotFound.
auto
FetchWorkResult(const ControlState& aState, const AccountKey& aWork)
  -> CommandResult;

} // namespace cuminslip
