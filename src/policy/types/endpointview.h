#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

/// What one entry instance knows of an endpoint at the time of a decision.
namespace cuminslip {

enum class EndpointKind : std::uint8_t
{
  ModelEngine,
  PlainService
};

enum class EndpointState : std::uint8_t
{
  Active,
  /// Said that it is leaving: running work goes on, none is added.
  Leaving,
  /// Announcements, calls or reports fail: gets no work, may come back.
  Suspect
};

enum class EngineRole : std::uint8_t
{
  Mixed,
  Prefill,
  Decode
};

/// A model version that an engine has loaded.
struct LoadedModel
{
  ModelName mModel;
  ModelVersion mVersion;

  auto operator<=>(const LoadedModel&) const = default;
};

/// The engine's own figures, as of the time it took them.
struct LoadReport
{
  std::int64_t mRunningStreams = 0;
  std::int64_t mWaitingStreams = 0;
  std::int64_t mBatchSlots = 1;
  /// Prompt tokens accepted but not yet read.
  std::int64_t mQueuedPrefillTokens = 0;
  std::int64_t mFreeKvTokens = 0;
  std::int64_t mTotalKvTokens = 0;
  double mPrefillTokensPerSecond = 0;
  double mDecodeTokensPerSecond = 0;

  auto operator==(const LoadReport&) const -> bool = default;
};

/// What this instance sent since the report was taken.
struct SentSinceReport
{
  std::int64_t mStreams = 0;
  std::int64_t mPrefillTokens = 0;

  auto operator==(const SentSinceReport&) const -> bool = default;
};

/// Outcome of this instance's own recent calls.
struct CallHealth
{
  std::int64_t mConsecutiveFailures = 0;
  /// Smoothed share of failed calls, 0 to 1.
  double mFailureShare = 0;
  /// Smoothed ratio of measured to predicted time to first token.
  double mSlowness = 1.0;

  auto operator==(const CallHealth&) const -> bool = default;
};

/// Which prompts an engine is meant for; see policy/lanes.h.
enum class Lane : std::uint8_t
{
  /// Any prompt; long ones only when there is no better place.
  Shared,
  /// Set aside for long prompts; takes short ones when it is free.
  Long
};

struct EndpointView
{
  EndpointId mId;
  Incarnation mIncarnation = 0;
  EndpointKind mKind = EndpointKind::ModelEngine;
  /// Name of the plain service; empty for a model engine.
  std::string mService;
  std::string mAddress;
  FailureDomainId mFailureDomain;
  RegionId mRegion;
  EndpointState mState = EndpointState::Active;
  EngineRole mRole = EngineRole::Mixed;
  std::vector<LoadedModel> mModels;
  LoadReport mLoad;
  Millis mReportAge{ 0 };
  SentSinceReport mSent;
  CallHealth mHealth;
  /// Streams of this instance that run there now, and their prompt tokens.
  std::int64_t mOwnStreams = 0;
  std::int64_t mOwnTokens = 0;
  /// Long prompts of this instance that the engine is reading now.
  std::int64_t mOwnLongPrefills = 0;
  /// Set by AssignLanes, as is the hash of mId.
  Lane mLane = Lane::Shared;
  std::uint64_t mIdHash = 0;
  /// Set by the health rules: gets no work for now.
  bool mIsEjected = false;

  auto operator==(const EndpointView&) const -> bool = default;
};

} // namespace cuminslip
