#pragma once

#include "policy/lanes.h"
#include "policy/permission.h"
#include "policy/prediction.h"
#include "policy/prefixknowledge.h"
#include "policy/types/endpointview.h"
#include "policy/types/requestfacts.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

/// Chooses the endpoint for a request.
namespace cuminslip {

enum class ChoiceRule : std::uint8_t
{
  /// Lowest cost, computed from predicted time, cached prefix and distance.
  LeastCost,
  RoundRobin,
  /// Fewest running streams sent by this instance.
  LeastOutstanding,
  /// Fewest streams in the last load report; ignores requests sent since.
  LeastReportedLoad
};

struct ChoiceSettings
{
  ChoiceRule mRule = ChoiceRule::LeastCost;
  /// Randomly sampled endpoints, in addition to those with a cached prefix; 0
  /// compares all endpoints.
  std::size_t mSampleCount = 8;
  /// Maximum number of endpoints with a cached prefix to compare.
  std::size_t mHolderCount = 4;
  /// Number of engines that all instances prefer for prompts with the same
  /// first prefix, so that only a few engines cache it.
  std::size_t mPreferredCount = 2;
  /// Fraction of the prefill time subtracted from the cost of such an engine.
  double mPreferredDiscount = 0.5;
  /// Costs within this fraction of the lowest one count as equal.
  double mTieShare = 0.1;
  /// Added to the lowest cost before mTieShare is applied.
  Micros mTieFloor{ 2000 };
  Micros mOtherDomainCost{ 2000 };
  Micros mOtherRegionCost{ 60000 };
  /// Cost of a call that fails; weighted by the expected failure rate.
  Micros mFailureCost{ 1000000 };
  /// Cost if the engine is estimated to have too little free KV memory now.
  Micros mNoMemoryCost{ 2000000 };
  /// Cost of prefilling a long prompt on a shared engine.
  Micros mOverflowCost{ 250000 };
  /// Fraction of evaluations of an endpoint that ignore its past failures and
  /// slowness, so that a recovered endpoint is detected.
  double mExploreShare = 0.02;
  /// Only requests with at most this many prompt tokens are used for that.
  std::int64_t mExploreTokens = 8192;
  PredictionSettings mPrediction;
  LaneSettings mLanes;

  auto operator==(const ChoiceSettings&) const -> bool = default;
};

enum class ChoiceReason : std::uint8_t
{
  LeastCost,
  LongestPrefix,
  OnlyCandidate,
  RoundRobin,
  LeastOutstanding,
  LeastReportedLoad,
  /// No endpoint is known.
  NoEndpoint,
  /// No endpoint in the permitted failure domains and regions serves this
  /// model, version or service.
  NonePermitted,
  /// Permitted endpoints exist, but are leaving, suspect, ejected or already
  /// tried.
  NoneAvailable,
  /// The request needs more tokens than any engine has KV memory for; see
  /// splitplan.h.
  TooLarge,
  /// No engine may begin to prefill this long prompt now; see CheckLane.
  LaneFull
};

/// Returns the name used in logs. Thread safe.
auto
ToText(ChoiceReason aReason) -> std::string_view;

/// Returns true if waiting may resolve the reason. Thread safe.
auto
MayResolveByWaiting(ChoiceReason aReason) -> bool;

/// An endpoint that was compared, with its predictions and cost.
struct ConsideredEndpoint
{
  /// Position in ChoiceInput::mEndpoints.
  std::size_t mIndex = 0;
  CachedPrefix mCached;
  PredictedTimes mTimes;
  LaneVerdict mLane = LaneVerdict::Open;
  /// Priority to pass to the engine: 0 urgent, 1 normal, 2 patient.
  int mEnginePriority = 1;
  bool mIsPreferred = false;
  bool mIsExplored = false;
  Micros mDistance{ 0 };
  Micros mCost{ 0 };

  auto operator==(const ConsideredEndpoint&) const -> bool = default;
};

/// Number of endpoints that were excluded, by cause.
struct RuledOut
{
  std::size_t mNotPermitted = 0;
  std::size_t mLeaving = 0;
  std::size_t mSuspect = 0;
  std::size_t mEjected = 0;
  std::size_t mTried = 0;
  std::size_t mTooSmall = 0;
  std::size_t mLaneFull = 0;

  auto operator==(const RuledOut&) const -> bool = default;
};

struct EndpointChoice
{
  /// Position in ChoiceInput::mEndpoints; empty if no endpoint can take the
  /// request now.
  std::optional<std::size_t> mIndex;
  ChoiceReason mReason = ChoiceReason::NoEndpoint;
  /// The chosen endpoint first, then the others by ascending cost.
  std::vector<ConsideredEndpoint> mConsidered;
  RuledOut mRuledOut;

  auto operator==(const EndpointChoice&) const -> bool = default;
};

struct ChoiceInput
{
  const RequestFacts& mRequest;
  const Template& mTemplate;
  const OwnPlace& mOwnPlace;
  std::span<const EndpointView> mEndpoints;
  /// Endpoints at which earlier attempts failed.
  std::span<const EndpointId> mTried;
  /// May be null if nothing is known about the engines' caches.
  const PrefixKnowledge* mPrefixes = nullptr;
  TimePoint mNow;
};

/// State that the baseline rules keep between choices.
struct ChoiceState
{
  std::uint64_t mTurn = 0;
};

/// Chooses an endpoint by the configured rule. Precondition: AssignLanes was
/// called for the endpoints. aState and aRandom must not be shared between
/// threads.
auto
ChooseEndpoint(const ChoiceInput& aInput,
               const ChoiceSettings& aSettings,
               ChoiceState& aState,
               std::mt19937_64& aRandom) -> EndpointChoice;

} // namespace cuminslip
