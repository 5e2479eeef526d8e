#include "placement/internal/copies.h"
#include "placement/internal/gate.h"
#include "placement/placement.h"

#include <algorithm>

namespace cuminslip::placement {

namespace {

using endpoints::OrderAction;

/// State of the engines including the orders planned so far: the number of
/// models on each engine and the engines that have an order.
struct Scratch
{
  std::map<EndpointId, std::size_t> mModels;
  std::set<EndpointId> mOrdered;
};

struct Planner
{
  const Placement& mPlacement;
  const PlacementInput& mInput;
  TimePoint mNow;
  WantedMap mWanted;
  CopyCounts mCounts;
  Scratch mScratch;
  std::vector<PlannedOrder> mPlan;
};

auto
IsOverdue(const std::map<CopyKey, TimePoint>& aSince,
          const CopyKey& aKey,
          Millis aTime,
          TimePoint aNow) -> bool
{
  const auto since = aSince.find(aKey);
  return since != aSince.end() && aNow - since->second >= aTime;
}

auto
MakeOrder(const EndpointView& aView,
          OrderAction aAction,
          const LoadedModel& aModel,
          Urgency aUrgency,
          std::string aReason) -> PlannedOrder
{
  auto order = PlannedOrder{};
  order.mEndpoint = aView.mId;
  order.mIncarnation = aView.mIncarnation;
  order.mAddress = aView.mAddress;
  order.mFailureDomain = aView.mFailureDomain;
  order.mAction = aAction;
  order.mModel = aModel;
  order.mUrgency = aUrgency;
  order.mReason = std::move(aReason);
  return order;
}

auto
ExplainOrder(const Planner& aPlanner,
             const PlacedEndpoint& aEndpoint,
             const PlannedOrder& aOrder) -> std::string
{
  auto reason =
    ExplainOrderingBlocked(aPlanner.mPlacement, aPlanner.mInput, aPlanner.mNow);
  if (!reason.empty()) {
    return reason;
  }
  const auto backoff = aPlanner.mPlacement.mBackoffs.find(
    { aOrder.mEndpoint, aOrder.mAction, aOrder.mModel });
  if (backoff != aPlanner.mPlacement.mBackoffs.end() &&
      aPlanner.mNow < backoff->second.mUntil) {
    return "backing off after a failed order";
  }
  return ExplainEndpointBlocked(
    aPlanner.mPlacement, aPlanner.mInput, aEndpoint, aPlanner.mNow);
}

/// Chooses the engine on which to load a copy. Prefers engines that can be
/// ordered now, then those with the fewest models and the shortest prefill
/// queue.
auto
ChooseEngine(const Planner& aPlanner, const CopyKey& aKey)
  -> const PlacedEndpoint*
{
  auto best = std::tuple<bool, std::size_t, std::int64_t, std::string>{};
  auto* chosen = static_cast<const PlacedEndpoint*>(nullptr);
  for (const auto& endpoint : aPlanner.mInput.mEndpoints) {
    const auto& view = endpoint.mView;
    const auto models = aPlanner.mScratch.mModels.at(view.mId);
    const auto fits =
      IsOrderable(view) && view.mFailureDomain == aKey.mFailureDomain &&
      !HasModel(view, aKey.mModel) &&
      !aPlanner.mScratch.mOrdered.contains(view.mId) &&
      models < aPlanner.mPlacement.mSettings.mMaxModelsPerEngine;
    if (!fits) {
      continue;
    }
    const auto order =
      MakeOrder(view, OrderAction::LoadModel, aKey.mModel, {}, {});
    const auto rank =
      std::tuple(!ExplainOrder(aPlanner, endpoint, order).empty(),
                 models,
                 view.mLoad.mQueuedPrefillTokens,
                 view.mId.mValue);
    if (chosen == nullptr || rank < best) {
      best = rank;
      chosen = &endpoint;
    }
  }
  return chosen;
}

auto
AddOrder(Planner& aPlanner,
         const PlacedEndpoint& aEndpoint,
         PlannedOrder aOrder,
         Priority aPriority) -> void
{
  aOrder.mPriority = aPriority;
  aOrder.mBlockedBy = ExplainOrder(aPlanner, aEndpoint, aOrder);
  aPlanner.mScratch.mOrdered.insert(aOrder.mEndpoint);
  aPlanner.mPlan.push_back(std::move(aOrder));
}

/// Whether the copy can be unloaded: enough copies remain or, if the version is
/// no longer wanted, its replacements are already loaded.
auto
MayUnload(const Planner& aPlanner,
          const EndpointView& aView,
          const LoadedModel& aModel) -> bool
{
  const auto key = CopyKey{ aView.mFailureDomain, aModel };
  const auto wanted = aPlanner.mWanted.find(key);
  if (wanted != aPlanner.mWanted.end()) {
    return CountOf(aPlanner.mCounts.mServing, key) > wanted->second.mCopies;
  }
  for (const auto& [other, entry] : aPlanner.mWanted) {
    const auto replaces = other.mFailureDomain == key.mFailureDomain &&
                          other.mModel.mModel == aModel.mModel;
    if (replaces && CountOf(aPlanner.mCounts.mServing, other) < entry.mCopies) {
      return false;
    }
  }
  return true;
}

/// Plans the unloading of an unneeded model to make room for a copy. Returns
/// false if there is none.
auto
PlanEviction(Planner& aPlanner, const CopyKey& aKey, Urgency aUrgency) -> bool
{
  for (const auto& endpoint : aPlanner.mInput.mEndpoints) {
    const auto& view = endpoint.mView;
    const auto isCandidate = IsOrderable(view) &&
                             view.mFailureDomain == aKey.mFailureDomain &&
                             !HasModel(view, aKey.mModel) &&
                             !aPlanner.mScratch.mOrdered.contains(view.mId);
    if (!isCandidate) {
      continue;
    }
    for (const auto& model : view.mModels) {
      const auto isUnwanted =
        !aPlanner.mWanted.contains({ view.mFailureDomain, model });
      if (isUnwanted && MayUnload(aPlanner, view, model)) {
        AddOrder(aPlanner,
                 endpoint,
                 MakeOrder(view,
                           OrderAction::UnloadModel,
                           model,
                           aUrgency,
                           "makes room for " + aKey.mModel.mModel.mValue + " " +
                             aKey.mModel.mVersion.mValue),
                 aPlanner.mWanted.at(aKey).mPriority);
        return true;
      }
    }
  }
  return false;
}

auto
UrgencyOf(const Planner& aPlanner,
          const CopyKey& aKey,
          const WantedCopies& aWanted) -> std::optional<Urgency>
{
  const auto here = CountOf(aPlanner.mCounts.mServing, aKey) +
                    CountOf(aPlanner.mCounts.mLoading, aKey);
  auto elsewhere = std::size_t{ 0 };
  for (const auto& domain : aWanted.mPermitted) {
    elsewhere += CountOf(aPlanner.mCounts.mServing, { domain, aKey.mModel });
  }
  if (here == 0) {
    return elsewhere == 0 ? Urgency::NoCopy : Urgency::NoCopyInDomain;
  }
  const auto isShort = here < aWanted.mCopies &&
                       IsOverdue(aPlanner.mPlacement.mShortSince,
                                 aKey,
                                 aPlanner.mPlacement.mSettings.mShortageTime,
                                 aPlanner.mNow);
  return isShort ? std::optional(Urgency::Shortage) : std::nullopt;
}

auto
ReasonFor(Urgency aUrgency, std::size_t aHere, std::size_t aWanted)
  -> std::string
{
  switch (aUrgency) {
    case Urgency::NoCopy:
      return "no copy in any permitted failure domain";
    case Urgency::NoCopyInDomain:
      return "no copy in the failure domain";
    case Urgency::Shortage:
    case Urgency::Excess:
      break;
  }
  return "demand requires " + std::to_string(aWanted) + " copies, there are " +
         std::to_string(aHere);
}

/// Plans at most one additional copy of aKey per step, so that its effect is
/// seen before the next one. If no engine can take the copy, plans an unloading
/// that makes room for it.
auto
PlanLoad(Planner& aPlanner, const CopyKey& aKey, const WantedCopies& aWanted)
  -> void
{
  const auto urgency = UrgencyOf(aPlanner, aKey, aWanted);
  if (!urgency) {
    return;
  }
  const auto here = CountOf(aPlanner.mCounts.mServing, aKey);
  const auto* engine = ChooseEngine(aPlanner, aKey);
  if (engine == nullptr) {
    PlanEviction(aPlanner, aKey, *urgency);
    return;
  }
  ++aPlanner.mScratch.mModels.at(engine->mView.mId);
  AddOrder(aPlanner,
           *engine,
           MakeOrder(engine->mView,
                     OrderAction::LoadModel,
                     aKey.mModel,
                     *urgency,
                     ReasonFor(*urgency, here, aWanted.mCopies)),
           aWanted.mPriority);
}

auto
PlanUnloads(Planner& aPlanner) -> void
{
  auto planned = std::set<CopyKey>{};
  for (const auto& endpoint : aPlanner.mInput.mEndpoints) {
    const auto& view = endpoint.mView;
    if (!IsOrderable(view)) {
      continue;
    }
    for (const auto& model : view.mModels) {
      const auto key = CopyKey{ view.mFailureDomain, model };
      const auto isDue = IsOverdue(aPlanner.mPlacement.mExcessSince,
                                   key,
                                   aPlanner.mPlacement.mSettings.mExcessTime,
                                   aPlanner.mNow);
      if (!isDue || planned.contains(key) ||
          aPlanner.mScratch.mOrdered.contains(view.mId) ||
          !MayUnload(aPlanner, view, model)) {
        continue;
      }
      planned.insert(key);
      AddOrder(aPlanner,
               endpoint,
               MakeOrder(view,
                         OrderAction::UnloadModel,
                         model,
                         Urgency::Excess,
                         "more copies than templates and demand require"),
               Priority::Patient);
    }
  }
}

auto
SortByUrgency(const Planner& aPlanner) -> std::vector<CopyKey>
{
  auto ranked =
    std::vector<std::tuple<Urgency, Priority, std::size_t, CopyKey>>{};
  for (const auto& [key, wanted] : aPlanner.mWanted) {
    const auto here = CountOf(aPlanner.mCounts.mServing, key);
    ranked.emplace_back(
      UrgencyOf(aPlanner, key, wanted).value_or(Urgency::Excess),
      wanted.mPriority,
      here * 100 / wanted.mCopies,
      key);
  }
  std::sort(ranked.begin(), ranked.end());
  auto keys = std::vector<CopyKey>{};
  for (auto& it : ranked) {
    keys.push_back(std::get<CopyKey>(it));
  }
  return keys;
}

/// Blocks the less urgent loads that exceed the weight store's transfer limit.
auto
BlockTransfers(Planner& aPlanner) -> void
{
  auto transfers = CountTransfers(aPlanner.mPlacement, aPlanner.mNow);
  for (auto& order : aPlanner.mPlan) {
    if (order.mAction != OrderAction::LoadModel || !order.mBlockedBy.empty()) {
      continue;
    }
    if (transfers >= aPlanner.mPlacement.mSettings.mMaxTransfers) {
      order.mBlockedBy = "the transfer limit of the weight store is reached";
      continue;
    }
    ++transfers;
  }
}

} // namespace

auto
PlanOrders(const Placement& aPlacement,
           const PlacementInput& aInput,
           TimePoint aNow) -> std::vector<PlannedOrder>
{
  auto planner = Planner{ aPlacement,
                          aInput,
                          aNow,
                          ComputeWantedCopies(aPlacement, aInput, aNow),
                          CountCopies(aPlacement, aInput),
                          {},
                          {} };
  for (const auto& endpoint : aInput.mEndpoints) {
    const auto& view = endpoint.mView;
    planner.mScratch.mModels[view.mId] = view.mModels.size();
  }
  for (const auto& [id, order] : aPlacement.mActive) {
    planner.mScratch.mOrdered.insert(order.mPlanned.mEndpoint);
  }
  for (const auto& key : SortByUrgency(planner)) {
    PlanLoad(planner, key, planner.mWanted.at(key));
  }
  PlanUnloads(planner);
  BlockTransfers(planner);
  return planner.mPlan;
}

} // namespace cuminslip::placement
