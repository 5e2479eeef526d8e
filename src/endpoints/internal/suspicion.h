#pragma once

#include "endpoints/registry.h"

/// Computes whether an endpoint is suspect.
namespace cuminslip::endpoints {

/// Time since the endpoint's last announcement known here.
auto
SilenceAt(const EndpointEntry& aEntry, TimePoint aNow) -> Millis;

/// Age of the endpoint's load report.
auto
ReportAgeAt(const EndpointEntry& aEntry, TimePoint aNow) -> Millis;

/// Records that a call is sent. Once mSuspicionLimit consecutive calls have
/// failed, it is a trial call.
auto
RecordSend(const RegistrySettings& aSettings,
           CallRecord& aCalls,
           TimePoint aNow) -> void;

/// Updates aCalls with the result of one call.
auto
RecordCall(const RegistrySettings& aSettings,
           CallRecord& aCalls,
           CallResult aResult,
           TimePoint aNow) -> void;

} // namespace cuminslip::endpoints
