#pragma once

#include "base/clock.h"
#include "policy/types/endpointview.h"
#include "requests/types/refusal.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cuminslip::requests {

inline constexpr auto kRefusalTypeCount =
  static_cast<std::size_t>(RefusalType::NotFound) + 1;

/// Counts since the start of the process.
struct FrontCounters
{
  std::uint64_t mReceived = 0;
  std::uint64_t mAdmitted = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mCallerGone = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mResumed = 0;
  std::uint64_t mDroppedPieces = 0;
  std::uint64_t mAnnouncements = 0;
  std::uint64_t mReplayedRuns = 0;
  std::array<std::uint64_t, kRefusalTypeCount> mRefusals{};

  auto operator==(const FrontCounters&) const -> bool = default;
};

/// The front task as operators and metrics see it.
struct FrontStatus
{
  FrontCounters mCounters;
  std::int64_t mWaiting = 0;
  std::int64_t mRunning = 0;
  std::int64_t mOpenCancels = 0;
  Millis mOldestWait{ 0 };
  double mOverloadLevel = 0;
  std::vector<EndpointView> mEndpoints;

  auto operator==(const FrontStatus&) const -> bool = default;
};

} // namespace cuminslip::requests
