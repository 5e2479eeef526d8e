#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Templates: the per-account configuration that an operator writes.
namespace cuminslip {

/// Scheduling priority of a kind of work. Lower values are served first.
enum class Priority : std::uint8_t
{
  Urgent,
  Normal,
  Patient
};

/// One kind of work of a client account, with its priority and time limits.
struct WorkKind
{
  WorkKindName mName;
  Priority mPriority = Priority::Normal;
  /// Maximum time from the arrival of a request to the end of its answer.
  /// Callers can request a shorter time.
  Millis mDeadline{ 60000 };
  /// Maximum time spent waiting for an endpoint.
  Millis mQueueTime{ 30000 };
  /// Target time to first token. Used for scheduling only; missing it does not
  /// fail the request.
  Millis mFirstTokenTarget{ 5000 };
  /// Whether a request may be executed again after its answer was lost.
  bool mIsIdempotent = true;
  /// Weight of this work relative to other work of the account.
  double mValue = 1.0;
  /// Name of the plain service that handles the work; unset for model work.
  std::optional<std::string> mService;

  auto operator==(const WorkKind&) const -> bool = default;
};

/// Requests with at most mMaxTokens prompt tokens and more than the maximum of
/// the preceding class.
struct LengthClass
{
  std::string mName;
  std::int64_t mMaxTokens = 0;

  auto operator==(const LengthClass&) const -> bool = default;
};

/// Rate and queue limits of one client account.
struct AccountLimits
{
  double mTokensPerSecond = 50000;
  double mBurstTokens = 2000000;
  std::int64_t mMaxWaitingRequests = 200;
  std::int64_t mMaxWaitingBytes = std::int64_t{ 256 } * 1024 * 1024;
  /// Share of the capacity relative to other client accounts.
  double mWeight = 1.0;

  auto operator==(const AccountLimits&) const -> bool = default;
};

/// Whether a failure domain that has lost the quorum keeps serving the account.
struct IsolationRule
{
  bool mMayServe = true;
  /// Maximum duration of the isolation during which requests are served.
  Millis mLongest{ 3600000 };

  auto operator==(const IsolationRule&) const -> bool = default;
};

/// The whole configuration of one client account.
struct Template
{
  AccountId mAccount;
  std::vector<FailureDomainId> mFailureDomains;
  std::vector<RegionId> mRegions;
  ModelName mModel;
  ModelVersion mVersion;
  std::vector<WorkKind> mWorkKinds;
  std::vector<LengthClass> mLengthClasses;
  AccountLimits mLimits;
  IsolationRule mIsolation;

  auto operator==(const Template&) const -> bool = default;
};

/// A committed template and the revision that activated it.
struct TemplateInForce
{
  Revision mRevision = 0;
  Template mTemplate;

  auto operator==(const TemplateInForce&) const -> bool = default;
};

} // namespace cuminslip
