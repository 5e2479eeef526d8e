#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

/// Settings of stand-in engines, as read from a scenario file.
namespace cuminslip::fakes {

/// A model version with its adapters.
struct EngineModel
{
  std::string mModel;
  std::string mVersion;
  std::vector<std::string> mAdapters;

  auto operator==(const EngineModel&) const -> bool = default;
};

/// How and where an endpoint announces itself.
struct AnnounceSettings
{
  /// Addresses of instances, tried in turn after a failure.
  std::vector<std::string> mTargets;
  /// Index of the target to begin with, modulo their number.
  std::uint64_t mFirstTarget = 0;
  std::string mKey;
  Millis mInterval{ 500 };
  /// Age of the load figures in an announcement.
  Millis mLoadLag{ 200 };
  Millis mCacheEventDelay{ 300 };
  /// Share of cache events that are never announced unless asked for again.
  double mCacheEventLoss = 0.0;

  auto operator==(const AnnounceSettings&) const -> bool = default;
};

/// One stand-in engine. Rates are those before the time scale.
struct EngineSettings
{
  std::string mName;
  std::string mAddress;
  std::string mFailureDomain;
  std::string mRegion;
  std::string mRole = "mixed";
  std::vector<EngineModel> mModels;
  double mPrefillTokensPerSecond = 50000;
  /// Of a stream that decodes alone.
  double mDecodeTokensPerSecond = 40;
  /// Growth of a decode step for each further stream, as a share.
  double mDecodeSlowdownPerStream = 0.02;
  double mTransferTokensPerSecond = 500000;
  /// Prompt tokens read in one step, shared by priority.
  std::int64_t mChunkTokens = 2048;
  std::int64_t mBatchSlots = 16;
  std::int64_t mMaxWaiting = 64;
  std::int64_t mTotalKvTokens = 450000;
  std::int64_t mMaxModels = 2;
  double mModelGigabytes = 16;
  bool mChecksFencing = true;
  bool mHonoursPriority = true;
  AnnounceSettings mAnnounce;

  auto operator==(const EngineSettings&) const -> bool = default;
};

} // namespace cuminslip::fakes
