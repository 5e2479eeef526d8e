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

/// Plans how to divide a prompt that needs more KV memory than one engine has.
namespace cuminslip {

struct SplitSettings
{
  /// Fraction of the memory of each shared engine that stays free for short
  /// prompts.
  double mKeptFreeShare = 0.2;
  std::size_t mMaxParts = 8;
  /// Parts begin at multiples of this many tokens.
  std::int64_t mPartStepTokens = 512;

  auto operator==(const SplitSettings&) const -> bool = default;
};

/// A part of the prompt and the engine that holds it.
struct SplitPart
{
  /// Position in the endpoints passed to PlanSplit.
  std::size_t mIndex = 0;
  std::int64_t mFirstToken = 0;
  std::int64_t mTokens = 0;
  /// KV memory to reserve on the engine; the last part includes the answer.
  std::int64_t mReservedTokens = 0;

  auto operator==(const SplitPart&) const -> bool = default;
};

enum class SplitReason : std::uint8_t
{
  Planned,
  /// One engine is enough.
  NotNeeded,
  /// The permitted engines together have too little memory.
  NeverFits,
  /// The engines have enough memory, but too little of it is free now.
  NotEnoughFree
};

/// Returns the name used in logs. Thread safe.
auto
ToText(SplitReason aReason) -> std::string_view;

/// The caller reserves all parts or none: if one reservation is refused, it
/// releases the others and plans again later.
struct SplitPlan
{
  SplitReason mReason = SplitReason::NeverFits;
  /// In the order of the prompt.
  std::vector<SplitPart> mParts;
  Micros mPredictedPrefill{ 0 };

  auto operator==(const SplitPlan&) const -> bool = default;
};

/// Chooses as few engines as needed, all in one region: preferably in one
/// failure domain, and engines reserved for long prompts before shared ones.
/// Precondition: AssignLanes was called for the endpoints. Thread safe.
auto
PlanSplit(const RequestFacts& aRequest,
          const Template& aTemplate,
          std::span<const EndpointView> aEndpoints,
          const OwnPlace& aOwnPlace,
          const SplitSettings& aSettings,
          const PredictionSettings& aPrediction) -> SplitPlan;

} // namespace cuminslip
