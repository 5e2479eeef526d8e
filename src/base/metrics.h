#pragma once

#include <string_view>

/// Names of metrics. Each is declared once, as an inline constant named
/// k...Metric; docs/METRICS.md lists them and a test compares the two.
namespace cuminslip {

/// A metric's name, as "cuminslip_requests_total", and its help text.
struct MetricName
{
  std::string_view mName;
  std::string_view mHelp;
};

} // namespace cuminslip
