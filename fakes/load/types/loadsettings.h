#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

/// What a load run sends, as read from its settings file.
namespace cuminslip::fakes {

/// A client account that sends requests.
struct LoadAccount
{
  std::string mName;
  std::string mKey;
  std::string mModel;
  std::string mVersion;
  /// Share of all requests, relative to the other accounts.
  double mWeight = 1;
  /// Share of its prompts that begin with one of its shared prefixes.
  double mPrefixShare = 0.5;
  std::int64_t mPrefixes = 4;
  std::int64_t mPrefixTokens = 512;

  auto operator==(const LoadAccount&) const -> bool = default;
};

/// Model work whose prompts have at most mMaxPromptTokens, and more than the
/// kind before it.
struct LoadKind
{
  std::string mName;
  std::int64_t mMaxPromptTokens = 0;
  std::int64_t mMinAnswerTokens = 16;
  std::int64_t mMaxAnswerTokens = 64;
  Millis mAllowance{ 60000 };

  auto operator==(const LoadKind&) const -> bool = default;
};

/// Calls to a plain service that may not run twice.
struct LoadService
{
  std::string mName;
  std::string mKind;
  /// Share of all requests.
  double mShare = 0;
  Millis mAllowance{ 10000 };

  auto operator==(const LoadService&) const -> bool = default;
};

/// A time with one arrival rate.
struct LoadPhase
{
  std::string mName;
  double mSeconds = 10;
  /// Multiplies the rate.
  double mFactor = 1;

  auto operator==(const LoadPhase&) const -> bool = default;
};

/// Lengths of prompts: log-uniform in each of two ranges.
struct LoadLengths
{
  std::int64_t mLeast = 1000;
  std::int64_t mLongFrom = 100000;
  std::int64_t mMost = 1000000;
  /// Share of prompts above mLongFrom.
  double mLongShare = 0.02;

  auto operator==(const LoadLengths&) const -> bool = default;
};

struct LoadSettings
{
  /// Entry instances; or engines, in direct mode.
  std::vector<std::string> mTargets;
  /// Sends to engines by their own protocol.
  bool mIsDirect = false;
  std::uint64_t mSeed = 1;
  double mRequestsPerSecond = 1;
  /// Leaves out prompts above this, without changing the others; 0 none.
  std::int64_t mOnlyUpTo = 0;
  std::int64_t mMaxAttempts = 4;
  LoadLengths mLengths;
  std::vector<LoadAccount> mAccounts;
  std::vector<LoadKind> mKinds;
  std::vector<LoadService> mServices;
  std::vector<LoadPhase> mPhases;

  auto operator==(const LoadSettings&) const -> bool = default;
};

} // namespace cuminslip::fakes
