#include "endpoints/holdings.h"

#include "endpoints/internal/jsonreader.h"
#include "endpoints/internal/names.h"
#include "endpoints/protocol.h"
#include "endpoints/types/endpointsevents.h"

#include <algorithm>

namespace cuminslip::endpoints {

namespace {

constexpr NamedValue<ReleaseReason> kReleaseReasonNames[] = {
  { "none", ReleaseReason::None },
  { "finished", ReleaseReason::Finished },
  { "failed", ReleaseReason::Failed },
  { "deadline_passed", ReleaseReason::DeadlinePassed },
  { "caller_gone", ReleaseReason::CallerGone },
  { "answer_lost", ReleaseReason::AnswerLost },
  { "replanned", ReleaseReason::Replanned },
  { "owner_gone", ReleaseReason::OwnerGone },
  { "lease_expired", ReleaseReason::LeaseExpired },
  { "not_in_ledger", ReleaseReason::NotInLedger },
};

auto
IsReleasing(const LedgerEntry& aEntry) -> bool
{
  return aEntry.mReleaseReason != ReleaseReason::None;
}

auto
BeginRelease(const LedgerSettings& aSettings,
             LedgerEntry& aEntry,
             ReleaseReason aReason,
             TimePoint aNow) -> void
{
  aEntry.mReleaseReason = aReason;
  aEntry.mRetryDelay = aSettings.mFirstRetry;
  aEntry.mNextTry = aNow;
}

auto
SendRelease(const LedgerSettings& aSettings,
            LedgerEntry& aEntry,
            TimePoint aNow,
            LedgerActions& aActions) -> void
{
  const auto& holding = aEntry.mHolding;
  aActions.mReleases.push_back({ holding.mId,
                                 holding.mKind,
                                 holding.mEndpoint,
                                 holding.mAddress,
                                 aEntry.mReleaseReason });
  ++aEntry.mTries;
  aEntry.mNextTry = aNow + aEntry.mRetryDelay;
  aEntry.mRetryDelay = std::min(2 * aEntry.mRetryDelay, aSettings.mMaxRetry);
}

/// Adds a renewal to the endpoint's current call, and completes the call once
/// it has mMaxRenewalsPerCall ids.
auto
AddRenewal(const LedgerSettings& aSettings,
           const Holding& aHolding,
           std::map<EndpointId, RenewAction>& aByEndpoint,
           LedgerActions& aActions) -> void
{
  auto& action = aByEndpoint[aHolding.mEndpoint];
  action.mEndpoint = aHolding.mEndpoint;
  action.mAddress = aHolding.mAddress;
  action.mRequest.mOwner = aSettings.mOwner;
  action.mRequest.mLease = aSettings.mLease;
  action.mRequest.mIds.push_back(aHolding.mId);
  if (action.mRequest.mIds.size() >= aSettings.mMaxRenewalsPerCall) {
    aActions.mRenewals.push_back(std::move(action));
    aByEndpoint.erase(aHolding.mEndpoint);
  }
}

/// True if the lease is to be renewed. An unanswered renewal is retried after
/// half of the lease's remaining time, but not within 500 ms; see TickLedger.
auto
IsRenewalDue(const LedgerSettings& aSettings,
             const LedgerEntry& aEntry,
             TimePoint aNow) -> bool
{
  return aNow >= aEntry.mNextTry &&
         aNow >= aEntry.mLeaseUntil - aSettings.mRenewBefore;
}

} // namespace

auto
PathOf(const ReleaseAction& aAction) -> std::string
{
  return aAction.mKind == HoldingKind::Stream
           ? CancelPath({ aAction.mId.mValue })
           : ReleasePath(aAction.mId);
}

auto
AddHolding(Ledger& aLedger, Holding aHolding, TimePoint aNow) -> void
{
  auto entry = LedgerEntry{};
  entry.mLeaseUntil = aNow + aLedger.mSettings.mLease;
  const auto id = aHolding.mId;
  entry.mHolding = std::move(aHolding);
  aLedger.mEntries.emplace(id, std::move(entry));
}

auto
ReleaseHolding(Ledger& aLedger,
               const HoldingId& aId,
               ReleaseReason aReason,
               TimePoint aNow) -> void
{
  const auto found = aLedger.mEntries.find(aId);
  if (found != aLedger.mEntries.end() && !IsReleasing(found->second)) {
    BeginRelease(aLedger.mSettings, found->second, aReason, aNow);
  }
}

auto
DropHolding(Ledger& aLedger, const HoldingId& aId) -> void
{
  aLedger.mEntries.erase(aId);
}

auto
NoteReleaseAnswer(Ledger& aLedger, const HoldingId& aId, bool aIsConfirmed)
  -> void
{
  const auto found = aLedger.mEntries.find(aId);
  const auto isOver = aIsConfirmed && found != aLedger.mEntries.end() &&
                      IsReleasing(found->second);
  if (isOver) {
    aLedger.mEntries.erase(found);
  }
}

auto
NoteRenewed(Ledger& aLedger,
            const std::vector<HoldingId>& aIds,
            TimePoint aSentAt) -> void
{
  for (const auto& id : aIds) {
    const auto found = aLedger.mEntries.find(id);
    if (found != aLedger.mEntries.end()) {
      auto& until = found->second.mLeaseUntil;
      until = std::max(until, aSentAt + aLedger.mSettings.mLease);
    }
  }
}

auto
NoteEndpointIncarnation(Ledger& aLedger,
                        const EndpointId& aEndpoint,
                        Incarnation aIncarnation) -> std::size_t
{
  return std::erase_if(aLedger.mEntries, [&](const auto& aItem) {
    const auto& holding = aItem.second.mHolding;
    return holding.mEndpoint == aEndpoint &&
           holding.mEndpointIncarnation < aIncarnation;
  });
}

auto
TickLedger(Ledger& aLedger, TimePoint aNow) -> LedgerActions
{
  auto actions = LedgerActions{};
  auto renewals = std::map<EndpointId, RenewAction>{};
  const auto& settings = aLedger.mSettings;
  for (auto& [id, entry] : aLedger.mEntries) {
    if (!IsReleasing(entry) && aNow >= entry.mHolding.mDeadline) {
      BeginRelease(settings, entry, ReleaseReason::DeadlinePassed, aNow);
    }
    if (IsReleasing(entry)) {
      if (aNow >= entry.mNextTry) {
        SendRelease(settings, entry, aNow, actions);
      }
      continue;
    }
    if (IsRenewalDue(settings, entry, aNow)) {
      const auto left = std::max<Micros>(entry.mLeaseUntil - aNow, Micros(0));
      entry.mNextTry = aNow + std::max<Micros>(left / 2, Millis(500));
      AddRenewal(settings, entry.mHolding, renewals, actions);
    }
  }
  for (auto& [endpoint, action] : renewals) {
    actions.mRenewals.push_back(std::move(action));
  }
  return actions;
}

auto
TokensHeld(const Ledger& aLedger, const EndpointId& aEndpoint) -> std::int64_t
{
  auto tokens = std::int64_t{ 0 };
  for (const auto& [id, entry] : aLedger.mEntries) {
    if (entry.mHolding.mEndpoint == aEndpoint) {
      tokens += entry.mHolding.mTokens;
    }
  }
  return tokens;
}

auto
NameOf(ReleaseReason aReason) -> std::string_view
{
  return FindName(kReleaseReasonNames, aReason);
}

auto
LogRelease(const ReleaseAction& aAction) -> void
{
  const auto isOrphan = aAction.mReason == ReleaseReason::OwnerGone ||
                        aAction.mReason == ReleaseReason::LeaseExpired ||
                        aAction.mReason == ReleaseReason::NotInLedger;
  LogEvent(isOrphan ? kOrphanReleasedEvent : kHoldingReleasedEvent,
           { { "holding", aAction.mId.mValue },
             { "kind", NameOf(aAction.mKind) },
             { "endpoint", aAction.mEndpoint.mValue },
             { "reason", NameOf(aAction.mReason) } });
}

} // namespace cuminslip::endpoints
