#include "fakes/engine/internal/enginesteps.h"

#include <algorithm>
#include <cmath>

namespace cuminslip::fakes {

namespace {

constexpr auto kAccepted = 202;
constexpr auto kBadRequest = 400;
constexpr auto kRefusedConflict = 409;
constexpr auto kMicrosPerSecond = 1e6;
constexpr auto kAdapterGigabytes = 0.2;

auto
FindModel(Engine& aEngine, const OrderRequest& aOrder)
{
  return std::find_if(
    aEngine.mModels.begin(), aEngine.mModels.end(), [&](const auto& aModel) {
      return aModel.mModel == aOrder.mModel &&
             aModel.mVersion == aOrder.mVersion;
    });
}

auto
LoadTime(const Engine& aEngine, const WeightStore& aStore, double aGigabytes)
  -> Micros
{
  const auto rate = aStore.mGigabytesPerSecond * aEngine.mTimeScale;
  return Micros(std::llround(aGigabytes / rate * kMicrosPerSecond));
}

auto
IsRunningModel(const Engine& aEngine, const OrderRequest& aOrder) -> bool
{
  return std::any_of(
    aEngine.mStreams.begin(), aEngine.mStreams.end(), [&](const auto& aEntry) {
      const auto& request = aEntry.second.mRequest;
      return request.mModel == aOrder.mModel &&
             request.mVersion == aOrder.mVersion;
    });
}

auto
FinishLoad(Engine& aEngine, EngineOrder& aOrder) -> void
{
  const auto& request = aOrder.mRequest;
  aOrder.mState = "done";
  if (FindModel(aEngine, request) != aEngine.mModels.end()) {
    return;
  }
  const auto count = static_cast<std::int64_t>(aEngine.mModels.size());
  if (count >= aEngine.mSettings.mMaxModels) {
    aOrder.mState = "failed";
    aOrder.mReason = "no_weight_memory";
    return;
  }
  aEngine.mModels.push_back({ request.mModel, request.mVersion, {} });
}

auto
FinishAdapter(Engine& aEngine, EngineOrder& aOrder) -> void
{
  const auto& request = aOrder.mRequest;
  const auto it = FindModel(aEngine, request);
  if (it == aEngine.mModels.end()) {
    aOrder.mState = "failed";
    aOrder.mReason = "model_not_loaded";
    return;
  }
  std::erase(it->mAdapters, request.mAdapter);
  if (request.mAction == "load_adapter") {
    it->mAdapters.push_back(request.mAdapter);
  }
  aOrder.mState = "done";
}

auto
FinishOrder(Engine& aEngine, EngineOrder& aOrder) -> void
{
  const auto& request = aOrder.mRequest;
  if (request.mAction == "load_model") {
    FinishLoad(aEngine, aOrder);
    return;
  }
  if (request.mAction != "unload_model") {
    FinishAdapter(aEngine, aOrder);
    return;
  }
  if (!IsRunningModel(aEngine, request)) {
    aOrder.mState = "done";
  }
}

auto
IsKnownAction(const std::string& aAction) -> bool
{
  return aAction == "load_model" || aAction == "unload_model" ||
         aAction == "load_adapter" || aAction == "unload_adapter" ||
         aAction == "set_role";
}

auto
CheckOrder(const Engine& aEngine, const OrderRequest& aOrder) -> Verdict
{
  if (!IsKnownAction(aOrder.mAction)) {
    return { false, kBadRequest, "unknown_action", Millis(0) };
  }
  if (aEngine.mSettings.mChecksFencing &&
      aOrder.mFencing < aEngine.mHighestFencing) {
    return { false, kRefusedConflict, "old_fencing", Millis(0) };
  }
  return { true, kAccepted, "", Millis(0) };
}

} // namespace

auto
FinishOrders(Engine& aEngine) -> void
{
  for (auto& [id, order] : aEngine.mOrders) {
    if (order.mState == "running" && order.mDoneAt <= aEngine.mNow) {
      FinishOrder(aEngine, order);
    }
  }
}

auto
SubmitOrder(Engine& aEngine,
            WeightStore& aStore,
            const OrderRequest& aOrder,
            TimePoint aNow) -> Verdict
{
  Advance(aEngine, aNow);
  auto verdict = CheckOrder(aEngine, aOrder);
  if (!verdict.mIsAccepted) {
    aEngine.mCounters.mOrdersRefused += 1;
    return verdict;
  }
  aEngine.mHighestFencing = std::max(aEngine.mHighestFencing, aOrder.mFencing);
  if (aEngine.mOrders.contains(aOrder.mOrder)) {
    return verdict;
  }
  auto order = EngineOrder{ aOrder, "running", "", aNow };
  if (aOrder.mAction == "set_role") {
    aEngine.mRole = aOrder.mRole;
    order.mState = "done";
  }
  if (aOrder.mAction == "load_model" || aOrder.mAction == "load_adapter") {
    const auto gigabytes = aOrder.mAction == "load_model"
                             ? aEngine.mSettings.mModelGigabytes
                             : kAdapterGigabytes;
    order.mDoneAt =
      std::max(aNow, aStore.mBusyUntil) + LoadTime(aEngine, aStore, gigabytes);
    aStore.mBusyUntil = order.mDoneAt;
  }
  if (aOrder.mAction == "unload_model") {
    const auto it = FindModel(aEngine, aOrder);
    if (it != aEngine.mModels.end()) {
      aEngine.mModels.erase(it);
    }
  }
  aEngine.mOrders.emplace(aOrder.mOrder, std::move(order));
  FinishOrders(aEngine);
  return verdict;
}

} // namespace cuminslip::fakes
