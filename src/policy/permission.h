#pragma once

#include "policy/types/endpointview.h"
#include "policy/types/requestfacts.h"
#include "templates/types/template.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// Whether an endpoint may serve a request at all.
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

/// Name for logs. Thread safe.
auto
ToText(Permission aPermission) -> std::string_view;

/// Checks place, state, kind, role, model and version. Where the template names
/// only failure domains or only regions, the other is not checked; where it
/// names neither, nothing is permitted. Thread safe.
auto
CheckPermission(const EndpointView& aEndpoint,
                const RequestFacts& aRequest,
                const Template& aTemplate) -> Permission;

/// Checks again right before the request is sent, against the template then in
/// force; none when the account has none any more. Thread safe.
auto
RecheckPermission(const EndpointView& aEndpoint,
                  const RequestFacts& aRequest,
                  const std::optional<TemplateInForce>& aInForce) -> Permission;

} // namespace cuminslip
