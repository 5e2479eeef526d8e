#include "control/statemachine.h"

#include "control/controlcodec.h"
#include "control/internal/applyparts.h"

#include <algorithm>

namespace cuminslip {

namespace {

/// Dispatches one command to the function that applies it.
struct CommandVisitor
{
  ControlState& mState;
  const ControlLimits& mBounds;
  Revision mIndex;

  template<class Type>
  auto operator()(const Type& aCommand) const -> CommandResult
  {
    return ApplyKind(mState, mBounds, mIndex, aCommand);
  }
};

} // namespace

auto
ApplyCommand(ControlState& aState,
             const ControlLimits& aBounds,
             Revision aIndex,
             LogMillis aClock,
             const Command& aCommand) -> CommandResult
{
  aState.mApplied = aIndex;
  aState.mClock = std::max(aState.mClock, aClock);
  DropExpired(aState, aBounds);
  return std::visit(CommandVisitor{ aState, aBounds, aIndex }, aCommand);
}

auto
ApplyEntry(ControlState& aState,
           const ControlLimits& aBounds,
           const LogEntry& aEntry) -> CommandResult
{
  if (aEntry.mKind == EntryKind::Command) {
    auto command =
      CollectOutcome<Command>([&] { return DecodeCommand(aEntry.mPayload); });
    if (command.mValue) {
      return ApplyCommand(
        aState, aBounds, aEntry.mIndex, aEntry.mClock, *command.mValue);
    }
  }
  aState.mApplied = aEntry.mIndex;
  aState.mClock = std::max(aState.mClock, aEntry.mClock);
  return {};
}

auto
TemplateRevision(const ControlState& aState) -> Revision
{
  auto revision = Revision{ 0 };
  for (const auto& [account, it] : aState.mTemplates) {
    revision = std::max(revision, it.mRevision);
  }
  return revision;
}

auto
TemplatesAfter(const ControlState& aState, Revision aAfter)
  -> std::vector<StoredTemplate>
{
  auto templates = std::vector<StoredTemplate>{};
  for (const auto& [account, it] : aState.mTemplates) {
    if (it.mRevision > aAfter) {
      templates.push_back(it);
    }
  }
  return templates;
}

auto
HistoryOf(const ControlState& aState, const AccountId& aAccount)
  -> std::vector<StoredTemplate>
{
  const auto it = aState.mHistory.find(aAccount);
  if (it == aState.mHistory.end()) {
    return {};
  }
  return { it->second.rbegin(), it->second.rend() };
}

auto
FetchWorkResult(const ControlState& aState, const AccountKey& aWork)
  -> CommandResult
{
  const auto it = aState.mWorks.find(aWork);
  if (it == aState.mWorks.end()) {
    return { CommandStatus::NotFound };
  }
  if (!it->second.mIsFinished) {
    return { CommandStatus::InProgress };
  }
  return { CommandStatus::Finished, 0, {}, aWork.mName, it->second.mResult };
}

} // namespace cuminslip
