#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The routing configuration that an operator publishes: routes, services,
/// client accounts with their keys, and limits for callers.
namespace cuminslip::routing {

/// Version assigned by the publisher; the document with the highest is active.
using Version = std::uint64_t;

/// Whether a request may be repeated, and how its answer is delivered.
enum class RouteKind : std::uint8_t
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// The answer is a stream of server-sent events with numeric ids.
  Streaming
};

/// A service and its relative weight in a route.
struct WeightedService
{
  std::string mService;
  std::int64_t mWeight = 1;

  auto operator==(const WeightedService&) const -> bool = default;
};

struct Route
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::NonIdempotent;
  /// Maximum time until the final answer.
  Millis mTimeout{ 0 };
  /// Target latency of the answer, or of the first event of a stream. A later
  /// answer has less value.
  Millis mAnswerTarget{ 0 };
  /// Target for the longest gap between two events of a stream.
  Millis mPauseTarget{ 0 };
  /// 0 is the highest priority.
  int mPriority = 0;
  std::vector<WeightedService> mServices;
  /// Maximum number of endpoints that one request is sent to.
  int mMaxAttempts = 1;
  /// Requests need no key.
  bool mIsPublic = false;
  /// A broken stream may be resumed at another endpoint, after the last event
  /// received.
  bool mIsResumable = false;

  auto operator==(const Route&) const -> bool = default;
};

/// Performance parameters of a model engine with continuous batching.
struct EngineTiming
{
  /// Maximum number of requests in a batch.
  std::int64_t mSlots = 1;
  /// Capacity of the KV cache.
  std::int64_t mKvCacheTokens = 0;
  /// Decoding steps of one pass; an event contains as many tokens.
  std::int64_t mStepsPerPass = 1;
  /// Base duration of a decoding step.
  double mStepMillis = 0;
  /// Added to a step by each request that is decoding.
  double mStepMillisPerDecodingRequest = 0;
  /// Added to a step by each thousand context tokens of decoding requests.
  double mStepMillisPerThousandContextTokens = 0;
  /// Prefill throughput.
  double mPrefilledTokensPerSecond = 0;
  /// Attention time during prefill for a million pairs of a token and an
  /// earlier one.
  double mPrefillMillisPerMillionPairs = 0;
  /// Maximum number of prompt tokens prefilled in one step.
  std::int64_t mChunkTokens = 0;
  /// Added to a step when a prompt's KV cache is spread over several engines.
  double mHopMillis = 0;
  /// Age of the data in an engine's own load report.
  Millis mReportLag{ 0 };

  auto operator==(const EngineTiming&) const -> bool = default;
};

struct Service
{
  std::string mName;
  std::string mHealthPath;
  /// Connections that one endpoint accepts from all instances together.
  std::int64_t mMaxConnections = 0;
  /// Set for services of model engines only.
  std::optional<EngineTiming> mEngine;
  /// Time for which an endpoint is cold after its start.
  Millis mWarmUpTime{ 0 };
  /// Requests per second that a cold endpoint may get from all instances
  /// together; 0 for no bound.
  double mWarmUpRate = 0;

  auto operator==(const Service&) const -> bool = default;
};

/// Size limits and timeouts for the requests of callers.
struct CallerLimits
{
  std::int64_t mMaxHeaderBytes = std::int64_t{ 16 } * 1024;
  std::int64_t mMaxBodyBytes = std::int64_t{ 4 } * 1024 * 1024;
  Millis mHeaderTimeout{ 3000 };
  Millis mIdleTimeout{ 15000 };

  auto operator==(const CallerLimits&) const -> bool = default;
};

struct ClientAccount
{
  AccountId mId;
  std::vector<std::string> mKeys;
  /// Overrides the priority of the route, if set.
  std::optional<int> mPriority;

  auto operator==(const ClientAccount&) const -> bool = default;
};

struct RoutingDocument
{
  Version mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<Service> mServices;
  /// Requests on routes that are not public need a key of one of these. Without
  /// a list no request needs a key; with an empty one no key is accepted.
  std::optional<std::vector<ClientAccount>> mAccounts;
  CallerLimits mLimits;

  auto operator==(const RoutingDocument&) const -> bool = default;
};

} // namespace cuminslip::routing
