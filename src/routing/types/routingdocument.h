#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What an operator states for all client accounts together: which service a
/// request goes to, how patient it is, and which keys are good.
namespace cuminslip::routing {

/// Number that the publisher gave a document; the highest is in force.
using Version = std::uint64_t;

/// What may be repeated, and how the answer comes.
enum class RouteKind : std::uint8_t
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// The answer is a stream of numbered events.
  Streaming
};

/// A service and its share of a route's requests.
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
  /// Longest time until the final answer.
  Millis mTimeout{ 0 };
  /// Time within which the answer, or its first event, has its full value.
  Millis mAnswerTarget{ 0 };
  /// Longest pause between events for which a stream is on time.
  Millis mPauseTarget{ 0 };
  /// 0 is the highest.
  int mPriority = 0;
  std::vector<WeightedService> mServices;
  /// Most endpoints that one request may be sent to.
  int mMaxAttempts = 1;
  /// Needs no key.
  bool mIsPublic = false;
  /// A stream may go on at another endpoint after the last event received.
  bool mIsResumable = false;

  auto operator==(const Route&) const -> bool = default;
};

/// The published timing of a model engine's batches.
struct EngineTiming
{
  std::int64_t mSlots = 1;
  std::int64_t mKvCacheTokens = 0;
  /// Steps of a pass that writes; an event holds as many tokens.
  std::int64_t mStepsPerPass = 1;
  double mStepMillis = 0;
  /// Added to a step by each request that is writing.
  double mStepMillisPerDecodingRequest = 0;
  /// Added to a step by each thousand tokens of a writer's context.
  double mStepMillisPerThousandContextTokens = 0;
  double mPrefilledTokensPerSecond = 0;
  /// Reading time of a million pairs of a token and an earlier one.
  double mPrefillMillisPerMillionPairs = 0;
  /// Most prompt tokens read in one step.
  std::int64_t mChunkTokens = 0;
  /// Added to a step where a prompt's memory is on several engines.
  double mHopMillis = 0;
  /// Age of an engine's own report when it is given.
  Millis mReportLag{ 0 };

  auto operator==(const EngineTiming&) const -> bool = default;
};

struct Service
{
  std::string mName;
  std::string mHealthPath;
  /// Connections that an endpoint accepts from all instances together.
  std::int64_t mMaxConnections = 0;
  /// Present for model engines.
  std::optional<EngineTiming> mEngine;

  auto operator==(const Service&) const -> bool = default;
};

/// What callers may send, and how long they may take.
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
  /// Goes before the route's priority, if stated.
  std::optional<int> mPriority;

  auto operator==(const ClientAccount&) const -> bool = default;
};

struct RoutingDocument
{
  Version mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<Service> mServices;
  std::vector<ClientAccount> mAccounts;
  CallerLimits mLimits;

  auto operator==(const RoutingDocument&) const -> bool = default;
};

} // namespace cuminslip::routing
