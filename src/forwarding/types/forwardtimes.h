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

/// Times of requests for metrics. Labels are bounded: kinds of routes, outcomes
/// and reasons, never a request, an account or an endpoint.
namespace cuminslip::forwarding {

/// Upper bounds of the buckets of times: three a decade around the answer
/// targets that documents state, 50 ms to a few seconds, up to the longest
/// allowance of a minute.
inline constexpr auto kTimeBounds =
  std::array{ Millis(10),   Millis(25),    Millis(50),    Millis(100),
              Millis(250),  Millis(500),   Millis(1000),  Millis(2500),
              Millis(5000), Millis(10000), Millis(25000), Millis(60000) };

/// How many times fell into each bucket; the last holds what is over all
/// bounds.
struct TimeHistogram
{
  std::array<std::uint64_t, kTimeBounds.size() + 1> mCounts{};
  Millis mSum{ 0 };

  auto operator==(const TimeHistogram&) const -> bool = default;
};

/// Counts a time. One on a bound belongs to the bucket below it.
auto
AddTime(TimeHistogram& aHistogram, Millis aTime) -> void;

/// How a request ended.
enum class ForwardOutcome : std::uint8_t
{
  /// The caller got an endpoint's whole answer.
  Delivered,
  /// It has not run.
  Refused,
  /// It may have run.
  Failed,
  /// Its stream ended early.
  Cut,
  CallerGone
};

/// Name for metrics. Thread safe.
auto
ToText(ForwardOutcome aOutcome) -> std::string_view;

struct ForwardTimes
{
  /// No kind when the request was refused before its route was known.
  using KindAndOutcome =
    std::pair<std::optional<routing::RouteKind>, ForwardOutcome>;

  /// From the whole request to the end of its answer.
  std::map<KindAndOutcome, TimeHistogram> mWhole;
  /// From the whole request to the first event of its stream.
  TimeHistogram mFirstEvent;
  /// Requests that this instance ended itself, by the reason told.
  std::map<FailureKind, std::uint64_t> mFailures;

  auto operator==(const ForwardTimes&) const -> bool = default;
};

} // namespace cuminslip::forwarding
