#include "program/internal/metrics.h"

#include "gateway/metricfamily.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace cuminslip::program {

namespace {

using gateway::Counter;
using gateway::CounterMetric;
using gateway::Gauge;
using gateway::GaugeMetric;
using gateway::MakeFamily;
using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

auto
RefusalFamily(const requests::FrontCounters& aCounters) -> MetricFamily
{
  auto family = MakeFamily("cuminslip_refusals_total",
                           "Requests refused or failed, by type.",
                           MetricType::Counter);
  for (auto i = std::size_t{ 0 }; i < aCounters.mRefusals.size(); ++i) {
    auto metric = CounterMetric(static_cast<double>(aCounters.mRefusals.at(i)));
    const auto type = static_cast<requests::RefusalType>(i);
    metric.label.push_back(
      { "type", std::string(requests::RefusalName(type)) });
    family.metric.push_back(std::move(metric));
  }
  return family;
}

auto
EndpointFamily(const requests::FrontStatus& aStanding) -> MetricFamily
{
  constexpr auto kStates = std::array{ std::string_view("active"),
                                       std::string_view("leaving"),
                                       std::string_view("suspect") };
  auto counts = std::array<double, kStates.size()>{};
  for (const auto& view : aStanding.mEndpoints) {
    counts.at(static_cast<std::size_t>(view.mState)) += 1;
  }
  auto family = MakeFamily("cuminslip_endpoints",
                           "Endpoints known to this instance, by state.",
                           MetricType::Gauge);
  for (auto i = std::size_t{ 0 }; i < kStates.size(); ++i) {
    auto metric = GaugeMetric(counts.at(i));
    metric.label.push_back({ "state", std::string(kStates.at(i)) });
    family.metric.push_back(std::move(metric));
  }
  return family;
}

auto
CollectFamilies(const Instance& aInstance) -> std::vector<MetricFamily>
{
  const auto standing = requests::GetFrontStatus(*aInstance.mFront);
  const auto& counters = standing.mCounters;
  const auto status = aInstance.mPeers->Status();
  return { Counter("cuminslip_requests_total",
                   "Requests received from callers.",
                   counters.mReceived),
           Counter("cuminslip_requests_admitted_total",
                   "Requests admitted.",
                   counters.mAdmitted),
           Counter("cuminslip_requests_finished_total",
                   "Requests answered whole.",
                   counters.mFinished),
           Counter("cuminslip_callers_gone_total",
                   "Requests whose caller went away.",
                   counters.mCallerGone),
           Counter("cuminslip_attempts_total",
                   "Requests sent to endpoints, retries included.",
                   counters.mAttempts),
           Counter("cuminslip_retries_total",
                   "Further attempts after a failure.",
                   counters.mRetries),
           Counter("cuminslip_streams_resumed_total",
                   "Broken streams continued by a further attempt.",
                   counters.mResumed),
           Counter("cuminslip_pieces_dropped_total",
                   "Doubled or foreign pieces dropped.",
                   counters.mDroppedPieces),
           Counter("cuminslip_announcements_total",
                   "Announcements received from endpoints.",
                   counters.mAnnouncements),
           Counter("cuminslip_runs_replayed_total",
                   "Resends answered from the record of an earlier run.",
                   counters.mReplayedRuns),
           RefusalFamily(counters),
           EndpointFamily(standing),
           Gauge("cuminslip_requests_waiting",
                 "Requests waiting for an endpoint.",
                 static_cast<double>(standing.mWaiting)),
           Gauge("cuminslip_requests_running",
                 "Requests running at an endpoint.",
                 static_cast<double>(standing.mRunning)),
           Gauge("cuminslip_cancels_open",
                 "Cancels that an endpoint has not confirmed.",
                 static_cast<double>(standing.mOpenCancels)),
           Gauge("cuminslip_oldest_wait_seconds",
                 "Wait so far of the oldest waiting request.",
                 static_cast<double>(standing.mOldestWait.count()) / 1000.0),
           Gauge("cuminslip_overload_level",
                 "Level of load shedding, 0 to 1.",
                 standing.mOverloadLevel),
           Gauge("cuminslip_template_revision",
                 "Highest template revision in force here.",
                 static_cast<double>(status.mRevision)),
           Gauge("cuminslip_isolated",
                 "1 while no quorum of control instances is reached.",
                 status.mIsIsolated ? 1 : 0),
           Gauge("cuminslip_leader",
                 "1 while this instance leads the control log.",
                 status.mIsLeader ? 1 : 0),
           Gauge("cuminslip_ready",
                 "1 while the platform may send callers here.",
                 IsReady(aInstance) ? 1 : 0) };
}

} // namespace

auto
MetricsResponse(const Instance& aInstance) -> wire::HttpResponse
{
  auto text = std::ostringstream{};
  auto families = CollectFamilies(aInstance);
  for (auto& it : gateway::MissingFamilies(aInstance.mPeers->Status())) {
    families.push_back(std::move(it));
  }
  prometheus::TextSerializer{}.Serialize(text, families);
  return { 200,
           { { "content-type", "text/plain; version=0.0.4" } },
           text.str() };
}

} // namespace cuminslip::program
