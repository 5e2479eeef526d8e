#include "requests/internal/ordering.h"

#include "requests/internal/holdings.h"

#include <algorithm>

namespace cuminslip::requests {

namespace {

/// Instances of a failure domain that try for the orderer's lease; each try is
/// an entry of the control log.
constexpr auto kMaxCandidates = std::size_t{ 2 };
constexpr auto kOrderingInterval = Millis(500);
constexpr auto kDemandWindow = Millis(30000);

auto
IsCandidate(const Front& aFront, TimePoint aNow) -> bool
{
  const auto alive = endpoints::AliveInstances(aFront.mMembership, aNow);
  const auto count = std::min(kMaxCandidates, alive.size());
  return std::any_of(alive.begin(),
                     alive.begin() + static_cast<std::ptrdiff_t>(count),
                     [&](const auto& aInstance) {
                       return aInstance.mId == aFront.mSettings.mInstance;
                     });
}

/// Templates that permit this failure domain, narrowed to it: the endpoints of
/// the others are ordered by their own instances.
auto
ListLocalTemplates(const Front& aFront) -> std::vector<TemplateInForce>
{
  const auto& place = aFront.mSettings.mPlace;
  auto items = std::vector<TemplateInForce>{};
  for (const auto& [account, held] : aFront.mTemplates) {
    const auto& inForce = held->mTemplate;
    const auto isDomain = inForce.mFailureDomains.empty() ||
                          std::count(inForce.mFailureDomains.begin(),
                                     inForce.mFailureDomains.end(),
                                     place.mFailureDomain) > 0;
    const auto isRegion =
      inForce.mRegions.empty() || std::count(inForce.mRegions.begin(),
                                             inForce.mRegions.end(),
                                             place.mRegion) > 0;
    if (!isDomain || !isRegion) {
      continue;
    }
    items.push_back(*held);
    items.back().mTemplate.mFailureDomains = { place.mFailureDomain };
  }
  return items;
}

auto
ListLocalEndpoints(const Front& aFront)
  -> std::vector<placement::PlacedEndpoint>
{
  auto items = std::vector<placement::PlacedEndpoint>{};
  for (const auto& view : aFront.mFleet.mViews) {
    const auto it = aFront.mFleet.mRegistry.mEntries.find(view.mId);
    if (it != aFront.mFleet.mRegistry.mEntries.end()) {
      items.push_back({ view,
                        ChecksFencing(aFront.mSettings.mEngineFencing,
                                      it->second.mLatest.mChecksFencing) });
    }
  }
  return items;
}

/// Demand seen here times the instances between which the balancer spreads it.
auto
EstimateDomainDemand(const Front& aFront, TimePoint aNow)
  -> std::vector<placement::Demand>
{
  const auto instances =
    endpoints::AliveInstances(aFront.mMembership, aNow).size();
  const auto seconds = std::chrono::duration<double>(kDemandWindow).count();
  auto demands = std::vector<placement::Demand>{};
  for (const auto& [key, tokens] : aFront.mPreviousDemand) {
    demands.push_back({ key.first,
                        key.second,
                        aFront.mSettings.mPlace.mFailureDomain,
                        static_cast<double>(tokens) / seconds *
                          static_cast<double>(instances) });
  }
  return demands;
}

auto
RotateDemandWindow(Front& aFront, TimePoint aNow) -> void
{
  if (aNow < aFront.mDemandWindowEnd) {
    return;
  }
  aFront.mDemandWindowEnd = aNow + kDemandWindow;
  aFront.mPreviousDemand = std::exchange(aFront.mCurrentDemand, {});
}

} // namespace

auto
ChecksFencing(FencingRule aRule, std::optional<bool> aAnnounced) -> bool
{
  switch (aRule) {
    case FencingRule::Announced:
      return aAnnounced.value_or(false);
    case FencingRule::Checked:
      return true;
    case FencingRule::Unchecked:
      return false;
  }
  return false;
}

auto
StartOrdering(Front& aFront) -> void
{
  auto& orderer = aFront.mOrderer;
  orderer.mPlacement.mOrderPrefix =
    aFront.mSettings.mInstance.mValue + "-" +
    std::to_string(aFront.mSettings.mIncarnation);
  orderer.mPlacement.mSettings.mMaxTransfers = aFront.mSettings.mMaxTransfers;
  orderer.mPorts.mNow = aFront.mPorts.mNow;
  orderer.mPorts.mAcquire = aFront.mPorts.mAcquireOrderer;
  orderer.mPorts.mCall = [&aFront](endpoints::EndpointCall aCall,
                                   endpoints::EndpointReply aReply) {
    CallEndpoint(aFront, std::move(aCall), std::move(aReply));
  };
}

auto
RecordDemand(Front& aFront, const Request& aRequest) -> void
{
  const auto& classes = aRequest.mTemplate->mTemplate.mLengthClasses;
  const auto index = aRequest.mFacts.mLengthClass;
  const auto name = index < classes.size() ? classes[index].mName : "";
  aFront.mCurrentDemand[{ aRequest.mFacts.mAccount, name }] +=
    aRequest.mFacts.mPromptTokens;
}

auto
TickOrdering(Front& aFront) -> void
{
  const auto now = aFront.mPorts.mNow();
  RotateDemandWindow(aFront, now);
  const auto isDue = now >= aFront.mNextOrdering;
  if (!isDue || aFront.mIsStopping || !IsCandidate(aFront, now)) {
    return;
  }
  aFront.mNextOrdering = now + kOrderingInterval;
  auto input = placement::PlacementInput{};
  input.mTemplates = ListLocalTemplates(aFront);
  input.mEndpoints = ListLocalEndpoints(aFront);
  input.mDemands = EstimateDomainDemand(aFront, now);
  placement::TickOrderer(aFront.mOrderer, std::move(input));
}

} // namespace cuminslip::requests
