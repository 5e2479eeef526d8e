#pragma once

#include "policy/prediction.h"
#include "policy/types/endpointview.h"
#include "policy/types/requestfacts.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

/// Keeps room for short prompts by limiting where and how many long prompts
/// are read.
namespace cuminslip {

struct LaneSettings
{
  /// False gives the baseline without classes.
  bool mIsEnabled = true;
  /// Prompts with more tokens to read than this count as long.
  std::int64_t mLongTokens = 16384;
  /// Share of the engines of one failure domain and model that read long
  /// prompts; the others are kept for short ones. Rounded; all engines are
  /// shared where there are fewer than 3 or the share is 1.
  double mLongShare = 0.75;
  /// Long prompts read at the same time by one engine.
  std::int64_t mMaxLongOnLongLane = 2;
  std::int64_t mMaxLongOnSharedLane = 1;
  /// Long work that must start within this time may use a shared engine.
  Millis mOverflowSlack{ 5000 };
  /// Added to the cost of a short prompt on an engine set aside for long ones.
  Micros mLongLanePenalty{ 50000 };

  auto operator==(const LaneSettings&) const -> bool = default;
};

enum class LaneVerdict : std::uint8_t
{
  Open,
  /// A long prompt on a shared engine, as it can't wait or nobody else is
  /// there.
  Overflow,
  /// Too many long prompts are being read there.
  Full,
  /// The engine is kept for short prompts.
  Reserved
};

/// Name for logs. Thread safe.
auto
ToText(LaneVerdict aVerdict) -> std::string_view;

/// Sets mLane and mIdHash of each endpoint. The same engines give the same
/// result on every instance, and one that comes or goes moves at most one
/// other. Call when engines come or go. Not thread safe.
auto
AssignLanes(std::span<EndpointView> aEndpoints, const LaneSettings& aSettings)
  -> void;

/// True when so much is to be read that it counts as long. Thread safe.
auto
IsLongWork(std::int64_t aUnreadTokens, const LaneSettings& aSettings) -> bool;

/// Whether an engine may begin to read this prompt now. aSlack is the time
/// left until the request must start. Thread safe.
auto
CheckLane(const EndpointView& aEndpoint,
          std::int64_t aUnreadTokens,
          Micros aSlack,
          const LaneSettings& aLanes,
          const PredictionSettings& aPrediction) -> LaneVerdict;

/// The priority to give the engine: 0 urgent, 1 normal, 2 patient. A long
/// prompt goes one step after short ones of its kind; work whose slack is used
/// up goes one step earlier. Thread safe.
auto
EnginePriority(Priority aPriority,
               std::int64_t aUnreadTokens,
               Micros aSlack,
               const LaneSettings& aSettings) -> int;

} // namespace cuminslip
