#pragma once

#include "endpoints/types/announcement.h"
#include "endpoints/types/endpointmessages.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/// Ledger of the memory that this instance holds on endpoints: its leases,
/// renewals and releases. Does no I/O. Not thread safe.
namespace cuminslip::endpoints {

struct LedgerSettings
{
  Owner mOwner;
  Millis mLease{ 15000 };
  /// A lease is renewed when its remaining time falls to this.
  Millis mRenewBefore{ 10000 };
  /// Delay before an unanswered release is retried; doubles up to mMaxRetry.
  Millis mFirstRetry{ 200 };
  Millis mMaxRetry{ 5000 };
  std::size_t mMaxRenewalsPerCall = 256;

  auto operator==(const LedgerSettings&) const -> bool = default;
};

/// Why a holding is released.
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

/// Memory held on one incarnation of an endpoint. A stream's holding has the id
/// of its attempt.
struct Holding
{
  HoldingId mId;
  HoldingKind mKind = HoldingKind::Stream;
  EndpointId mEndpoint;
  Incarnation mEndpointIncarnation = 0;
  std::string mAddress;
  std::int64_t mTokens = 0;
  /// Time at which it is released automatically.
  TimePoint mDeadline;

  auto operator==(const Holding&) const -> bool = default;
};

/// A holding with its lease and release state.
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

/// Call that frees one holding: CancelPath for a stream, ReleasePath otherwise.
struct ReleaseAction
{
  HoldingId mId;
  HoldingKind mKind = HoldingKind::Stream;
  EndpointId mEndpoint;
  std::string mAddress;
  ReleaseReason mReason = ReleaseReason::None;

  auto operator==(const ReleaseAction&) const -> bool = default;
};

/// Call that renews leases on one endpoint.
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

/// Request path of the call that frees the holding.
auto
PathOf(const ReleaseAction& aAction) -> std::string;

/// Adds a holding. Call it before sending the request, so that the holding is
/// released even if the response is lost. Precondition: the id is new.
auto
AddHolding(Ledger& aLedger, Holding aHolding, TimePoint aNow) -> void;

/// Starts the release of a holding; the next tick sends the call. Ignored for
/// holdings that are not in the ledger or are being released.
auto
ReleaseHolding(Ledger& aLedger,
               const HoldingId& aId,
               ReleaseReason aReason,
               TimePoint aNow) -> void;

/// Removes a holding that the endpoint has already freed: a stream whose end
/// event arrived, or a request that was refused before it ran.
auto
DropHolding(Ledger& aLedger, const HoldingId& aId) -> void;

/// Handles the response to a release. An unconfirmed release is retried.
auto
NoteReleaseAnswer(Ledger& aLedger, const HoldingId& aId, bool aIsConfirmed)
  -> void;

/// Extends the leases of aIds after a renewal call that was sent at aSentAt.
auto
NoteRenewed(Ledger& aLedger,
            const std::vector<HoldingId>& aIds,
            TimePoint aSentAt) -> void;

/// Removes the holdings of incarnations before aIncarnation, whose memory is
/// free, and returns their number. For an endpoint that was removed from the
/// registry, aIncarnation is the highest value.
auto
NoteEndpointIncarnation(Ledger& aLedger,
                        const EndpointId& aEndpoint,
                        Incarnation aIncarnation) -> std::size_t;

/// Returns the calls that are due at aNow. Call it a few times a second.
auto
TickLedger(Ledger& aLedger, TimePoint aNow) -> LedgerActions;

/// Tokens held on aEndpoint, including those being released.
auto
TokensHeld(const Ledger& aLedger, const EndpointId& aEndpoint) -> std::int64_t;

/// Name of a reason for the log.
auto
NameOf(ReleaseReason aReason) -> std::string_view;

/// Writes one log line for a release.
auto
LogRelease(const ReleaseAction& aAction) -> void;

} // namespace cuminslip::endpoints
