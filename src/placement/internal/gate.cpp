#include "placement/internal/gate.h"

#include <algorithm>

namespace cuminslip::placement {

namespace {

/// When every order of an earlier orderer has expired, wherever it was.
auto
PreviousOrdersExpiry(const Placement& aPlacement) -> TimePoint
{
  const auto& settings = aPlacement.mSettings;
  return aPlacement.mTakenOverAt + settings.mOrderLifetime +
         settings.mMaxOrderDelay;
}

auto
HasActiveOrder(const Placement& aPlacement, const EndpointId& aEndpoint) -> bool
{
  const auto& active = aPlacement.mActive;
  return std::any_of(active.begin(), active.end(), [&](const auto& aItem) {
    return aItem.second.mPlanned.mEndpoint == aEndpoint;
  });
}

} // namespace

auto
ExplainOrderingBlocked(const Placement& aPlacement,
                       const PlacementInput& aInput,
                       TimePoint aNow) -> std::string
{
  const auto& lease = aInput.mLease;
  if (!lease.mIsHeld) {
    return "this instance is not the orderer";
  }
  if (lease.mFencing < aPlacement.mHighestSeenFencing) {
    return "a higher fencing number was seen";
  }
  if (OrderLifetime(aPlacement, aInput, aNow) <
      aPlacement.mSettings.mMinOrderLifetime) {
    return "the lease is about to end";
  }
  return {};
}

auto
ExplainEndpointBlocked(const Placement& aPlacement,
                       const PlacementInput& aInput,
                       const PlacedEndpoint& aEndpoint,
                       TimePoint aNow) -> std::string
{
  const auto& view = aEndpoint.mView;
  if (aInput.mIsolated.contains(view.mFailureDomain)) {
    return "the failure domain is cut off from the quorum";
  }
  if (HasActiveOrder(aPlacement, view.mId)) {
    return "another order is under way there";
  }
  if (aEndpoint.mChecksFencing.value_or(false)) {
    return {};
  }
  if (aNow < PreviousOrdersExpiry(aPlacement)) {
    return "orders of an earlier orderer may still arrive there";
  }
  if (aNow - view.mReportAge < PreviousOrdersExpiry(aPlacement)) {
    return "what the endpoint has is not read back yet";
  }
  return {};
}

auto
CountTransfers(const Placement& aPlacement, TimePoint aNow) -> std::size_t
{
  const auto& settings = aPlacement.mSettings;
  const auto previousTransfersEnd =
    PreviousOrdersExpiry(aPlacement) + settings.mMaxTransferTime;
  // NOTE: the first orderer of all has nobody before it.
  if (aPlacement.mFencing > 1 && aNow < previousTransfersEnd) {
    return settings.mMaxTransfers;
  }
  const auto& active = aPlacement.mActive;
  const auto n =
    std::count_if(active.begin(), active.end(), [&](const auto& aItem) {
      const auto& order = aItem.second;
      return order.mPlanned.mAction == endpoints::OrderAction::LoadModel &&
             order.mPhase != OrderPhase::Done;
    });
  return static_cast<std::size_t>(n);
}

auto
OrderLifetime(const Placement& aPlacement,
              const PlacementInput& aInput,
              TimePoint aNow) -> Millis
{
  const auto& settings = aPlacement.mSettings;
  const auto left = MillisBetween(aNow, aInput.mLease.mUntil) -
                    settings.mLeaseMargin - settings.mMaxOrderDelay;
  return std::min(settings.mOrderLifetime, left);
}

} // namespace cuminslip::placement
