#pragma once

#include "control/types/controlstate.h"

#include <vector>

/// The replicated state machine. Deterministic, without I/O; not thread safe.
namespace cuminslip {

/// Applies the command of the log entry at aIndex with the log's clock
/// aClock. Precondition: aIndex is above aState.mApplied.
auto
ApplyCommand(ControlState& aState,
             const ControlLimits& aBounds,
             Revision aIndex,
             LogMillis aClock,
             const Command& aCommand) -> CommandResult;

/// Applies a committed entry of any kind. An entry without a command, or whose
/// command can't be decoded, only advances mApplied and mClock.
auto
ApplyEntry(ControlState& aState,
           const ControlLimits& aBounds,
           const LogEntry& aEntry) -> CommandResult;

/// Highest revision of all templates and the routing document; 0 for none.
auto
TemplateRevision(const ControlState& aState) -> Revision;

/// Templates with a revision above aAfter, ordered by client account.
auto
TemplatesAfter(const ControlState& aState, Revision aAfter)
  -> std::vector<StoredTemplate>;

/// Revisions of a client account's template that are still kept, newest first;
/// empty for an unknown account.
auto
HistoryOf(const ControlState& aState, const AccountId& aAccount)
  -> std::vector<StoredTemplate>;

/// Finished with the result in mBytes, InProgress, or NotFound.
auto
FetchWorkResult(const ControlState& aState, const AccountKey& aWork)
  -> CommandResult;

} // namespace cuminslip
