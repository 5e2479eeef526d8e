#pragma once

#include "base/clock.h"

#include <cstdint>
#include <string>

namespace cuminslip::fakes {

/// One request of a plan. The indexes are those of the settings' lists.
struct PlannedRequest
{
  std::int64_t mIndex = 0;
  /// From the start of the run.
  Micros mAt{ 0 };
  std::size_t mPhase = 0;
  std::size_t mAccount = 0;
  /// A service call; else model work.
  bool mIsService = false;
  /// Index of the kind, or of the service.
  std::size_t mKind = 0;
  std::int64_t mPromptTokens = 0;
  /// Tokens shared with other prompts of the account; 0 for none.
  std::int64_t mPrefixTokens = 0;
  std::uint64_t mPrefixSeed = 0;
  std::uint64_t mTextSeed = 0;
  std::int64_t mAnswerTokens = 0;
  Millis mAllowance{ 0 };

  auto operator==(const PlannedRequest&) const -> bool = default;
};

} // namespace cuminslip::fakes
