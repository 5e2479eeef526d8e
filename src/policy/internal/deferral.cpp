#include "policy/deferral.h"

#include <algorithm>
#include <cmath>

namespace cuminslip {

auto
ToText(DeferralVerdict aVerdict) -> std::string_view
{
  switch (aVerdict) {
    case DeferralVerdict::Send:
      return "send";
    case DeferralVerdict::Defer:
      return "defer";
    case DeferralVerdict::Refuse:
      return "refuse";
  }
  return "unknown";
}

auto
PatienceOf(const LatePrompt& aPrompt, const DeferralRules& aRules) -> Millis
{
  return std::max({ aRules.mMinPatience,
                    aPrompt.mAnswerTarget * aRules.mPatienceInTargets,
                    aPrompt.mPauseTarget * aRules.mPatienceInPauses });
}

auto
IsReturned(const LatePrompt& aPrompt, const DeferralRules& aRules) -> bool
{
  const auto whole = static_cast<double>(aPrompt.mTimeout.count());
  const auto left =
    static_cast<double>((aPrompt.mWaited + aPrompt.mAllowance).count());
  return left < whole * aRules.mReturnedShare;
}

auto
DecideDeferral(const LatePrompt& aPrompt, const DeferralRules& aRules)
  -> DeferralVerdict
{
  if (aPrompt.mHasFreeSlot) {
    return DeferralVerdict::Send;
  }
  const auto patience =
    std::min(PatienceOf(aPrompt, aRules), aPrompt.mWaited + aPrompt.mAllowance);
  const auto first = Millis(std::llround(aPrompt.mFirstEventMillis));
  if (aPrompt.mWaited + first + aRules.mMargin < patience) {
    return DeferralVerdict::Defer;
  }
  return IsReturned(aPrompt, aRules) ? DeferralVerdict::Send
                                     : DeferralVerdict::Refuse;
}

auto
ReturnTime(const LatePrompt& aPrompt, double aDraw, const DeferralRules& aRules)
  -> Millis
{
  const auto share = aRules.mMinReturnShare +
                     (aRules.mMaxReturnShare - aRules.mMinReturnShare) * aDraw;
  return Millis(
    std::llround(static_cast<double>(aPrompt.mAllowance.count()) * share));
}

auto
ReservedSlots(std::int64_t aSlots, const DeferralRules& aRules) -> std::int64_t
{
  const auto share =
    std::llround(static_cast<double>(aSlots) * aRules.mReservedShare);
  return std::max<std::int64_t>(share, 1);
}

auto
IsNearlyFull(std::int64_t aStreams,
             std::int64_t aSlots,
             const DeferralRules& aRules) -> bool
{
  return aStreams + aRules.mScarceSlots >= aSlots;
}

auto
GrantedSlots(std::int64_t aFreeSlots,
             const SlotClaim& aOwn,
             std::span<const SlotClaim> aOthers) -> std::int64_t
{
  auto free = aFreeSlots;
  for (const auto& it : aOthers) {
    free -= it.mRank < aOwn.mRank ? it.mStreams : 0;
  }
  return std::clamp<std::int64_t>(free, 0, aOwn.mStreams);
}

} // namespace cuminslip
