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

auto
MissingFamilies(const PeerStatus& aStatus)
  -> std::vector<prometheus::MetricFamily>
{
  constexpr auto kMillisPerSecond = 1e3;
  const auto seconds = [](Millis aTime) {
    return static_cast<double>(aTime.count()) / kMillisPerSecond;
  };
  return { Gauge("cuminslip_without_document_seconds",
                 "Time for which no template has been in force here.",
                 seconds(aStatus.mWithoutDocument)),
           Gauge("cuminslip_without_leader_seconds",
                 "Time for which this control instance has known no leader.",
                 seconds(aStatus.mWithoutLeader)),
           Gauge("cuminslip_without_log_seconds",
                 "Time for which this control instance has belonged to no "
                 "control log.",
                 seconds(aStatus.mWithoutLog)) };
}

} // namespace cuminslip::gateway
