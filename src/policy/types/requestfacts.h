#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "templates/types/template.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminslip {

/// XXH3 hash of the text of the first tokens of a prompt.
using PrefixHash = std::uint64_t;

/// Properties of a request on which decisions are based. Time points refer to
/// the clock of this instance.
struct RequestFacts
{
  RequestId mId;
  AccountId mAccount;
  WorkKindName mKind;
  Priority mPriority = Priority::Normal;
  /// Name of the plain service that serves the request; empty for model work.
  std::optional<std::string> mService;
  ModelName mModel;
  ModelVersion mVersion;
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxTokens = 0;
  std::int64_t mBodyBytes = 0;
  /// Index into the template's length classes; see ClassifyLength.
  std::size_t mLengthClass = 0;
  /// mPrefixes[i] covers the first (i + 1) * kPrefixStepTokens tokens.
  std::vector<PrefixHash> mPrefixes;
  TimePoint mArrived;
  TimePoint mDeadline;
  Millis mQueueTime{ 30000 };
  Millis mFirstTokenTarget{ 5000 };
  double mValue = 1.0;
  bool mIsIdempotent = true;

  auto operator==(const RequestFacts&) const -> bool = default;
};

/// Failure domain and region of this instance.
struct OwnPlace
{
  FailureDomainId mFailureDomain;
  RegionId mRegion;

  auto operator==(const OwnPlace&) const -> bool = default;
};

} // namespace cuminslip
