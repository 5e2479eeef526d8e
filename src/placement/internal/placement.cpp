#include "placement/placement.h"

#include "placement/internal/copies.h"
#include "placement/internal/gate.h"
#include "placement/types/placementevents.h"

#include "endpoints/protocol.h"

#include <algorithm>

namespace cuminslip::placement {

namespace {

using endpoints::OrderAction;

/// Notes since when a condition lasts; forgets it when it does not.
template<class Key>
auto
NoteLasting(std::map<Key, TimePoint>& aSince,
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
NoteLease(Placement& aPlacement, const OrdererLease& aLease, TimePoint aNow)
  -> void
{
  if (!aLease.mIsHeld || aLease.mFencing == aPlacement.mFencing) {
    return;
  }
  aPlacement.mFencing = aLease.mFencing;
  aPlacement.mTakenOverAt = aNow;
  // NOTE: orders of an earlier term count as an earlier orderer's.
  aPlacement.mActive.clear();
}

auto
NoteDomains(Placement& aPlacement, const PlacementInput& aInput, TimePoint aNow)
  -> void
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
    NoteLasting(aPlacement.mDownSince, domain, !up.contains(domain), aNow);
  }
}

auto
NoteCopies(Placement& aPlacement, const PlacementInput& aInput, TimePoint aNow)
  -> void
{
  const auto wanted = FindWanted(aPlacement, aInput, aNow);
  const auto counts = CountCopies(aPlacement, aInput);
  for (const auto& [key, entry] : wanted) {
    const auto serving = CountOf(counts.mServing, key);
    NoteLasting(aPlacement.mShortSince, key, serving < entry.mCopies, aNow);
    NoteLasting(aPlacement.mExcessSince, key, serving > entry.mCopies, aNow);
  }
  for (const auto& [key, serving] : counts.mServing) {
    if (!wanted.contains(key)) {
      NoteLasting(aPlacement.mExcessSince, key, serving > 0, aNow);
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

/// True once the endpoint's own word shows what the order was to bring about.
auto
IsShown(const EndpointView& aView, const PlannedOrder& aOrder) -> bool
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

enum class OrderEnd : std::uint8_t
{
  Open,
  Achieved,
  Failed,
  Moot
};

/// How an order stands, by the endpoint's announcement and by the time.
auto
EndOf(const Placement& aPlacement,
      const PlacementInput& aInput,
      const ActiveOrder& aOrder,
      TimePoint aNow) -> OrderEnd
{
  const auto& settings = aPlacement.mSettings;
  const auto* view = FindView(aInput, aOrder.mPlanned.mEndpoint);
  if (view == nullptr || view->mIncarnation != aOrder.mPlanned.mIncarnation) {
    return OrderEnd::Moot;
  }
  if (IsShown(*view, aOrder.mPlanned)) {
    return OrderEnd::Achieved;
  }
  switch (aOrder.mPhase) {
    case OrderPhase::Sent:
    case OrderPhase::Unknown:
      return aNow >= aOrder.mExpiresAt + settings.mLongestDelay +
                       settings.mLongestTransfer
               ? OrderEnd::Failed
               : OrderEnd::Open;
    case OrderPhase::Running:
      return aNow >= aOrder.mSentAt + settings.mLongestTransfer
               ? OrderEnd::Failed
               : OrderEnd::Open;
    case OrderPhase::Done:
      return aNow >= aOrder.mDoneAt + settings.mSettleTime ? OrderEnd::Failed
                                                           : OrderEnd::Open;
  }
  return OrderEnd::Open;
}

auto
CloseOrders(Placement& aPlacement, const PlacementInput& aInput, TimePoint aNow)
  -> void
{
  auto& active = aPlacement.mActive;
  for (auto it = active.begin(); it != active.end();) {
    const auto& planned = it->second.mPlanned;
    const auto end = EndOf(aPlacement, aInput, it->second, aNow);
    if (end == OrderEnd::Open) {
      ++it;
      continue;
    }
    if (end == OrderEnd::Failed) {
      BackOff(aPlacement, planned, aNow);
    }
    if (end == OrderEnd::Achieved) {
      aPlacement.mBackoffs.erase(
        { planned.mEndpoint, planned.mAction, planned.mModel });
    }
    LogEvent(end == OrderEnd::Achieved ? kOrderDoneEvent : kOrderFailedEvent,
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
  NoteLease(aPlacement, aInput.mLease, aNow);
  NoteDomains(aPlacement, aInput, aNow);
  CloseOrders(aPlacement, aInput, aNow);
  NoteCopies(aPlacement, aInput, aNow);
  auto orders = std::vector<PlacementOrder>{};
  if (!ExplainClosed(aPlacement, aInput, aNow).empty()) {
    return orders;
  }
  for (const auto& planned : PlanOrders(aPlacement, aInput, aNow)) {
    const auto hasRoom = orders.size() < aPlacement.mSettings.mMaxOrdersInStep;
    if (planned.mBlockedBy.empty() && hasRoom) {
      orders.push_back(MakeOrder(aPlacement, aInput, planned, aNow));
    }
  }
  return orders;
}

auto
NoteOrderAnswer(Placement& aPlacement,
                const std::string& aOrder,
                OrderAnswer aAnswer,
                std::optional<std::uint64_t> aHighestFencing,
                TimePoint aNow) -> void
{
  if (aHighestFencing) {
    aPlacement.mHighestSeen =
      std::max(aPlacement.mHighestSeen, *aHighestFencing);
  }
  const auto found = aPlacement.mActive.find(aOrder);
  if (found == aPlacement.mActive.end()) {
    return;
  }
  if (aAnswer == OrderAnswer::Refused) {
    LogEvent(kOrderRefusedEvent,
             { { "order", aOrder },
               { "endpoint", found->second.mPlanned.mEndpoint.mValue },
               { "highest_fencing", aPlacement.mHighestSeen } });
    BackOff(aPlacement, found->second.mPlanned, aNow);
    aPlacement.mActive.erase(found);
    return;
  }
  found->second.mPhase = aAnswer == OrderAnswer::Accepted ? OrderPhase::Running
                                                          : OrderPhase::Unknown;
}

auto
OrdersToAsk(const Placement& aPlacement) -> std::vector<std::string>
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
NoteOrderStatus(Placement& aPlacement,
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
    // NOTE: one that is not known may still be on its way until it is too old.
    const auto isTooOld =
      aNow >= order.mExpiresAt + aPlacement.mSettings.mLongestDelay;
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
