#pragma once

#include "placement/placement.h"

#include <algorithm>
#include <deque>
#include <random>
#include <string>

/// Engines that take orders, and what orderers see of them, in memory.
namespace cuminslip::placement {

struct FakeEngine
{
  EndpointView mView;
  bool mChecksFencing = true;
  std::uint64_t mHighestFencing = 0;
  /// Orders taken, with when they are done.
  std::map<std::string, std::pair<endpoints::Order, TimePoint>> mOrders;
  bool mFailsLoads = false;
};

/// An order on its way.
struct InFlightOrder
{
  TimePoint mArrives;
  EndpointId mTo;
  endpoints::Order mOrder;
};

struct FakeFleet
{
  TimePoint mNow{ Seconds(1000) };
  std::map<EndpointId, FakeEngine> mEngines;
  std::deque<InFlightOrder> mInFlight;
  Millis mLoadTime{ 5000 };
  /// Every change that engines made, as "engine action model version fencing".
  std::vector<std::string> mDone;
  std::size_t mPeakTransfers = 0;
};

inline auto
AddEngine(FakeFleet& aFleet,
          const std::string& aName,
          const std::string& aDomain,
          std::vector<LoadedModel> aModels,
          bool aChecksFencing = true) -> FakeEngine&
{
  auto& engine = aFleet.mEngines[{ aName }];
  engine.mView.mId = { aName };
  engine.mView.mIncarnation = 1;
  engine.mView.mAddress = aName;
  engine.mView.mFailureDomain = { aDomain };
  engine.mView.mRegion = { "porto-alegre" };
  engine.mView.mModels = std::move(aModels);
  engine.mView.mLoad.mPrefillTokensPerSecond = 1000;
  engine.mChecksFencing = aChecksFencing;
  return engine;
}

inline auto
Finish(FakeFleet& aFleet, FakeEngine& aEngine, const endpoints::Order& aOrder)
  -> void
{
  const auto model = LoadedModel{ aOrder.mModel, aOrder.mVersion };
  auto& models = aEngine.mView.mModels;
  std::erase(models, model);
  const auto isLoad = aOrder.mAction == endpoints::OrderAction::LoadModel;
  if (isLoad && !aEngine.mFailsLoads) {
    models.push_back(model);
  }
  aFleet.mDone.push_back(aEngine.mView.mId.mValue +
                         (isLoad ? " load " : " unload ") +
                         aOrder.mModel.mValue + " " + aOrder.mVersion.mValue +
                         " " + std::to_string(aOrder.mFencing));
}

/// Takes an order as it arrives; false if it is refused.
inline auto
Deliver(FakeFleet& aFleet,
        const EndpointId& aTo,
        const endpoints::Order& aOrder) -> bool
{
  auto& engine = aFleet.mEngines.at(aTo);
  if (engine.mChecksFencing && aOrder.mFencing < engine.mHighestFencing) {
    return false;
  }
  engine.mHighestFencing = std::max(engine.mHighestFencing, aOrder.mFencing);
  const auto isLoad = aOrder.mAction == endpoints::OrderAction::LoadModel;
  const auto time = isLoad ? aFleet.mLoadTime : Millis(100);
  engine.mOrders.try_emplace(aOrder.mOrder, aOrder, aFleet.mNow + time);
  return true;
}

/// Moves the clock on by a second: inFlight arrives, orders end.
inline auto
StepFleet(FakeFleet& aFleet) -> void
{
  aFleet.mNow += Seconds(1);
  while (!aFleet.mInFlight.empty() &&
         aFleet.mInFlight.front().mArrives <= aFleet.mNow) {
    const auto inFlight = aFleet.mInFlight.front();
    aFleet.mInFlight.pop_front();
    Deliver(aFleet, inFlight.mTo, inFlight.mOrder);
  }
  std::size_t transfers = 0;
  for (auto& [id, engine] : aFleet.mEngines) {
    for (auto& [name, item] : engine.mOrders) {
      auto& [order, doneAt] = item;
      const auto isRunning = doneAt != TimePoint{};
      transfers +=
        isRunning && order.mAction == endpoints::OrderAction::LoadModel ? 1 : 0;
      if (isRunning && doneAt <= aFleet.mNow) {
        Finish(aFleet, engine, order);
        doneAt = {};
      }
    }
  }
  aFleet.mPeakTransfers = std::max(aFleet.mPeakTransfers, transfers);
}

inline auto
TemplateOf(const std::string& aAccount,
           const std::string& aVersion,
           const std::vector<std::string>& aDomains) -> TemplateInForce
{
  auto it = TemplateInForce{};
  it.mTemplate.mAccount = { aAccount };
  it.mTemplate.mModel = { "drafter" };
  it.mTemplate.mVersion = { aVersion };
  it.mTemplate.mWorkKinds = { WorkKind{} };
  for (const auto& domain : aDomains) {
    it.mTemplate.mFailureDomains.push_back({ domain });
  }
  return it;
}

/// What an orderer sees now.
inline auto
InputOf(const FakeFleet& aFleet,
        const std::vector<TemplateInForce>& aTemplates,
        std::uint64_t aFencing) -> PlacementInput
{
  auto input = PlacementInput{};
  input.mTemplates = aTemplates;
  for (const auto& [id, engine] : aFleet.mEngines) {
    input.mEndpoints.push_back({ engine.mView, engine.mChecksFencing });
  }
  input.mLease = { aFencing > 0, aFencing, aFleet.mNow + Seconds(30) };
  return input;
}

/// One step of an orderer whose orders arrive at once and are answered.
inline auto
StepOrderer(Placement& aPlacement,
            FakeFleet& aFleet,
            const PlacementInput& aInput) -> std::vector<PlacementOrder>
{
  auto orders = TickPlacement(aPlacement, aInput, aFleet.mNow);
  for (const auto& it : orders) {
    const auto isTaken = Deliver(aFleet, it.mPlanned.mEndpoint, it.mOrder);
    const auto highest =
      aFleet.mEngines.at(it.mPlanned.mEndpoint).mHighestFencing;
    RecordOrderAnswer(aPlacement,
                      it.mOrder.mOrder,
                      isTaken ? OrderAnswer::Accepted : OrderAnswer::Refused,
                      isTaken ? std::nullopt : std::optional(highest),
                      aFleet.mNow);
  }
  return orders;
}

} // namespace cuminslip::placement
