#include "gateway/internal/gatewaystate.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace cuminslip::gateway {

namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

auto
Counter(std::string aName, std::string aHelp, std::uint64_t aValue)
  -> MetricFamily
{
  auto family = MetricFamily{};
  family.name = std::move(aName);
  family.help = std::move(aHelp);
  family.type = MetricType::Counter;
  auto metric = prometheus::ClientMetric{};
  metric.counter.value = static_cast<double>(aValue);
  family.metric.push_back(std::move(metric));
  return family;
}

} // namespace

auto
MetricsText(const Gateway& aGateway) -> std::string
{
  auto families = std::vector<MetricFamily>{};
  if (aGateway.mForwarder) {
    const auto& counters = forwarding::CountersOf(*aGateway.mForwarder);
    const auto& pool = wire::CountersOf(*aGateway.mPool);
    families = {
      Counter("cuminslip_forward_requests_total",
              "Requests taken to be passed on.",
              counters.mRequests),
      Counter("cuminslip_forward_delivered_total",
              "Requests whose caller got an endpoint's whole answer.",
              counters.mDelivered),
      Counter("cuminslip_forward_refused_total",
              "Requests refused before they ran.",
              counters.mRefused),
      Counter("cuminslip_forward_failed_total",
              "Requests that failed after they may have run.",
              counters.mFailed),
      Counter("cuminslip_forward_callers_gone_total",
              "Requests whose caller left before the end.",
              counters.mCallersGone),
      Counter("cuminslip_forward_sends_total",
              "Requests sent to an endpoint, repeats included.",
              counters.mSends),
      Counter("cuminslip_forward_repeats_total",
              "Requests sent to one more endpoint.",
              counters.mRepeats),
      Counter("cuminslip_forward_resumed_total",
              "Streams that went on at another endpoint.",
              counters.mResumed),
      Counter("cuminslip_pool_connections_opened_total",
              "Connections opened to endpoints.",
              pool.mConnectionsOpened),
      Counter("cuminslip_pool_foreign_answers_total",
              "Answers dropped because they belong to another request.",
              pool.mForeignAnswers),
      Counter("cuminslip_pool_stray_bytes_total",
              "Bytes dropped that belong to no request.",
              pool.mStrayBytes)
    };
  }
  auto text = std::ostringstream{};
  prometheus::TextSerializer{}.Serialize(text, families);
  return text.str();
}

} // namespace cuminslip::gateway
