#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cuminslip::fakes {

/// What became of one request; a line of the raw file. Times in milliseconds.
struct RequestRecord
{
  /// Names the run among those that a report compares.
  std::string mLabel;
  std::uint64_t mSeed = 0;
  std::int64_t mIndex = 0;
  std::string mPhase;
  std::string mAccount;
  std::string mKind;
  bool mIsService = false;
  std::int64_t mPromptTokens = 0;
  std::int64_t mAnswerTokens = 0;
  /// Planned time from the start of the run.
  double mAtMs = 0;
  /// How much later than planned it was sent.
  double mLagMs = 0;
  /// From the planned time; negative when no token came.
  double mFirstTokenMs = -1;
  double mTotalMs = 0;
  std::vector<double> mGapsMs;
  /// "done", "refused" (did not run) or "failed".
  std::string mOutcome;
  /// Type of the refusal or failure.
  std::string mType;
  std::string mRan;
  std::int64_t mAttempts = 0;
  std::int64_t mLost = 0;
  std::int64_t mDoubled = 0;
  std::int64_t mForeign = 0;
  /// Time past the allowance; 0 when in time.
  double mLateMs = 0;

  auto operator==(const RequestRecord&) const -> bool = default;
};

} // namespace cuminslip::fakes
