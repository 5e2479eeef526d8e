#pragma once

#include "endpoints/registry.h"

/// Helpers for entries of the registry.
namespace cuminslip::endpoints {

/// Length of the time spans in which sent work is counted.
inline constexpr auto kSentSpanLength = Millis(50);

auto
MakeChange(EndpointChangeKind aKind,
           const Announcement& aAnnouncement,
           std::string aReason) -> EndpointChange;

/// The entry of aEndpoint; null if it is unknown.
auto
FindEntry(Registry& aRegistry, const EndpointId& aEndpoint) -> EndpointEntry*;

} // namespace cuminslip::endpoints
