#pragma once

#include "policy/prediction.h"
#include "policy/types/endpointview.h"
#include "policy/types/requestfacts.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

/// Reserves capacity for short prompts by limiting on which engines, and how
/// many, long prompts are prefilled.
namespace cuminslip {

struct LaneSettings
{
  /// If false, all prompts are treated alike; used as a baseline.
  bool mIsEnabled = true;
  /// Prompts with more uncached tokens than this count as long.
  std::int64_t mLongTokens = 16384;
  /// Fraction of the engines of one failure domain and model that prefill long
  /// prompts; the others are reserved for short ones. The number of engines is
  /// rounded. With fewer than 3 engines all are shared; at 1 all are reserved
  /// for long prompts, and short ones use them as well.
  double mLongShare = 0.75;
  /// Maximum number of long prompts that one engine prefills concurrently.
  std::int64_t mMaxLongOnLongLane = 2;
  std::int64_t mMaxLongOnSharedLane = 1;
  /// A long prompt that must start within this time may use a shared engine.
  Millis mOverflowSlack{ 5000 };
  /// Added to the cost of a short prompt on an engine reserved for long ones.
  Micros mLongLanePenalty{ 50000 };

  auto operator==(const LaneSettings&) const -> bool = default;
};

enum class LaneVerdict : std::uint8_t
{
  Open,
  /// A long prompt on a shared engine, because it cannot wait or the engine is
  /// idle.
  Overflow,
  /// The engine already prefills the maximum number of long prompts.
  Full,
  /// The engine is reserved for short prompts.
  Reserved
};

/// Returns the name used in logs. Thread safe.
auto
ToText(LaneVerdict aVerdict) -> std::string_view;

/// Sets mLane and mIdHash of each endpoint. All instances get the same result
/// for the same engines, and an engine that is added or removed changes the
/// lane of at most one other. Call it when engines are added or removed. Not
/// thread safe.
auto
AssignLanes(std::span<EndpointView> aEndpoints, const LaneSettings& aSettings)
  -> void;

/// Returns true if a prompt with this many uncached tokens counts as long.
/// Thread safe.
auto
IsLongWork(std::int64_t aUnreadTokens, const LaneSettings& aSettings) -> bool;

/// Checks whether an engine may begin to prefill this prompt now. aSlack is the
/// time until the request must start. Thread safe.
auto
CheckLane(const EndpointView& aEndpoint,
          std::int64_t aUnreadTokens,
          Micros aSlack,
          const LaneSettings& aLanes,
          const PredictionSettings& aPrediction) -> LaneVerdict;

/// Returns the priority to pass to the engine: 0 urgent, 1 normal, 2 patient. A
/// long prompt is one step lower than short ones of its priority; a request
/// with little slack left is one step higher. Thread safe.
auto
EnginePriority(Priority aPriority,
               std::int64_t aUnreadTokens,
               Micros aSlack,
               const LaneSettings& aSettings) -> int;

} // namespace cuminslip
