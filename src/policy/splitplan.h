#pragma once

#include "policy/lanes.h"
#include "policy/permission.h"
#include "policy/prediction.h"
#include "policy/types/endpointview.h"
#include "policy/types/requestfacts.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// Plans the reading of a prompt that needs more memory than one engine has.
namespace cuminslip {

struct SplitSettings
{
  /// Free memory of each engine that is left for short prompts.
  double mKeptFreeShare = 0.2;
  std::size_t mMaxParts = 8;
  /// Parts begin at multiples of this.
  std::int64_t mPartStepTokens = 512;

  auto operator==(const SplitSettings&) const -> bool = default;
};

/// One part of the prompt and the engine that holds it.
struct SplitPart
{
  /// Position in the endpoints given.
  std::size_t mIndex = 0;
  std::int64_t mFirstToken = 0;
  std::int64_t mTokens = 0;
  /// Memory to reserve there; the last part has room for the answer as well.
  std::int64_t mReservedTokens = 0;

  auto operator==(const SplitPart&) const -> bool = default;
};

enum class SplitReason : std::uint8_t
{
  Planned,
  /// One engine is enough.
  NotNeeded,
  /// All permitted engines together are too small.
  NeverFits,
  /// They are large enough, but not free now.
  NotEnoughFree
};

/// Name for logs. Thread safe.
auto
ToText(SplitReason aReason) -> std::string_view;

/// Reserve all parts or none: when one reservation is refused, release the
/// others and plan again later.
struct SplitPlan
{
  SplitReason mReason = SplitReason::NeverFits;
  /// In the order of the prompt.
  std::vector<SplitPart> mParts;
  Micros mPredictedPrefill{ 0 };

  auto operator==(const SplitPlan&) const -> bool = default;
};

/// Chooses engines of one region, those of one failure domain first, engines
/// set aside for long prompts before shared ones, as few as are needed.
/// Precondition: lanes are assigned. Thread safe.
auto
PlanSplit(const RequestFacts& aRequest,
          const Template& aTemplate,
          std::span<const EndpointView> aEndpoints,
          const OwnPlace& aOwnPlace,
          const SplitSettings& aSettings,
          const PredictionSettings& aPrediction) -> SplitPlan;

} // namespace cuminslip
