#pragma once

#include "endpoints/registry.h"

/// Weighs the signs of trouble with an endpoint.
namespace cuminslip::endpoints {

/// Time since the endpoint was last heard of.
auto
SilenceAt(const EndpointEntry& aEntry, TimePoint aNow) -> Millis;

/// Age of the endpoint's load figures.
auto
ReportAgeAt(const EndpointEntry& aEntry, TimePoint aNow) -> Millis;

/// Notes that a call is being sent, which may be the trial of an endpoint whose
/// calls failed.
auto
RecordSend(const RegistrySettings& aSettings,
           CallRecord& aCalls,
           TimePoint aNow) -> void;

/// Updates aCalls with the end of one call.
auto
RecordCall(const RegistrySettings& aSettings,
           CallRecord& aCalls,
           CallResult aResult,
           TimePoint aNow) -> void;

} // namespace cuminslip::endpoints
