#pragma once

#include "base/clock.h"
#include "forwarding/types/forwardrequest.h"
#include "routing/types/routingdocument.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

/// Latency metrics of requests. Label values are bounded: route kinds, outcomes
/// and reasons, never a request, a client account or an endpoint.
namespace cuminslip::forwarding {

/// Upper bounds of the histogram buckets: three per decade around the usual
/// answer targets, 50 ms to a few seconds, and up to the longest allowance of a
/// minute.
inline constexpr auto kTimeBounds =
  std::array{ Millis(10),   Millis(25),    Millis(50),    Millis(100),
              Millis(250),  Millis(500),   Millis(1000),  Millis(2500),
              Millis(5000), Millis(10000), Millis(25000), Millis(60000) };

/// Number of values in each bucket; the last bucket counts values above all
/// bounds.
struct TimeHistogram
{
  std::array<std::uint64_t, kTimeBounds.size() + 1> mCounts{};
  Millis mSum{ 0 };

  auto operator==(const TimeHistogram&) const -> bool = default;
};

/// Adds a value. A value equal to a bound counts in the bucket below it.
auto
AddTime(TimeHistogram& aHistogram, Millis aTime) -> void;

/// How a request ended.
enum class ForwardOutcome : std::uint8_t
{
  /// The caller received the complete answer of an endpoint.
  Delivered,
  /// Refused before it ran.
  Refused,
  /// Failed after it may have run.
  Failed,
  /// Its stream was aborted after it had started.
  Cut,
  /// The caller disconnected.
  CallerGone
};

/// Returns the name used in metrics. Thread safe.
auto
ToText(ForwardOutcome aOutcome) -> std::string_view;

struct ForwardTimes
{
  /// The kind is empty when the request ended before its route was known.
  using KindAndOutcome =
    std::pair<std::optional<routing::RouteKind>, ForwardOutcome>;

  /// From receipt of the complete request to the end of its answer.
  std::map<KindAndOutcome, TimeHistogram> mWhole;
  /// From receipt of the complete request to the first event of its stream.
  TimeHistogram mFirstEvent;
  /// Requests that this instance ended itself, by reason.
  std::map<FailureKind, std::uint64_t> mFailures;

  auto operator==(const ForwardTimes&) const -> bool = default;
};

} // namespace cuminslip::forwarding
