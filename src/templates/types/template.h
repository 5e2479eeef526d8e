#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// A template: what an operator states for one client account.
namespace cuminslip {

/// How urgent a kind of work is. A lower value goes first.
enum class Priority : std::uint8_t
{
  Urgent,
  Normal,
  Patient
};

/// One kind of work of a client account and its patience.
struct WorkKind
{
  WorkKindName mName;
  Priority mPriority = Priority::Normal;
  /// Longest time from admission to the end of the answer.
  Millis mDeadline{ 60000 };
  /// Longest time spent waiting for an endpoint.
  Millis mQueueTime{ 30000 };
  /// Wanted time to first token; orders work, does not fail it.
  Millis mFirstTokenTarget{ 5000 };
  /// Whether a request may run a second time after a lost answer.
  bool mIsIdempotent = true;
  /// Weight of finishing this work against other work of the account.
  double mValue = 1.0;
  /// The plain service that serves it; none for model work.
  std::optional<std::string> mService;

  auto operator==(const WorkKind&) const -> bool = default;
};

/// Requests of at most mMaxTokens prompt tokens, and more than the class
/// before it.
struct LengthClass
{
  std::string mName;
  std::int64_t mMaxTokens = 0;

  auto operator==(const LengthClass&) const -> bool = default;
};

/// Bounds on what one client account may ask for.
struct AccountLimits
{
  double mTokensPerSecond = 50000;
  double mBurstTokens = 2000000;
  std::int64_t mMaxWaitingRequests = 200;
  std::int64_t mMaxWaitingBytes = std::int64_t{ 256 } * 1024 * 1024;
  /// Share of the fleet against other client accounts.
  double mWeight = 1.0;

  auto operator==(const AccountLimits&) const -> bool = default;
};

/// Whether a failure domain without the quorum goes on serving the account.
struct IsolationRule
{
  bool mMayServe = true;
  /// Longest time of isolation during which it is served.
  Millis mLongest{ 3600000 };

  auto operator==(const IsolationRule&) const -> bool = default;
};

/// Everything stated for one client account.
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

/// A template together with the revision that put it in force.
struct TemplateInForce
{
  Revision mRevision = 0;
  Template mTemplate;

  auto operator==(const TemplateInForce&) const -> bool = default;
};

} // namespace cuminslip
