#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

/// Identifiers, each of its own type so that none is passed for another.
namespace cuminslip {

/// A textual identifier. Tag tells identifiers of different things apart.
template<class Tag>
struct Id
{
  std::string mValue;

  auto operator<=>(const Id&) const = default;
  auto operator==(const Id&) const -> bool = default;
};

using InstanceId = Id<struct InstanceTag>;
using EndpointId = Id<struct EndpointTag>;
using AccountId = Id<struct AccountTag>;
using FailureDomainId = Id<struct FailureDomainTag>;
using RegionId = Id<struct RegionTag>;
using RequestId = Id<struct RequestTag>;
using AttemptId = Id<struct AttemptTag>;
using HoldingId = Id<struct HoldingTag>;
using IdempotencyKey = Id<struct IdempotencyTag>;
using ModelName = Id<struct ModelTag>;
using ModelVersion = Id<struct ModelVersionTag>;
using WorkKindName = Id<struct WorkKindTag>;

/// Number of a process start of one instance or endpoint; a later start has a
/// higher one.
using Incarnation = std::uint64_t;

/// Position of an accepted change in the control log; 0 is before the first.
using Revision = std::uint64_t;

} // namespace cuminslip

template<class Tag>
struct std::hash<cuminslip::Id<Tag>>
{
  auto operator()(const cuminslip::Id<Tag>& aId) const noexcept -> std::size_t
  {
    return std::hash<std::string>{}(aId.mValue);
  }
};
