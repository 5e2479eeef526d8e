#pragma once

#include "peers/types/peerreports.h"

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <vector>

/// Builds the metric families of one answer to `GET /metrics`. Thread safe.
namespace cuminslip::gateway {

/// Returns a family without metrics.
auto
MakeFamily(std::string aName, std::string aHelp, prometheus::MetricType aType)
  -> prometheus::MetricFamily;

auto
CounterMetric(double aValue) -> prometheus::ClientMetric;

auto
GaugeMetric(double aValue) -> prometheus::ClientMetric;

/// Returns a family with one gauge without labels.
auto
Gauge(std::string aName, std::string aHelp, double aValue)
  -> prometheus::MetricFamily;

/// Returns a family with one counter without labels.
auto
Counter(std::string aName, std::string aHelp, std::uint64_t aValue)
  -> prometheus::MetricFamily;

/// Returns the gauges of what this instance has been without, and for how long.
auto
MissingFamilies(const PeerStatus& aStatus)
  -> std::vector<prometheus::MetricFamily>;

} // namespace cuminslip::gateway
