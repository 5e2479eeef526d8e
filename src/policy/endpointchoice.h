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
  /// Least cost from predicted time, cached prefix and distance.
  LeastCost,
  RoundRobin,
  /// Fewest streams of this instance.
  LeastOutstanding,
  /// Fewest streams in the last report, whatever was sent since.
  LeastReportedLoad
};

struct ChoiceSettings
{
  ChoiceRule mRule = ChoiceRule::LeastCost;
  /// Endpoints drawn at random besides those with a cached prefix; 0 looks at
  /// all.
  std::size_t mSampleCount = 8;
  /// Holders of a cached prefix looked at.
  std::size_t mHolderCount = 4;
  /// Engines that all instances prefer for prompts of the same beginning, so
  /// that few engines cache it.
  std::size_t mPreferredCount = 2;
  /// Share of the reading time by which such an engine seems cheaper.
  double mPreferredDiscount = 0.5;
  /// Costs within this share of the least count as equal.
  double mTieShare = 0.1;
  /// Added to the least cost before mTieShare applies.
  Micros mTieFloor{ 2000 };
  Micros mOtherDomainCost{ 2000 };
  Micros mOtherRegionCost{ 60000 };
  /// Cost of a call that is expected to fail.
  Micros mFailureCost{ 1000000 };
  /// Cost where the engine seems to have too little free memory now.
  Micros mNoMemoryCost{ 2000000 };
  /// Cost of reading a long prompt on a shared engine.
  Micros mOverflowCost{ 250000 };
  /// Share of the looks at an endpoint that overlook its past failures and
  /// slowness, so that one that has recovered is found out.
  double mExploreShare = 0.02;
  /// Only requests with at most so many prompt tokens are used for that.
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
  /// No endpoint at all is known.
  NoEndpoint,
  /// None serves this model, version or service in the permitted places.
  NonePermitted,
  /// Permitted ones exist, but are leaving, suspect, ejected or tried already.
  NoneAvailable,
  /// More tokens than any engine has memory for; see splitplan.h.
  TooLarge,
  /// Long prompts fill their room now.
  LaneFull
};

/// Name for logs. Thread safe.
auto
ToText(ChoiceReason aReason) -> std::string_view;

/// True for the reasons that may go away by waiting. Thread safe.
auto
MayResolveByWaiting(ChoiceReason aReason) -> bool;

/// One endpoint that was compared, with the figures.
struct ConsideredEndpoint
{
  /// Position in ChoiceInput::mEndpoints.
  std::size_t mIndex = 0;
  CachedPrefix mCached;
  PredictedTimes mTimes;
  LaneVerdict mLane = LaneVerdict::Open;
  /// To be given to the engine: 0 urgent, 1 normal, 2 patient.
  int mEnginePriority = 1;
  bool mIsPreferred = false;
  bool mIsExplored = false;
  Micros mDistance{ 0 };
  Micros mCost{ 0 };

  auto operator==(const ConsideredEndpoint&) const -> bool = default;
};

/// How many endpoints were ruled out, by cause.
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
  /// Position in ChoiceInput::mEndpoints; none when there is no place now.
  std::optional<std::size_t> mIndex;
  ChoiceReason mReason = ChoiceReason::NoEndpoint;
  /// The chosen one first, then the others by cost.
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
  /// Where earlier attempts failed.
  std::span<const EndpointId> mTried;
  /// May be null: then nothing is known of caches.
  const PrefixKnowledge* mPrefixes = nullptr;
  TimePoint mNow;
};

/// Remembered between choices by the baseline rules.
struct ChoiceState
{
  std::uint64_t mTurn = 0;
};

/// Precondition: lanes are assigned. Not thread safe in aState and aRandom.
auto
ChooseEndpoint(const ChoiceInput& aInput,
               const ChoiceSettings& aSettings,
               ChoiceState& aState,
               std::mt19937_64& aRandom) -> EndpointChoice;

} // namespace cuminslip
