#pragma once

#include "policy/types/endpointview.h"
#include "policy/types/requestfacts.h"
#include "templates/types/template.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// Checks whether an endpoint is permitted to serve a request.
namespace cuminslip {

enum class Permission : std::uint8_t
{
  Permitted,
  WrongKind,
  WrongRole,
  ModelNotLoaded,
  FailureDomainNotPermitted,
  RegionNotPermitted,
  Leaving,
  Suspect,
  /// The template in force now names another model or version.
  ModelNotInForce,
  WorkKindNotInForce,
  TemplateWithdrawn
};

/// Returns the name used in logs. Thread safe.
auto
ToText(Permission aPermission) -> std::string_view;

/// Checks failure domain, region, state, kind, role, model and version. If the
/// template names only failure domains or only regions, the other is not
/// checked; if it names neither, nothing is permitted. Thread safe.
auto
CheckPermission(const EndpointView& aEndpoint,
                const RequestFacts& aRequest,
                const Template& aTemplate) -> Permission;

/// Repeats the check immediately before the request is sent. aInForce is the
/// template in force at that time; empty if the account no longer has one.
/// Thread safe.
auto
RecheckPermission(const EndpointView& aEndpoint,
                  const RequestFacts& aRequest,
                  const std::optional<TemplateInForce>& aInForce) -> Permission;

} // namespace cuminslip
