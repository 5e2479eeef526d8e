#include "placement/orderer.h"

#include "endpoints/protocol.h"

namespace cuminslip::placement {

namespace {

constexpr auto kStepInterval = Millis(1000);
constexpr auto kPollInterval = Millis(2000);

/// Requests the lease, to acquire or to renew it, at intervals of one third of
/// its duration.
auto
AcquireLease(Orderer& aOrderer, TimePoint aNow) -> void
{
  if (aOrderer.mIsAcquiring || aNow < aOrderer.mNextAcquire) {
    return;
  }
  aOrderer.mIsAcquiring = true;
  aOrderer.mNextAcquire = aNow + aOrderer.mLeaseTime / 3;
  aOrderer.mPorts.mAcquire(aOrderer.mLeaseTime,
                           [&aOrderer](const OrdererLease& aLease) {
                             aOrderer.mIsAcquiring = false;
                             aOrderer.mLease = aLease;
                           });
}

auto
HandleOrderAnswer(Orderer& aOrderer,
                  const std::string& aOrder,
                  const std::optional<endpoints::EndpointAnswer>& aAnswer)
  -> void
{
  const auto now = aOrderer.mPorts.mNow();
  auto& placement = aOrderer.mPlacement;
  if (!aAnswer) {
    RecordOrderAnswer(placement, aOrder, OrderAnswer::Lost, std::nullopt, now);
    return;
  }
  if (aAnswer->mStatus == 202) {
    RecordOrderAnswer(
      placement, aOrder, OrderAnswer::Accepted, std::nullopt, now);
    return;
  }
  const auto refusal = endpoints::DecodeRefusal(aAnswer->mBody);
  RecordOrderAnswer(
    placement, aOrder, OrderAnswer::Refused, refusal.mHighestFencing, now);
}

auto
SendOrder(Orderer& aOrderer, const PlacementOrder& aOrder) -> void
{
  LogOrder(aOrder);
  auto call = endpoints::EndpointCall{};
  call.mAddress = aOrder.mPlanned.mAddress;
  call.mPath = endpoints::kOrdersPath;
  call.mBody = endpoints::EncodeOrder(aOrder.mOrder);
  call.mTimeout = aOrderer.mPlacement.mSettings.mMaxOrderDelay;
  aOrderer.mPorts.mCall(
    std::move(call),
    [&aOrderer, id = aOrder.mOrder.mOrder](
      const std::optional<endpoints::EndpointAnswer>& aAnswer) {
      HandleOrderAnswer(aOrderer, id, aAnswer);
    });
}

auto
HandleOrderStatus(Orderer& aOrderer,
                  const std::string& aOrder,
                  const std::optional<endpoints::EndpointAnswer>& aAnswer)
  -> void
{
  aOrderer.mPendingPolls.erase(aOrder);
  if (!aAnswer) {
    return;
  }
  const auto now = aOrderer.mPorts.mNow();
  if (aAnswer->mStatus == 404) {
    RecordOrderStatus(aOrderer.mPlacement, aOrder, std::nullopt, now);
    return;
  }
  const auto status = CollectOutcome<endpoints::OrderStatus>(
    [&] { return endpoints::DecodeOrderStatus(aAnswer->mBody); });
  if (status.mValue && status.mValue->mOrder == aOrder) {
    RecordOrderStatus(aOrderer.mPlacement, aOrder, *status.mValue, now);
  }
}

auto
PollOrderStatuses(Orderer& aOrderer, TimePoint aNow) -> void
{
  if (aNow < aOrderer.mNextPoll) {
    return;
  }
  aOrderer.mNextPoll = aNow + kPollInterval;
  for (const auto& id : ListOrdersToPoll(aOrderer.mPlacement)) {
    if (!aOrderer.mPendingPolls.insert(id).second) {
      continue;
    }
    auto call = endpoints::EndpointCall{};
    call.mAddress = aOrderer.mPlacement.mActive.at(id).mPlanned.mAddress;
    call.mMethod = "GET";
    call.mPath = endpoints::OrderPath(id);
    aOrderer.mPorts.mCall(
      std::move(call),
      [&aOrderer, id](const std::optional<endpoints::EndpointAnswer>& aAnswer) {
        HandleOrderStatus(aOrderer, id, aAnswer);
      });
  }
}

} // namespace

auto
TickOrderer(Orderer& aOrderer, PlacementInput aInput) -> void
{
  const auto now = aOrderer.mPorts.mNow();
  AcquireLease(aOrderer, now);
  PollOrderStatuses(aOrderer, now);
  if (now < aOrderer.mNextStep) {
    return;
  }
  aOrderer.mNextStep = now + kStepInterval;
  aInput.mLease = aOrderer.mLease;
  aInput.mLease.mIsHeld = aInput.mLease.mIsHeld && now < aInput.mLease.mUntil;
  aOrderer.mPlan = PlanOrders(aOrderer.mPlacement, aInput, now);
  for (const auto& order : TickPlacement(aOrderer.mPlacement, aInput, now)) {
    SendOrder(aOrderer, order);
  }
}

} // namespace cuminslip::placement
