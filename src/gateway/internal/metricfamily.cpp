#include "gateway/metricfamily.h"

namespace cuminslip::gateway {

auto
MakeFamily(std::string aName, std::string aHelp, prometheus::MetricType aType)
  -> prometheus::MetricFamily
{
  auto family = prometheus::MetricFamily{};
  family.name = std::move(aName);
  family.help = std::move(aHelp);
  family.type = aType;
  return family;
}

auto
CounterMetric(double aValue) -> prometheus::ClientMetric
{
  auto metric = prometheus::ClientMetric{};
  metric.counter.value = aValue;
  return metric;
}

auto
GaugeMetric(double aValue) -> prometheus::ClientMetric
{
  auto metric = prometheus::ClientMetric{};
  metric.gauge.value = aValue;
  return metric;
}

auto
Gauge(std::string aName, std::string aHelp, double aValue)
  -> prometheus::MetricFamily
{
  auto family = MakeFamily(
    std::move(aName), std::move(aHelp), prometheus::MetricType::Gauge);
  family.metric.push_back(GaugeMetric(aValue));
  return family;
}

auto
Counter(std::string aName, std::string aHelp, std::uint64_t aValue)
  -> prometheus::MetricFamily
{
  auto family = MakeFamily(
    std::move(aName), std::move(aHelp), prometheus::MetricType::Counter);
  family.metric.push_back(CounterMetric(static_cast<double>(aValue)));
  return family;
}

} // namespace cuminslip::gateway
