#pragma once

#include "policy/enginelanes.h"

#include <cstdint>
#include <span>

/// Decides what happens to a short prompt that no engine can answer within its
/// target. Answers a load of short prompts above what the engines' slots serve:
/// sent in the order of arrival, each would wait behind the others and nearly
/// all would be late. A prompt that is late anyway gives way to those that can
/// still be in time, and takes a slot only when others are left free. Before
/// its caller gives up it is refused, so that the caller returns later. Pure
/// functions; thread safe.
namespace cuminslip {

struct DeferralRules
{
  /// Fraction of an engine's slots that late prompts leave free, at least one
  /// slot.
  double mReservedShare = 0.1;
  /// Instances announce that they take one of this many last free slots of an
  /// engine before they send a prompt there.
  std::int64_t mScarceSlots = 2;
  /// A caller leaves a stream that brings nothing for the longest of these: a
  /// fixed time, and multiples of its answer target and of its pause target.
  Millis mMinPatience{ 2000 };
  int mPatienceInTargets = 4;
  int mPatienceInPauses = 8;
  /// Margin of predictions: a prompt is refused this long before its caller
  /// would leave.
  Millis mMargin{ 200 };
  /// A refused caller is asked to return after this fraction of the time that
  /// it has left, at least and at most. Callers keep to a third at most.
  double mMinReturnShare = 0.15;
  double mMaxReturnShare = 0.3;
  /// A prompt with less than this fraction of its route's timeout left has been
  /// refused before, or was sent late.
  double mReturnedShare = 0.95;

  auto operator==(const DeferralRules&) const -> bool = default;
};

/// A short prompt that would be late on every engine.
struct LatePrompt
{
  Millis mAnswerTarget{ 0 };
  /// Longest pause between events that is in time; 0 for none.
  Millis mPauseTarget{ 0 };
  Millis mTimeout{ 0 };
  Millis mWaited{ 0 };
  Millis mAllowance{ 0 };
  /// Predicted time to the first event if it is sent now.
  double mFirstEventMillis = 0;
  /// An engine has more free slots than late prompts leave.
  bool mHasFreeSlot = false;

  auto operator==(const LatePrompt&) const -> bool = default;
};

enum class DeferralVerdict : std::uint8_t
{
  Send,
  /// Waits for a free slot.
  Defer,
  /// Its caller would leave before an answer begins.
  Refuse
};

/// Returns the name used in logs.
auto
ToText(DeferralVerdict aVerdict) -> std::string_view;

/// Returns the time after its arrival at which the caller of a stream without
/// events leaves.
auto
PatienceOf(const LatePrompt& aPrompt, const DeferralRules& aRules) -> Millis;

/// Returns true if the caller was refused before, by the time that is left.
auto
IsReturned(const LatePrompt& aPrompt, const DeferralRules& aRules) -> bool;

/// Decides on a late prompt. One whose caller has returned once is sent at the
/// end of its patience rather than refused again.
auto
DecideDeferral(const LatePrompt& aPrompt, const DeferralRules& aRules)
  -> DeferralVerdict;

/// Returns when a refused caller may return. aDraw is a random number from 0 to
/// 1 that spreads callers refused together.
auto
ReturnTime(const LatePrompt& aPrompt, double aDraw, const DeferralRules& aRules)
  -> Millis;

/// Returns the number of slots of an engine that late prompts leave free.
auto
ReservedSlots(std::int64_t aSlots, const DeferralRules& aRules) -> std::int64_t;

/// Returns true if an engine with aStreams has so few free slots that the
/// instances agree on them first.
auto
IsNearlyFull(std::int64_t aStreams,
             std::int64_t aSlots,
             const DeferralRules& aRules) -> bool;

/// The claim of one instance on slots of an engine.
struct SlotClaim
{
  /// Orders the claims of an engine, alike at all instances.
  std::uint64_t mRank = 0;
  std::int64_t mStreams = 0;

  auto operator==(const SlotClaim&) const -> bool = default;
};

/// Returns the number of slots that aOwn gets of aFreeSlots, which are given
/// out in the order of the ranks, lowest first. aOthers are the claims of the
/// other instances.
auto
GrantedSlots(std::int64_t aFreeSlots,
             const SlotClaim& aOwn,
             std::span<const SlotClaim> aOthers) -> std::int64_t;

} // namespace cuminslip
