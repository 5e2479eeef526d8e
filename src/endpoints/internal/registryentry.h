#pragma once

#include "endpoints/registry.h"

/// Entries of the registry.
namespace cuminslip::endpoints {

/// Length of the spans of time in which sent work is counted.
inline constexpr auto kSentSpanLength = Millis(50);

auto
MakeChange(EndpointChangeKind aKind,
           const Announcement& aAnnouncement,
           std::string aReason) -> EndpointChange;

/// The entry of aEndpoint; null when it is not known.
auto
FindEntry(Registry& aRegistry, const EndpointId& aEndpoint) -> EndpointEntry*;

} // namespace cuminslip::endpoints
