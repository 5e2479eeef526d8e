#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>

/// Faults that a stand-in engine shows on command.
namespace cuminslip::fakes {

/// Load figures to report in place of the true ones.
struct FalseLoad
{
  std::int64_t mRunningStreams = 0;
  std::int64_t mWaitingStreams = 0;
  std::int64_t mQueuedPrefillTokens = 0;
  std::int64_t mFreeKvTokens = 0;

  auto operator==(const FalseLoad&) const -> bool = default;
};

struct EngineFaults
{
  /// Requests are accepted and nothing is answered; streams stand still.
  bool mIsFrozen = false;
  bool mIsRefusing = false;
  bool mIsNotAnnouncing = false;
  bool mLosesCancelAnswers = false;
  double mSlowFactor = 1;
  /// Breaks the connections of the next mDropCount streams at this piece.
  std::int64_t mDropAtPiece = 0;
  std::int64_t mDropCount = 0;
  /// Whether a stream whose connection was broken is forgotten too.
  bool mForgetsDropped = false;
  /// Ends the engine abruptly when any stream reaches this piece; -1 never.
  std::int64_t mDieAtPiece = -1;
  /// After an abrupt end it comes back empty; 0 never.
  Millis mRestartAfter{ 0 };
  double mDuplicateShare = 0;
  double mReorderShare = 0;
  double mForeignShare = 0;
  std::int64_t mHugeHeaderBytes = 0;
  std::optional<FalseLoad> mFalseLoad;
  std::optional<Millis> mLoadLag;
  std::optional<double> mCacheEventLoss;

  auto operator==(const EngineFaults&) const -> bool = default;
};

} // namespace cuminslip::fakes
