#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "endpoints/types/endpointmessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Protocol of a prompt that is read across several engines: memory is
/// reserved on all of them or on none, then the parts are read one after the
/// other, and the last engine gives the answer. A pure state machine: events
/// and the time go in, actions come out. Not thread safe.
///
/// Two such prompts never wait for each other: engines are asked in the order
/// of their ids, one refusal is waited for only for a bounded time, and then
/// everything is given back before the next try.
namespace cuminslip::endpoints {

/// One engine of the plan; parts are read in the order of the plan.
struct PartPlan
{
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  std::string mAddress;
  /// Tokens to set aside: the part's own, and what the engine needs besides.
  std::int64_t mTokens = 0;

  auto operator==(const PartPlan&) const -> bool = default;
};

struct ReservationSettings
{
  /// Longest time of holding some engines while another one refuses.
  Millis mHoldAndWait{ 500 };
  /// Time between two questions to an engine that refused.
  Millis mRetryInterval{ 100 };
  /// Pause after everything was given back; doubles up to the maximum and is
  /// spread by the id.
  Millis mFirstPause{ 200 };
  Millis mMaxPause{ 5000 };

  auto operator==(const ReservationSettings&) const -> bool = default;
};

enum class ReservationPhase : std::uint8_t
{
  Reserving,
  /// Everything was given back; tries again after a pause.
  Pausing,
  Reading,
  /// All parts are read: the answer can be streamed.
  Ready,
  /// A member is gone: waits for Replan until the deadline.
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
  /// The reservation asked for last; each question has an id of its own.
  HoldingId mReservation;
  HoldingId mPart;
  TimePoint mNextRequestAt;
};

struct Reservation
{
  ReservationSettings mSettings;
  RequestId mRequest;
  /// Reservation and reading must be over by then.
  TimePoint mDeadline;
  ReservationPhase mPhase = ReservationPhase::Reserving;
  std::vector<ReservationMember> mMembers;
  TimePoint mWaitingSince;
  TimePoint mPauseUntil;
  Millis mPause{ 0 };
  std::int64_t mRequestsSent = 0;
  std::string mReason;
};

/// Ask for memory. Enter it in the ledger first.
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

/// Give a reservation or a read part back, by the ledger.
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
  /// No answer: it may have been granted.
  Lost
};

/// Begins. Precondition: aPlan is not empty and names no engine twice.
auto
StartReservation(RequestId aRequest,
                 const std::vector<PartPlan>& aPlan,
                 TimePoint aDeadline,
                 TimePoint aNow) -> Reservation;

/// Does what is due; to be called after every event and a few times a second.
auto
TickReservation(Reservation& aReservation, TimePoint aNow)
  -> ReservationActions;

/// Takes in the answer to ReserveMemory mId. Answers to earlier questions are
/// given back.
auto
NoteReservationResult(Reservation& aReservation,
                      const HoldingId& aId,
                      ReservationResult aResult,
                      TimePoint aNow) -> ReservationActions;

/// Takes in that ReadPart into aReservationId is done: the engine holds aPart.
auto
NotePartRead(Reservation& aReservation,
             const HoldingId& aReservationId,
             const HoldingId& aPart) -> void;

/// Takes in that an engine is gone, or that its part could not be read. What it
/// held is given back, and a new plan is needed.
auto
NoteMemberLost(Reservation& aReservation, const EndpointId& aEndpoint)
  -> ReservationActions;

/// Continues with another plan. Parts that were read stay if the plan begins
/// with them; the rest is given back. Precondition: the phase is NeedsPlan.
auto
Replan(Reservation& aReservation,
       const std::vector<PartPlan>& aPlan,
       TimePoint aNow) -> ReservationActions;

/// Ends it, however far it is: everything that is held is given back.
auto
EndReservation(Reservation& aReservation, std::string aReason)
  -> ReservationActions;

/// True when nothing more will be asked for.
auto
IsOver(const Reservation& aReservation) -> bool;

} // namespace cuminslip::endpoints
