#pragma once

#include "endpoints/types/announcement.h"
#include "endpoints/types/endpointmessages.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/// The memory that this instance holds on endpoints: what is held, until when,
/// and how it is given back. A controller without I/O; not thread safe.
namespace cuminslip::endpoints {

struct LedgerSettings
{
  Owner mOwner;
  Millis mLease{ 15000 };
  /// Leases are renewed when this much of them is left.
  Millis mRenewBefore{ 10000 };
  /// Time until an unanswered release is sent again; doubles up to the maximum.
  Millis mFirstRetry{ 200 };
  Millis mMaxRetry{ 5000 };
  std::size_t mMaxRenewalsPerCall = 256;

  auto operator==(const LedgerSettings&) const -> bool = default;
};

/// Why a holding is given back.
enum class ReleaseReason : std::uint8_t
{
  None,
  Finished,
  Failed,
  DeadlinePassed,
  CallerGone,
  AnswerLost,
  Replanned,
  OwnerGone,
  LeaseExpired,
  NotInLedger
};

/// Something held on one incarnation of an endpoint. For a stream the id is
/// that of its attempt.
struct Holding
{
  HoldingId mId;
  HoldingKind mKind = HoldingKind::Stream;
  EndpointId mEndpoint;
  Incarnation mEndpointIncarnation = 0;
  std::string mAddress;
  std::int64_t mTokens = 0;
  /// When it is given back even if nobody asks.
  TimePoint mDeadline;

  auto operator==(const Holding&) const -> bool = default;
};

/// A holding with the state of its lease and its release.
struct LedgerEntry
{
  Holding mHolding;
  TimePoint mLeaseUntil;
  ReleaseReason mReleaseReason = ReleaseReason::None;
  Millis mRetryDelay{ 0 };
  TimePoint mNextTry;
  std::int64_t mTries = 0;
};

struct Ledger
{
  LedgerSettings mSettings;
  std::map<HoldingId, LedgerEntry> mEntries;
};

/// Call to free one holding: CancelPath for a stream, else ReleasePath.
struct ReleaseAction
{
  HoldingId mId;
  HoldingKind mKind = HoldingKind::Stream;
  EndpointId mEndpoint;
  std::string mAddress;
  ReleaseReason mReason = ReleaseReason::None;

  auto operator==(const ReleaseAction&) const -> bool = default;
};

/// Call to renew leases at one endpoint.
struct RenewAction
{
  EndpointId mEndpoint;
  std::string mAddress;
  RenewRequest mRequest;

  auto operator==(const RenewAction&) const -> bool = default;
};

struct LedgerActions
{
  std::vector<ReleaseAction> mReleases;
  std::vector<RenewAction> mRenewals;

  auto operator==(const LedgerActions&) const -> bool = default;
};

/// Path of the call that frees the holding.
auto
PathOf(const ReleaseAction& aAction) -> std::string;

/// Enters a holding. To be called before the request for it is sent, so that
/// one whose answer is lost is known as well. Precondition: the id is new.
auto
AddHolding(Ledger& aLedger, Holding aHolding, TimePoint aNow) -> void;

/// Begins to give a holding back; the next tick sends the call. Ignored for
/// holdings not in the ledger or already on their way back.
auto
ReleaseHolding(Ledger& aLedger,
               const HoldingId& aId,
               ReleaseReason aReason,
               TimePoint aNow) -> void;

/// Forgets a holding that the endpoint has freed itself: a stream whose end
/// mark came, or a request that was refused before it ran.
auto
DropHolding(Ledger& aLedger, const HoldingId& aId) -> void;

/// Takes in the answer to a release. Not confirmed: it is sent again.
auto
NoteReleaseAnswer(Ledger& aLedger, const HoldingId& aId, bool aIsConfirmed)
  -> void;

/// Takes in that the leases of aIds were renewed by a call sent at aSentAt.
auto
NoteRenewed(Ledger& aLedger,
            const std::vector<HoldingId>& aIds,
            TimePoint aSentAt) -> void;

/// The endpoint now runs aIncarnation, or is forgotten (aIncarnation is then
/// the highest number): what earlier incarnations held is free.
auto
NoteEndpointIncarnation(Ledger& aLedger,
                        const EndpointId& aEndpoint,
                        Incarnation aIncarnation) -> std::size_t;

/// Calls that are due at aNow; to be called a few times a second.
auto
TickLedger(Ledger& aLedger, TimePoint aNow) -> LedgerActions;

/// Tokens held on aEndpoint, those on their way back included.
auto
TokensHeld(const Ledger& aLedger, const EndpointId& aEndpoint) -> std::int64_t;

/// Name of a reason for the log.
auto
NameOf(ReleaseReason aReason) -> std::string_view;

/// Writes one log line for a release.
auto
LogRelease(const ReleaseAction& aAction) -> void;

} // namespace cuminslip::endpoints
