#include "placement/placement.h"

#include "placement/internal/copies.h"
#include "placement/internal/gate.h"
#include "placement/types/placementevents.h"

#include "endpoints/protocol.h"

#include <algorithm>

namespace cuminslip::placement {

namespace {

using endpoints::OrderAction;

/// Keeps the time at which a condition began to hold; erases it once the
/// condition no longer holds.
template<class Key>
auto
UpdateConditionStart(std::map<Key, TimePoint>& aSince,
                     const Key& aKey,
                     bool aHolds,
                     TimePoint aNow) -> void
{
  if (aHolds) {
    aSince.try_emplace(aKey, aNow);
    return;
  }
  aSince.erase(aKey);
}

auto
UpdateLease(Placement& aPlacement, const OrdererLease& aLease, TimePoint aNow)
  -> void
{
  if (!aLease.mIsHeld || aLease.mFencing == aPlacement.mFencing) {
    return;
  }
  aPlacement.mFencing = aLease.mFencing;
  aPlacement.mTakenOverAt = aNow;
  // NOTE: this instance's own orders from an earlier lease are treated like
  // those of another orderer: they are no longer tracked, and new orders are
  // held back as described in gate.h.
  aPlacement.mActive.clear();
}

auto
UpdateDomainLosses(Placement& aPlacement,
                   const PlacementInput& aInput,
                   TimePoint aNow) -> void
{
  auto up = std::set<FailureDomainId>{};
  auto named = std::set<FailureDomainId>{};
  for (const auto& endpoint : aInput.mEndpoints) {
    if (IsOrderable(endpoint.mView)) {
      up.insert(endpoint.mView.mFailureDomain);
    }
  }
  for (const auto& it : aInput.mTemplates) {
    const auto& domains = it.mTemplate.mFailureDomains;
    named.insert(domains.begin(), domains.end());
  }
  for (const auto& domain : named) {
    UpdateConditionStart(
      aPlacement.mDownSince, domain, !up.contains(domain), aNow);
  }
}

auto
UpdateCopyConditions(Placement& aPlacement,
                     const PlacementInput& aInput,
                     TimePoint aNow) -> void
{
  const auto wanted = ComputeWantedCopies(aPlacement, aInput, aNow);
  const auto counts = CountCopies(aPlacement, aInput);
  for (const auto& [key, entry] : wanted) {
    const auto serving = CountOf(counts.mServing, key);
    UpdateConditionStart(
      aPlacement.mShortSince, key, serving < entry.mCopies, aNow);
    UpdateConditionStart(
      aPlacement.mExcessSince, key, serving > entry.mCopies, aNow);
  }
  for (const auto& [key, serving] : counts.mServing) {
    if (!wanted.contains(key)) {
      UpdateConditionStart(aPlacement.mExcessSince, key, serving > 0, aNow);
    }
  }
  std::erase_if(aPlacement.mShortSince, [&](const auto& aItem) {
    return !wanted.contains(aItem.first);
  });
  std::erase_if(aPlacement.mExcessSince, [&](const auto& aItem) {
    return CountOf(counts.mServing, aItem.first) == 0;
  });
}

auto
FindView(const PlacementInput& aInput, const EndpointId& aEndpoint)
  -> const EndpointView*
{
  for (const auto& endpoint : aInput.mEndpoints) {
    if (endpoint.mView.mId == aEndpoint) {
      return &endpoint.mView;
    }
  }
  return nullptr;
}

/// True once the endpoint's announcement shows the effect of the order.
auto
IsAnnounced(const EndpointView& aView, const PlannedOrder& aOrder) -> bool
{
  const auto isLoad = aOrder.mAction == OrderAction::LoadModel;
  return HasModel(aView, aOrder.mModel) == isLoad;
}

auto
BackOff(Placement& aPlacement, const PlannedOrder& aOrder, TimePoint aNow)
  -> void
{
  auto& backoff =
    aPlacement.mBackoffs[{ aOrder.mEndpoint, aOrder.mAction, aOrder.mModel }];
  const auto& settings = aPlacement.mSettings;
  backoff.mDelay = std::clamp(
    2 * backoff.mDelay, settings.mFirstBackoff, settings.mMaxBackoff);
  backoff.mUntil = aNow + backoff.mDelay;
}

enum class OrderOutcome : std::uint8_t
{
  Open,
  Achieved,
  Failed,
  Obsolete
};

/// Determines the outcome of an order from the endpoint's announcement and the
/// elapsed time.
auto
EvaluateOrder(const Placement& aPlacement,
              const PlacementInput& aInput,
              const ActiveOrder& aOrder,
              TimePoint aNow) -> OrderOutcome
{
  const auto& settings = aPlacement.mSettings;
  const auto* view = FindView(aInput, aOrder.mPlanned.mEndpoint);
  if (view == nullptr || view->mIncarnation != aOrder.mPlanned.mIncarnation) {
    return OrderOutcome::Obsolete;
  }
  if (IsAnnounced(*view, aOrder.mPlanned)) {
    return OrderOutcome::Achieved;
  }
  switch (aOrder.mPhase) {
    case OrderPhase::Sent:
    case OrderPhase::Unknown:
      return aNow >= aOrder.mExpiresAt + settings.mMaxOrderDelay +
                       settings.mMaxTransferTime
               ? OrderOutcome::Failed
               : OrderOutcome::Open;
    case OrderPhase::Running:
      return aNow >= aOrder.mSentAt + settings.mMaxTransferTime
               ? OrderOutcome::Failed
               : OrderOutcome::Open;
    case OrderPhase::Done:
      return aNow >= aOrder.mDoneAt + settings.mSettleTime
               ? OrderOutcome::Failed
               : OrderOutcome::Open;
  }
  return OrderOutcome::Open;
}

auto
CloseOrders(Placement& aPlacement, const PlacementInput& aInput, TimePoint aNow)
  -> void
{
  auto& active = aPlacement.mActive;
  for (auto it = active.begin(); it != active.end();) {
    const auto& planned = it->second.mPlanned;
    const auto end = EvaluateOrder(aPlacement, aInput, it->second, aNow);
    if (end == OrderOutcome::Open) {
      ++it;
      continue;
    }
    if (end == OrderOutcome::Failed) {
      BackOff(aPlacement, planned, aNow);
    }
    if (end == OrderOutcome::Achieved) {
      aPlacement.mBackoffs.erase(
        { planned.mEndpoint, planned.mAction, planned.mModel });
    }
    LogEvent(end == OrderOutcome::Achieved ? kOrderDoneEvent
                                           : kOrderFailedEvent,
             { { "order", it->first },
               { "endpoint", planned.mEndpoint.mValue },
               { "model", planned.mModel.mModel.mValue },
               { "version", planned.mModel.mVersion.mValue } });
    it = active.erase(it);
  }
}

auto
MakeOrder(Placement& aPlacement,
          const PlacementInput& aInput,
          const PlannedOrder& aPlanned,
          TimePoint aNow) -> PlacementOrder
{
  ++aPlacement.mOrders;
  auto order = endpoints::Order{};
  order.mOrder = aPlacement.mOrderPrefix + "-" +
                 std::to_string(aInput.mLease.mFencing) + "-" +
                 std::to_string(aPlacement.mOrders);
  order.mFencing = aInput.mLease.mFencing;
  order.mExpiresIn = OrderLifetime(aPlacement, aInput, aNow);
  order.mAction = aPlanned.mAction;
  order.mModel = aPlanned.mModel.mModel;
  order.mVersion = aPlanned.mModel.mVersion;
  aPlacement.mActive[order.mOrder] = {
    aPlanned, OrderPhase::Sent, aNow, aNow + order.mExpiresIn, {}
  };
  return { aPlanned, order };
}

} // namespace

auto
TickPlacement(Placement& aPlacement,
              const PlacementInput& aInput,
              TimePoint aNow) -> std::vector<PlacementOrder>
{
  UpdateLease(aPlacement, aInput.mLease, aNow);
  UpdateDomainLosses(aPlacement, aInput, aNow);
  CloseOrders(aPlacement, aInput, aNow);
  UpdateCopyConditions(aPlacement, aInput, aNow);
  auto orders = std::vector<PlacementOrder>{};
  if (!ExplainOrderingBlocked(aPlacement, aInput, aNow).empty()) {
    return orders;
  }
  for (const auto& planned : PlanOrders(aPlacement, aInput, aNow)) {
    const auto hasRoom = orders.size() < aPlacement.mSettings.mMaxOrdersPerStep;
    if (planned.mBlockedBy.empty() && hasRoom) {
      orders.push_back(MakeOrder(aPlacement, aInput, planned, aNow));
    }
  }
  return orders;
}

auto
RecordOrderAnswer(Placement& aPlacement,
                  const std::string& aOrder,
                  OrderAnswer aAnswer,
                  std::optional<std::uint64_t> aHighestFencing,
                  TimePoint aNow) -> void
{
  if (aHighestFencing) {
    aPlacement.mHighestSeenFencing =
      std::max(aPlacement.mHighestSeenFencing, *aHighestFencing);
  }
  const auto found = aPlacement.mActive.find(aOrder);
  if (found == aPlacement.mActive.end()) {
    return;
  }
  if (aAnswer == OrderAnswer::Refused) {
    LogEvent(kOrderRefusedEvent,
             { { "order", aOrder },
               { "endpoint", found->second.mPlanned.mEndpoint.mValue },
               { "highest_fencing", aPlacement.mHighestSeenFencing } });
    BackOff(aPlacement, found->second.mPlanned, aNow);
    aPlacement.mActive.erase(found);
    return;
  }
  found->second.mPhase = aAnswer == OrderAnswer::Accepted ? OrderPhase::Running
                                                          : OrderPhase::Unknown;
}

auto
ListOrdersToPoll(const Placement& aPlacement) -> std::vector<std::string>
{
  auto ids = std::vector<std::string>{};
  for (const auto& [id, order] : aPlacement.mActive) {
    if (order.mPhase == OrderPhase::Unknown ||
        order.mPhase == OrderPhase::Running) {
      ids.push_back(id);
    }
  }
  return ids;
}

auto
RecordOrderStatus(Placement& aPlacement,
                  const std::string& aOrder,
                  const std::optional<endpoints::OrderStatus>& aStatus,
                  TimePoint aNow) -> void
{
  const auto found = aPlacement.mActive.find(aOrder);
  if (found == aPlacement.mActive.end()) {
    return;
  }
  auto& order = found->second;
  if (!aStatus) {
    // NOTE: an order that the endpoint does not know may still arrive until it
    // has expired.
    const auto isTooOld =
      aNow >= order.mExpiresAt + aPlacement.mSettings.mMaxOrderDelay;
    if (isTooOld) {
      BackOff(aPlacement, order.mPlanned, aNow);
      aPlacement.mActive.erase(found);
    }
    return;
  }
  switch (aStatus->mProgress) {
    case endpoints::OrderProgress::Running:
      order.mPhase = OrderPhase::Running;
      return;
    case endpoints::OrderProgress::Done:
      order.mDoneAt = order.mPhase == OrderPhase::Done ? order.mDoneAt : aNow;
      order.mPhase = OrderPhase::Done;
      return;
    case endpoints::OrderProgress::Failed:
      BackOff(aPlacement, order.mPlanned, aNow);
      aPlacement.mActive.erase(found);
      return;
  }
}

auto
LogOrder(const PlacementOrder& aOrder) -> void
{
  const auto& planned = aOrder.mPlanned;
  LogEvent(kOrderSentEvent,
           { { "order", aOrder.mOrder.mOrder },
             { "endpoint", planned.mEndpoint.mValue },
             { "action", endpoints::NameOf(planned.mAction) },
             { "model", planned.mModel.mModel.mValue },
             { "version", planned.mModel.mVersion.mValue },
             { "fencing", aOrder.mOrder.mFencing },
             { "reason", planned.mReason } });
}

} // namespace cuminslip::placement
