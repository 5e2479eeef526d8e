#include "base/digest.h"
#include "control/internal/applyparts.h"

#include <algorithm>

namespace cuminslip {

namespace {

auto
PublishFingerprint(const PublishCommand& aCommand) -> std::uint64_t
{
  return Checksum(aCommand.mDocument, aCommand.mExpectedRevision);
}

/// The document of an earlier revision; empty once it left the history.
auto
DocumentAt(const ControlState& aState,
           const AccountId& aAccount,
           Revision aRevision) -> std::string
{
  const auto history = aState.mHistory.find(aAccount);
  if (history == aState.mHistory.end()) {
    return {};
  }
  const auto it = std::find_if(
    history->second.begin(), history->second.end(), [&](const auto& aTemplate) {
      return aTemplate.mRevision == aRevision;
    });
  return it == history->second.end() ? std::string{} : it->mDocument;
}

auto
RecordedAnswer(const ControlState& aState,
               const PublishCommand& aCommand,
               const PublishRecord& aRecord) -> CommandResult
{
  if (aRecord.mFingerprint != PublishFingerprint(aCommand)) {
    return { CommandStatus::FingerprintMismatch };
  }
  auto result = CommandResult{ aRecord.mStatus, aRecord.mRevision };
  if (aRecord.mStatus == CommandStatus::RevisionConflict) {
    result.mBytes = DocumentAt(aState, aCommand.mAccount, aRecord.mRevision);
  }
  return result;
}

auto
StorePublishRecord(ControlState& aState,
                   const ControlLimits& aBounds,
                   const PublishCommand& aCommand,
                   const CommandResult& aResult) -> void
{
  const auto key = AccountKey{ aCommand.mAccount, aCommand.mRequest.mValue };
  aState.mPublishes[key] = { PublishFingerprint(aCommand),
                             aResult.mStatus,
                             aResult.mRevision,
                             aState.mClock };
  aState.mPublishOrder.insert({ aState.mClock, key });
  while (aState.mPublishOrder.size() > aBounds.mMaxPublishRecords) {
    aState.mPublishes.erase(aState.mPublishOrder.begin()->mKey);
    aState.mPublishOrder.erase(aState.mPublishOrder.begin());
  }
}

auto
StorePublishedTemplate(ControlState& aState,
                       const ControlLimits& aBounds,
                       StoredTemplate aTemplate) -> void
{
  auto& history = aState.mHistory[aTemplate.mAccount];
  history.push_back(aTemplate);
  while (history.size() > aBounds.mHistoryPerAccount) {
    history.pop_front();
  }
  const auto account = aTemplate.mAccount;
  aState.mTemplates[account] = std::move(aTemplate);
}

} // namespace

auto
AreNamesValid(const ControlLimits& aBounds,
              std::initializer_list<std::string_view> aNames) -> bool
{
  return std::all_of(aNames.begin(), aNames.end(), [&](auto aName) {
    return !aName.empty() && aName.size() <= aBounds.mMaxNameBytes;
  });
}

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const PublishCommand& aCommand) -> CommandResult
{
  if (!AreNamesValid(aBounds,
                     { aCommand.mAccount.mValue, aCommand.mRequest.mValue }) ||
      aCommand.mAccount == kRoutingAccount ||
      aCommand.mDocument.size() > aBounds.mMaxDocumentBytes) {
    return { CommandStatus::Invalid };
  }
  const auto record = aState.mPublishes.find(
    AccountKey{ aCommand.mAccount, aCommand.mRequest.mValue });
  if (record != aState.mPublishes.end()) {
    return RecordedAnswer(aState, aCommand, record->second);
  }
  const auto it = aState.mTemplates.find(aCommand.mAccount);
  const auto isNew = it == aState.mTemplates.end();
  const auto present = isNew ? Revision{ 0 } : it->second.mRevision;
  if (present != aCommand.mExpectedRevision) {
    auto result =
      CommandResult{ CommandStatus::RevisionConflict, present, {}, {}, {} };
    result.mBytes = isNew ? std::string{} : it->second.mDocument;
    StorePublishRecord(aState, aBounds, aCommand, result);
    return result;
  }
  if (isNew && aState.mTemplates.size() >= aBounds.mMaxAccounts) {
    return { CommandStatus::Full };
  }
  StorePublishedTemplate(
    aState, aBounds, { aCommand.mAccount, aIndex, aCommand.mDocument });
  auto result = CommandResult{ CommandStatus::Accepted, aIndex };
  StorePublishRecord(aState, aBounds, aCommand, result);
  return result;
}

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const PublishRoutingCommand& aCommand) -> CommandResult
{
  if (aCommand.mVersion == 0 ||
      aCommand.mDocument.size() > aBounds.mMaxRoutingBytes) {
    return { CommandStatus::Invalid };
  }
  auto& present = aState.mTemplates[kRoutingAccount];
  if (aCommand.mVersion > present.mVersion) {
    present = {
      kRoutingAccount, aIndex, aCommand.mDocument, aCommand.mVersion
    };
  }
  return { CommandStatus::Accepted, present.mRevision };
}

auto
ApplyKind(ControlState& aState,
          const ControlLimits& aBounds,
          Revision aIndex,
          const LeaseCommand& aCommand) -> CommandResult
{
  if (!AreNamesValid(aBounds, { aCommand.mName, aCommand.mHolder })) {
    return { CommandStatus::Invalid };
  }
  if (!aState.mLeases.contains(aCommand.mName) &&
      aState.mLeases.size() >= aBounds.mMaxLeases) {
    return { CommandStatus::Full };
  }
  auto& lease = aState.mLeases[aCommand.mName];
  const auto isRunning = aState.mClock < lease.mExpiresAt;
  if (isRunning && lease.mHolder != aCommand.mHolder) {
    return { CommandStatus::HeldByOther, lease.mFencing, lease.mHolder };
  }
  if (!isRunning) {
    lease.mHolder = aCommand.mHolder;
    lease.mFencing = aIndex;
  }
  lease.mExpiresAt = aState.mClock + aCommand.mDuration;
  return { CommandStatus::Accepted, lease.mFencing, lease.mHolder };
}

} // namespace cuminslip
