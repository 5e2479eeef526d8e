#include "endpoints/reservation.h"

#include "base/digest.h"

#include <algorithm>

namespace cuminslip::endpoints {

namespace {

constexpr std::uint64_t kJitterSteps = 8;

/// Releases all memory that the member holds or may hold.
auto
FreeMember(ReservationMember& aMember, ReservationActions& aActions) -> void
{
  if (aMember.mPhase != MemberPhase::Free) {
    aActions.emplace_back(ReleaseMemory{ aMember.mPlan, aMember.mReservation });
  }
  const auto hasPart =
    !aMember.mPart.mValue.empty() && aMember.mPart != aMember.mReservation;
  if (hasPart) {
    aActions.emplace_back(ReleaseMemory{ aMember.mPlan, aMember.mPart });
  }
  aMember = { aMember.mPlan, MemberPhase::Free, {}, {}, {} };
}

auto
FreeAll(Reservation& aReservation, ReservationActions& aActions) -> void
{
  for (auto& member : aReservation.mMembers) {
    FreeMember(member, aActions);
  }
}

/// Releases everything and pauses, longer each time.
auto
BeginPause(Reservation& aReservation,
           TimePoint aNow,
           ReservationActions& aActions) -> void
{
  FreeAll(aReservation, aActions);
  const auto& settings = aReservation.mSettings;
  aReservation.mPause = std::clamp(
    2 * aReservation.mPause, settings.mFirstPause, settings.mMaxPause);
  const auto text =
    aReservation.mRequest.mValue + std::to_string(aReservation.mRequestsSent);
  const auto jitter = static_cast<std::int64_t>(Checksum(text) % kJitterSteps);
  aReservation.mPauseUntil =
    aNow + aReservation.mPause +
    aReservation.mPause * jitter / static_cast<std::int64_t>(kJitterSteps);
  aReservation.mPhase = ReservationPhase::Pausing;
}

/// The member with the lowest engine id that has no reservation yet; null if
/// all have one.
auto
NextToReserve(Reservation& aReservation) -> ReservationMember*
{
  auto* next = static_cast<ReservationMember*>(nullptr);
  for (auto& member : aReservation.mMembers) {
    const auto isOpen = member.mPhase == MemberPhase::Free ||
                        member.mPhase == MemberPhase::Requesting;
    const auto isFirst =
      next == nullptr || member.mPlan.mEndpoint < next->mPlan.mEndpoint;
    if (isOpen && isFirst) {
      next = &member;
    }
  }
  return next;
}

auto
ReserveNext(Reservation& aReservation,
            TimePoint aNow,
            ReservationActions& aActions) -> void
{
  auto* member = NextToReserve(aReservation);
  if (member == nullptr) {
    aReservation.mPhase = ReservationPhase::Reading;
    return;
  }
  if (member->mPhase == MemberPhase::Requesting ||
      aNow < member->mNextRequestAt) {
    return;
  }
  ++aReservation.mRequestsSent;
  member->mReservation = { aReservation.mRequest.mValue + ".r" +
                           std::to_string(aReservation.mRequestsSent) };
  member->mPhase = MemberPhase::Requesting;
  aActions.emplace_back(ReserveMemory{ member->mPlan, member->mReservation });
}

auto
ImportsBefore(const Reservation& aReservation, std::size_t aPart)
  -> std::vector<PartImport>
{
  auto imports = std::vector<PartImport>{};
  for (std::size_t i = 0; i < aPart; ++i) {
    const auto& member = aReservation.mMembers[i];
    imports.push_back({ member.mPlan.mAddress, member.mPart });
  }
  return imports;
}

auto
MakeStreamAnswer(const Reservation& aReservation) -> StreamAnswer
{
  const auto& members = aReservation.mMembers;
  auto action = StreamAnswer{ members.back().mPlan, {} };
  for (std::size_t i = 0; i + 1 < members.size(); ++i) {
    action.mKvParts.push_back({ members[i].mPlan.mAddress,
                                members[i].mPart,
                                members[i].mPlan.mTokens });
  }
  return action;
}

/// Reads the first unread part. The last engine reads its own part as the
/// prompt of the stream, so its reservation is released for the stream.
auto
ReadNext(Reservation& aReservation, ReservationActions& aActions) -> void
{
  auto& members = aReservation.mMembers;
  for (std::size_t i = 0; i + 1 < members.size(); ++i) {
    auto& member = members[i];
    if (member.mPhase == MemberPhase::Reading) {
      return;
    }
    if (member.mPhase == MemberPhase::Reserved) {
      member.mPhase = MemberPhase::Reading;
      aActions.emplace_back(ReadPart{ member.mPlan,
                                      member.mReservation,
                                      static_cast<std::int64_t>(i),
                                      ImportsBefore(aReservation, i) });
      return;
    }
  }
  FreeMember(members.back(), aActions);
  aActions.emplace_back(MakeStreamAnswer(aReservation));
  aReservation.mPhase = ReservationPhase::Ready;
}

auto
MembersOf(const std::vector<PartPlan>& aPlan) -> std::vector<ReservationMember>
{
  auto members = std::vector<ReservationMember>{};
  for (const auto& part : aPlan) {
    members.push_back({ part, MemberPhase::Free, {}, {}, {} });
  }
  return members;
}

/// Schedules another request after a refusal or a lost response. Releases
/// everything and pauses once mHoldAndWait has passed, or at once if an engine
/// with a higher id is held, since waiting would then break the order that
/// prevents deadlocks.
auto
TakeRefusal(Reservation& aReservation,
            ReservationMember& aMember,
            TimePoint aNow,
            ReservationActions& aActions) -> void
{
  aMember.mPhase = MemberPhase::Free;
  aMember.mReservation = {};
  aMember.mNextRequestAt = aNow + aReservation.mSettings.mRetryInterval;
  if (aReservation.mWaitingSince == TimePoint{}) {
    aReservation.mWaitingSince = aNow;
  }
  auto holdsLater = false;
  for (const auto& member : aReservation.mMembers) {
    holdsLater =
      holdsLater || (member.mPhase != MemberPhase::Free &&
                     member.mPlan.mEndpoint > aMember.mPlan.mEndpoint);
  }
  const auto hasWaited =
    aNow - aReservation.mWaitingSince >= aReservation.mSettings.mHoldAndWait;
  if (holdsLater || hasWaited) {
    BeginPause(aReservation, aNow, aActions);
  }
}

auto
FindByReservation(Reservation& aReservation, const HoldingId& aId)
  -> ReservationMember*
{
  for (auto& member : aReservation.mMembers) {
    if (member.mReservation == aId) {
      return &member;
    }
  }
  return nullptr;
}

} // namespace

auto
StartReservation(RequestId aRequest,
                 const std::vector<PartPlan>& aPlan,
                 TimePoint aDeadline,
                 TimePoint aNow) -> Reservation
{
  auto reservation = Reservation{};
  reservation.mRequest = std::move(aRequest);
  reservation.mDeadline = aDeadline;
  reservation.mMembers = MembersOf(aPlan);
  reservation.mPauseUntil = aNow;
  return reservation;
}

auto
TickReservation(Reservation& aReservation, TimePoint aNow) -> ReservationActions
{
  auto actions = ReservationActions{};
  if (IsOver(aReservation) || aReservation.mPhase == ReservationPhase::Ready) {
    return actions;
  }
  if (aNow >= aReservation.mDeadline) {
    return EndReservation(aReservation, "deadline passed");
  }
  if (aReservation.mPhase == ReservationPhase::Pausing &&
      aNow >= aReservation.mPauseUntil) {
    aReservation.mPhase = ReservationPhase::Reserving;
    aReservation.mWaitingSince = {};
  }
  if (aReservation.mPhase == ReservationPhase::Reserving) {
    ReserveNext(aReservation, aNow, actions);
  }
  if (aReservation.mPhase == ReservationPhase::Reading) {
    ReadNext(aReservation, actions);
  }
  return actions;
}

auto
NoteReservationResult(Reservation& aReservation,
                      const HoldingId& aId,
                      ReservationResult aResult,
                      TimePoint aNow) -> ReservationActions
{
  auto actions = ReservationActions{};
  auto* member = FindByReservation(aReservation, aId);
  // NOTE: memory granted to an abandoned request was released when the request
  // was abandoned.
  if (member == nullptr || member->mPhase != MemberPhase::Requesting) {
    return actions;
  }
  if (aResult == ReservationResult::Granted) {
    member->mPhase = MemberPhase::Reserved;
    aReservation.mWaitingSince = {};
    return actions;
  }
  if (aResult == ReservationResult::Lost) {
    actions.emplace_back(ReleaseMemory{ member->mPlan, aId });
  }
  TakeRefusal(aReservation, *member, aNow, actions);
  return actions;
}

auto
NotePartRead(Reservation& aReservation,
             const HoldingId& aReservationId,
             const HoldingId& aPart) -> void
{
  auto* member = FindByReservation(aReservation, aReservationId);
  if (member != nullptr && member->mPhase == MemberPhase::Reading) {
    member->mPhase = MemberPhase::Read;
    member->mPart = aPart;
  }
}

auto
NoteMemberLost(Reservation& aReservation, const EndpointId& aEndpoint)
  -> ReservationActions
{
  auto actions = ReservationActions{};
  const auto member = std::find_if(
    aReservation.mMembers.begin(),
    aReservation.mMembers.end(),
    [&](const auto& aIt) { return aIt.mPlan.mEndpoint == aEndpoint; });
  if (IsOver(aReservation) || member == aReservation.mMembers.end()) {
    return actions;
  }
  // NOTE: later parts depend on the lost one.
  for (auto it = member; it != aReservation.mMembers.end(); ++it) {
    FreeMember(*it, actions);
  }
  aReservation.mPhase = ReservationPhase::NeedsPlan;
  return actions;
}

auto
Replan(Reservation& aReservation,
       const std::vector<PartPlan>& aPlan,
       TimePoint aNow) -> ReservationActions
{
  auto actions = ReservationActions{};
  auto members = MembersOf(aPlan);
  auto isSame = true;
  for (std::size_t i = 0; i < aReservation.mMembers.size(); ++i) {
    auto& old = aReservation.mMembers[i];
    isSame = isSame && i < members.size() && members[i].mPlan == old.mPlan;
    if (isSame && old.mPhase == MemberPhase::Read) {
      members[i] = old;
      continue;
    }
    isSame = false;
    FreeMember(old, actions);
  }
  aReservation.mMembers = std::move(members);
  aReservation.mPhase = ReservationPhase::Reserving;
  aReservation.mWaitingSince = {};
  aReservation.mPauseUntil = aNow;
  return actions;
}

auto
EndReservation(Reservation& aReservation, std::string aReason)
  -> ReservationActions
{
  auto actions = ReservationActions{};
  if (IsOver(aReservation)) {
    return actions;
  }
  const auto wasReady = aReservation.mPhase == ReservationPhase::Ready;
  FreeAll(aReservation, actions);
  aReservation.mReason = std::move(aReason);
  aReservation.mPhase =
    wasReady ? ReservationPhase::Finished : ReservationPhase::Failed;
  return actions;
}

auto
IsOver(const Reservation& aReservation) -> bool
{
  return aReservation.mPhase == ReservationPhase::Failed ||
         aReservation.mPhase == ReservationPhase::Finished;
}

} // namespace cuminslip::endpoints
