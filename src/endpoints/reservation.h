#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "endpoints/types/endpointmessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Protocol for a prompt that is read across several engines: memory is
/// reserved on all of them or on none, then the parts are read one after the
/// other, and the last engine streams the answer. A state machine without I/O:
/// takes events and the time, and returns actions. Not thread safe.
///
/// Two such prompts cannot deadlock: memory is requested in the order of the
/// engine ids, and a refusal is retried only for a bounded time, after which
/// all memory is released before the next attempt.
namespace cuminslip::endpoints {

/// One engine of the plan; parts are read in the order of the plan.
struct PartPlan
{
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  std::string mAddress;
  /// Tokens to reserve: the part's own and the engine's overhead.
  std::int64_t mTokens = 0;

  auto operator==(const PartPlan&) const -> bool = default;
};

struct ReservationSettings
{
  /// Maximum time for which memory is held on some engines while another one
  /// refuses.
  Millis mHoldAndWait{ 500 };
  /// Interval between requests to an engine that refused.
  Millis mRetryInterval{ 100 };
  /// Pause after all memory was released. Doubles up to mMaxPause. A jitter of
  /// up to 7/8 of the pause is added, so it may exceed mMaxPause; the jitter is
  /// derived from the request id and the number of requests sent.
  Millis mFirstPause{ 200 };
  Millis mMaxPause{ 5000 };

  auto operator==(const ReservationSettings&) const -> bool = default;
};

enum class ReservationPhase : std::uint8_t
{
  Reserving,
  /// All memory was released; retries after a pause.
  Pausing,
  Reading,
  /// All parts but the last are read: the answer can be streamed.
  Ready,
  /// A member was lost: waits for Replan until the deadline.
  NeedsPlan,
  Failed,
  Finished
};

enum class MemberPhase : std::uint8_t
{
  Free,
  Requesting,
  Reserved,
  Reading,
  Read
};

/// An engine's place in the reservation.
struct ReservationMember
{
  PartPlan mPlan;
  MemberPhase mPhase = MemberPhase::Free;
  /// The reservation requested last; each request has its own id.
  HoldingId mReservation;
  HoldingId mPart;
  TimePoint mNextRequestAt;
};

struct Reservation
{
  ReservationSettings mSettings;
  RequestId mRequest;
  /// Reservation and reading must finish by then.
  TimePoint mDeadline;
  ReservationPhase mPhase = ReservationPhase::Reserving;
  std::vector<ReservationMember> mMembers;
  TimePoint mWaitingSince;
  TimePoint mPauseUntil;
  Millis mPause{ 0 };
  std::int64_t mRequestsSent = 0;
  std::string mReason;
};

/// Request a reservation. Add it to the ledger first.
struct ReserveMemory
{
  PartPlan mPlan;
  HoldingId mId;

  auto operator==(const ReserveMemory&) const -> bool = default;
};

/// Read part mPart of the plan into mReservation, using mImports.
struct ReadPart
{
  PartPlan mPlan;
  HoldingId mReservation;
  std::int64_t mPart = 0;
  std::vector<PartImport> mImports;

  auto operator==(const ReadPart&) const -> bool = default;
};

/// Release a reservation or a read part through the ledger.
struct ReleaseMemory
{
  PartPlan mPlan;
  HoldingId mId;

  auto operator==(const ReleaseMemory&) const -> bool = default;
};

/// Stream the answer on the last engine; mKvParts are the parts before it.
struct StreamAnswer
{
  PartPlan mPlan;
  std::vector<KvPart> mKvParts;

  auto operator==(const StreamAnswer&) const -> bool = default;
};

using ReservationAction =
  std::variant<ReserveMemory, ReadPart, ReleaseMemory, StreamAnswer>;
using ReservationActions = std::vector<ReservationAction>;

enum class ReservationResult : std::uint8_t
{
  Granted,
  Refused,
  /// No response: it may have been granted.
  Lost
};

/// Starts a reservation. Precondition: aPlan is not empty and has no duplicate
/// engines.
auto
StartReservation(RequestId aRequest,
                 const std::vector<PartPlan>& aPlan,
                 TimePoint aDeadline,
                 TimePoint aNow) -> Reservation;

/// Performs the steps that are due. Call it after every event and a few times a
/// second.
auto
TickReservation(Reservation& aReservation, TimePoint aNow)
  -> ReservationActions;

/// Handles the response to the ReserveMemory action whose mId is aId. Responses
/// to abandoned requests are ignored: their memory was released at that point.
auto
NoteReservationResult(Reservation& aReservation,
                      const HoldingId& aId,
                      ReservationResult aResult,
                      TimePoint aNow) -> ReservationActions;

/// Records that ReadPart into aReservationId is done and the engine holds
/// aPart.
auto
NotePartRead(Reservation& aReservation,
             const HoldingId& aReservationId,
             const HoldingId& aPart) -> void;

/// Handles the loss of an engine, or a failure to read its part. Releases its
/// memory and that of the members after it; a new plan is needed.
auto
NoteMemberLost(Reservation& aReservation, const EndpointId& aEndpoint)
  -> ReservationActions;

/// Continues with another plan. Keeps the read parts that the new plan starts
/// with and releases the rest. Precondition: the phase is NeedsPlan.
auto
Replan(Reservation& aReservation,
       const std::vector<PartPlan>& aPlan,
       TimePoint aNow) -> ReservationActions;

/// Ends the reservation in any phase and releases all its memory. It becomes
/// Finished if it was Ready, and Failed otherwise.
auto
EndReservation(Reservation& aReservation, std::string aReason)
  -> ReservationActions;

/// True if the reservation has failed or finished.
auto
IsOver(const Reservation& aReservation) -> bool;

} // namespace cuminslip::endpoints
