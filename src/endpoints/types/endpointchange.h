#pragma once

#include "base/types/ids.h"

#include <cstdint>
#include <string>

/// Changes of an endpoint's state as known to an instance.
namespace cuminslip::endpoints {

enum class EndpointChangeKind : std::uint8_t
{
  Joined,
  Restarted,
  Leaving,
  Returned,
  Suspected,
  Recovered,
  AddressTakenOver,
  DrainStarted,
  DrainEnded,
  CacheGap,
  Forgotten,
  Refused
};

/// One change, with its reason for the log.
struct EndpointChange
{
  EndpointChangeKind mKind = EndpointChangeKind::Joined;
  EndpointId mEndpoint;
  Incarnation mIncarnation = 0;
  std::string mReason;

  auto operator==(const EndpointChange&) const -> bool = default;
};

} // namespace cuminslip::endpoints
