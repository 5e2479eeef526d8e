#include "policy/permission.h"

#include <algorithm>

namespace cuminslip {

namespace {

template<class Item>
auto
IsAllowed(const std::vector<Item>& aAllowed, const Item& aItem) -> bool
{
  return aAllowed.empty() ||
         std::find(aAllowed.begin(), aAllowed.end(), aItem) != aAllowed.end();
}

auto
CheckService(const EndpointView& aEndpoint, const RequestFacts& aRequest)
  -> Permission
{
  const auto isServed = aEndpoint.mKind == EndpointKind::PlainService &&
                        aEndpoint.mService == *aRequest.mService;
  return isServed ? Permission::Permitted : Permission::WrongKind;
}

auto
CheckEngine(const EndpointView& aEndpoint, const RequestFacts& aRequest)
  -> Permission
{
  if (aEndpoint.mKind != EndpointKind::ModelEngine) {
    return Permission::WrongKind;
  }
  if (aEndpoint.mRole == EngineRole::Prefill) {
    return Permission::WrongRole;
  }
  const auto hasModel =
    std::any_of(aEndpoint.mModels.begin(),
                aEndpoint.mModels.end(),
                [&](const LoadedModel& aLoaded) {
                  return aLoaded.mModel == aRequest.mModel &&
                         aLoaded.mVersion == aRequest.mVersion;
                });
  return hasModel ? Permission::Permitted : Permission::ModelNotLoaded;
}

} // namespace

auto
ToText(Permission aPermission) -> std::string_view
{
  switch (aPermission) {
    case Permission::Permitted:
      return "permitted";
    case Permission::WrongKind:
      return "wrong_kind";
    case Permission::WrongRole:
      return "wrong_role";
    case Permission::ModelNotLoaded:
      return "model_not_loaded";
    case Permission::FailureDomainNotPermitted:
      return "failure_domain_not_permitted";
    case Permission::RegionNotPermitted:
      return "region_not_permitted";
    case Permission::Leaving:
      return "leaving";
    case Permission::Suspect:
      return "suspect";
    case Permission::ModelNotInForce:
      return "model_not_in_force";
    case Permission::WorkKindNotInForce:
      return "work_kind_not_in_force";
    case Permission::TemplateWithdrawn:
      return "template_withdrawn";
  }
  return "unknown";
}

auto
CheckPermission(const EndpointView& aEndpoint,
                const RequestFacts& aRequest,
                const Template& aTemplate) -> Permission
{
  const auto served = aRequest.mService ? CheckService(aEndpoint, aRequest)
                                        : CheckEngine(aEndpoint, aRequest);
  if (served != Permission::Permitted) {
    return served;
  }
  const auto namesNoPlace =
    aTemplate.mRegions.empty() && aTemplate.mFailureDomains.empty();
  if (namesNoPlace || !IsAllowed(aTemplate.mRegions, aEndpoint.mRegion)) {
    return Permission::RegionNotPermitted;
  }
  if (!IsAllowed(aTemplate.mFailureDomains, aEndpoint.mFailureDomain)) {
    return Permission::FailureDomainNotPermitted;
  }
  if (aEndpoint.mState == EndpointState::Leaving) {
    return Permission::Leaving;
  }
  if (aEndpoint.mState == EndpointState::Suspect) {
    return Permission::Suspect;
  }
  return Permission::Permitted;
}

auto
RecheckPermission(const EndpointView& aEndpoint,
                  const RequestFacts& aRequest,
                  const std::optional<TemplateInForce>& aInForce) -> Permission
{
  if (!aInForce) {
    return Permission::TemplateWithdrawn;
  }
  const auto& current = aInForce->mTemplate;
  const auto isModelWork = !aRequest.mService.has_value();
  if (isModelWork && (current.mModel != aRequest.mModel ||
                      current.mVersion != aRequest.mVersion)) {
    return Permission::ModelNotInForce;
  }
  const auto kind = std::find_if(
    current.mWorkKinds.begin(),
    current.mWorkKinds.end(),
    [&](const WorkKind& aKind) { return aKind.mName == aRequest.mKind; });
  if (kind == current.mWorkKinds.end() || kind->mService != aRequest.mService) {
    return Permission::WorkKindNotInForce;
  }
  return CheckPermission(aEndpoint, aRequest, current);
}

} // namespace cuminslip
