#pragma once

#include "program/instance.h"

namespace cuminslip::program {

/// The metrics of docs/METRICS.md in the text format.
auto
MetricsResponse(const Instance& aInstance) -> wire::HttpResponse;

} // namespace cuminslip::program
