#include "gateway/internal/gatewaystate.h"
#include "gateway/metricfamily.h"
#include "routing/routing.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <sstream>

namespace cuminslip::gateway {

namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

auto
ToClientMetric(const forwarding::TimeHistogram& aHistogram)
  -> prometheus::ClientMetric
{
  constexpr auto kMillisPerSecond = 1e3;
  auto metric = prometheus::ClientMetric{};
  auto& histogram = metric.histogram;
  for (auto n = std::size_t{ 0 }; n < aHistogram.mCounts.size(); ++n) {
    histogram.sample_count += aHistogram.mCounts[n];
    const auto isLast = n == forwarding::kTimeBounds.size();
    histogram.bucket.push_back(
      { histogram.sample_count,
        isLast ? std::numeric_limits<double>::infinity()
               : static_cast<double>(forwarding::kTimeBounds[n].count()) /
                   kMillisPerSecond });
  }
  histogram.sample_sum =
    static_cast<double>(aHistogram.mSum.count()) / kMillisPerSecond;
  return metric;
}

auto
RequestTimes(const forwarding::ForwardTimes& aTimes) -> MetricFamily
{
  auto family =
    MakeFamily("cuminslip_forward_request_seconds",
               "Time from the whole request to the end of its answer.",
               MetricType::Histogram);
  for (const auto& [key, histogram] : aTimes.mWhole) {
    const auto& [kind, outcome] = key;
    auto metric = ToClientMetric(histogram);
    metric.label = { { "kind",
                       kind ? std::string(routing::ToText(*kind)) : "none" },
                     { "outcome", std::string(forwarding::ToText(outcome)) } };
    family.metric.push_back(std::move(metric));
  }
  return family;
}

auto
FirstEventTimes(const forwarding::ForwardTimes& aTimes) -> MetricFamily
{
  auto family =
    MakeFamily("cuminslip_forward_first_event_seconds",
               "Time from the whole request to the first event of its stream.",
               MetricType::Histogram);
  family.metric.push_back(ToClientMetric(aTimes.mFirstEvent));
  return family;
}

auto
FailureReasons(const forwarding::ForwardTimes& aTimes) -> MetricFamily
{
  auto family =
    MakeFamily("cuminslip_forward_ended_total",
               "Requests that this instance ended itself, by reason.",
               MetricType::Counter);
  for (const auto& [kind, count] : aTimes.mFailures) {
    auto metric = CounterMetric(static_cast<double>(count));
    metric.label = { { "reason", std::string(forwarding::ToText(kind)) } };
    family.metric.push_back(std::move(metric));
  }
  return family;
}

/// Returns the metrics of what is known of endpoints and the way to them.
auto
StatementMetrics(const forwarding::Forwarder& aForwarder)
  -> std::vector<MetricFamily>
{
  const auto& counters = forwarding::CountersOf(aForwarder);
  return {
    Counter("cuminslip_forward_limited_answers_total",
            "Answers whose endpoint stated a request limit.",
            counters.mLimitedAnswers),
    Counter("cuminslip_forward_limited_sends_total",
            "Requests sent to endpoints that had stated a limit.",
            counters.mLimitedSends),
    Counter("cuminslip_forward_limit_refusals_total",
            "Requests refused because of what endpoints had stated.",
            counters.mLimitRefusals),
    Counter("cuminslip_forward_pauses_total",
            "Answers by which endpoints asked for time without requests.",
            counters.mPausesAsked),
    Counter("cuminslip_forward_malformed_statements_total",
            "Answers with an unreadable statement about their endpoint.",
            counters.mMalformedStatements),
    Gauge("cuminslip_forward_leaving_endpoints",
          "Endpoints that stated in an answer that they leave.",
          static_cast<double>(forwarding::CountLeavingEndpoints(aForwarder))),
    Gauge("cuminslip_forward_limited_endpoints",
          "Endpoints with a request limit in force.",
          static_cast<double>(forwarding::CountLimitedEndpoints(aForwarder))),
    Gauge("cuminslip_forward_cut_off",
          "1 while this instance reaches no endpoint.",
          forwarding::IsCutOff(aForwarder) ? 1 : 0),
    Counter("cuminslip_forward_relayed_total",
            "Requests sent through other instances.",
            counters.mRelayed),
    Counter("cuminslip_forward_relays_accepted_total",
            "Requests of other instances served here.",
            counters.mRelaysAccepted),
    Counter("cuminslip_forward_relays_refused_total",
            "Requests of other instances refused at once.",
            counters.mRelaysRefused),
    Gauge("cuminslip_forward_suspect_requests",
          "Requests and parts of prompts with a crash of an endpoint against "
          "them.",
          static_cast<double>(forwarding::CountSuspects(aForwarder))),
    Gauge("cuminslip_forward_harmful_requests",
          "Requests and parts of prompts that end endpoints; they are refused.",
          static_cast<double>(forwarding::CountHarmful(aForwarder)))
  };
}

/// Returns the metrics of what happens under too much load, and to endpoints
/// that must be spared.
auto
LoadMetrics(const forwarding::Forwarder& aForwarder)
  -> std::vector<MetricFamily>
{
  const auto& counters = forwarding::CountersOf(aForwarder);
  return {
    Gauge("cuminslip_forward_evacuated_endpoints",
          "Endpoints that get no requests since their failure domain is "
          "evacuated.",
          static_cast<double>(forwarding::CountEvacuatedEndpoints(aForwarder))),
    Gauge("cuminslip_forward_cold_endpoints",
          "Endpoints that get a limited rate since they are cold.",
          static_cast<double>(forwarding::CountColdEndpoints(aForwarder))),
    Counter("cuminslip_forward_cold_sends_total",
            "Requests sent to cold endpoints.",
            counters.mColdSends),
    Counter("cuminslip_forward_warm_up_refusals_total",
            "Requests refused while cold endpoints accepted none from this "
            "instance.",
            counters.mWarmUpRefusals),
    Counter("cuminslip_forward_deferred_total",
            "Short prompts that waited since no engine could answer in time.",
            counters.mDeferred),
    Counter("cuminslip_forward_deferred_refusals_total",
            "Deferred prompts refused before their callers would leave.",
            counters.mDeferredRefused),
    Counter("cuminslip_forward_sent_late_total",
            "Prompts sent to an engine after their answer target had passed.",
            counters.mSentLate),
    Counter("cuminslip_forward_forecast_refusals_at_once_total",
            "Long prompts refused on arrival by the forecast of free engines.",
            counters.mRefusedAtOnce),
    Counter("cuminslip_forward_forecast_refusals_after_wait_total",
            "Long prompts refused by that forecast after they had waited.",
            counters.mRefusedWaiting),
    Counter("cuminslip_forward_slot_claims_lost_total",
            "Claims of a free slot that another instance was granted.",
            counters.mSlotClaimsLost)
  };
}

/// Returns the metrics of the memory that is held for callers.
auto
MemoryMetrics(const Gateway& aGateway) -> std::vector<MetricFamily>
{
  const auto use = CountMemory(aGateway.mMemory);
  const auto& counters = wire::CountersOf(*aGateway.mMemory.mBudget);
  auto bytes = MakeFamily("cuminslip_memory_bytes",
                          "Bytes held for callers, by kind.",
                          MetricType::Gauge);
  for (const auto& [kind, value] : { std::pair("received", use.mReceived),
                                     std::pair("bodies", use.mBodies),
                                     std::pair("answers", use.mAnswers),
                                     std::pair("unsent", use.mUnsent) }) {
    auto metric = prometheus::ClientMetric{};
    metric.gauge.value = static_cast<double>(value);
    metric.label = { { "kind", kind } };
    bytes.metric.push_back(std::move(metric));
  }
  return { std::move(bytes),
           Gauge("cuminslip_memory_bound_bytes",
                 "Most bytes held for callers; 0 for no bound.",
                 static_cast<double>(aGateway.mMemory.mRules.mMaxBytes)),
           Counter("cuminslip_memory_refusals_total",
                   "Requests refused since their bodies did not fit.",
                   aGateway.mMemory.mRefusals),
           Counter("cuminslip_connections_evicted_total",
                   "Clients' connections closed to make room for others.",
                   counters.mEvicted),
           Counter("cuminslip_connections_refused_total",
                   "Clients' connections closed at once by want of room.",
                   counters.mRefusedConnections) };
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
      Counter("cuminslip_pool_unattributed_answers_total",
              "Answers without id given up as late copies of other answers.",
              pool.mUnattributedAnswers),
      Counter("cuminslip_pool_stray_bytes_total",
              "Bytes dropped that belong to no request.",
              pool.mStrayBytes)
    };
    for (const auto metricsOf : { StatementMetrics, LoadMetrics }) {
      for (auto& it : metricsOf(*aGateway.mForwarder)) {
        families.push_back(std::move(it));
      }
    }
    for (auto& it : MemoryMetrics(aGateway)) {
      families.push_back(std::move(it));
    }
    const auto& times = forwarding::TimesOf(*aGateway.mForwarder);
    families.push_back(RequestTimes(times));
    families.push_back(FirstEventTimes(times));
    families.push_back(FailureReasons(times));
  }
  for (auto& it : MissingFamilies(aGateway.mPeers->Status())) {
    families.push_back(std::move(it));
  }
  auto text = std::ostringstream{};
  prometheus::TextSerializer{}.Serialize(text, families);
  return text.str();
}

} // namespace cuminslip::gateway
