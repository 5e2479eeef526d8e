#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

/// State of an endpoint as known to one instance at the time of a decision.
namespace cuminslip {

enum class EndpointKind : std::uint8_t
{
  ModelEngine,
  PlainService
};

enum class EndpointState : std::uint8_t
{
  Active,
  /// The endpoint announced that it is leaving: running work continues, no new
  /// work is sent.
  Leaving,
  /// Announcements, calls or reports fail: no work is sent until it recovers.
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

/// Load figures measured by the engine itself, as of the time of the report.
struct LoadReport
{
  std::int64_t mRunningStreams = 0;
  std::int64_t mWaitingStreams = 0;
  std::int64_t mBatchSlots = 1;
  /// Prompt tokens that were accepted but not yet prefilled.
  std::int64_t mQueuedPrefillTokens = 0;
  std::int64_t mFreeKvTokens = 0;
  std::int64_t mTotalKvTokens = 0;
  double mPrefillTokensPerSecond = 0;
  double mDecodeTokensPerSecond = 0;

  auto operator==(const LoadReport&) const -> bool = default;
};

/// Work that this instance sent since the report was taken.
struct SentSinceReport
{
  std::int64_t mStreams = 0;
  std::int64_t mPrefillTokens = 0;

  auto operator==(const SentSinceReport&) const -> bool = default;
};

/// Outcome of the recent calls of this instance.
struct CallHealth
{
  std::int64_t mConsecutiveFailures = 0;
  /// Moving average of the failure rate, 0 to 1.
  double mFailureShare = 0;
  /// Moving average of the ratio of measured to predicted time to first token.
  double mSlowness = 1.0;

  auto operator==(const CallHealth&) const -> bool = default;
};

/// Prompts for which an engine is used; see policy/lanes.h.
enum class Lane : std::uint8_t
{
  /// Any prompt; long ones only if the engine is idle or they cannot wait.
  Shared,
  /// Reserved for long prompts; takes short ones at an additional cost.
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
  /// Streams of this instance running on the endpoint now, and their prompt
  /// tokens.
  std::int64_t mOwnStreams = 0;
  std::int64_t mOwnTokens = 0;
  /// Long prompts of this instance that the engine is prefilling now.
  std::int64_t mOwnLongPrefills = 0;
  /// Set by AssignLanes, together with mIdHash, the hash of mId.
  Lane mLane = Lane::Shared;
  std::uint64_t mIdHash = 0;
  /// Ejected by UpdateHealth: no work is sent for now.
  bool mIsEjected = false;

  auto operator==(const EndpointView&) const -> bool = default;
};

} // namespace cuminslip
