#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What a check of a routing document reports.
namespace cuminslip::routingcheck {

enum class FindingSeverity : std::uint8_t
{
  /// Publishing is refused or has no effect.
  Error,
  /// Accepted, but contradictory or without any effect.
  Warning,
  /// Differs from the document in force.
  Difference
};

/// Members of a routing document. Their names in a file belong to the adapter
/// that reads it, which has them in this order.
enum class Field : std::uint8_t
{
  Version,
  Routes,
  Services,
  Accounts,
  Limits,
  Name,
  Host,
  PathPrefix,
  Kind,
  Timeout,
  AnswerTarget,
  PauseTarget,
  Priority,
  RouteServices,
  ServiceName,
  Weight,
  MaxAttempts,
  IsPublic,
  IsResumable,
  HealthPath,
  MaxConnections,
  Engine,
  Slots,
  KvCacheTokens,
  StepsPerPass,
  StepMillis,
  StepMillisPerDecodingRequest,
  StepMillisPerThousandContextTokens,
  PrefilledTokensPerSecond,
  PrefillMillisPerMillionPairs,
  ChunkTokens,
  HopMillis,
  ReportLag,
  Keys,
  MaxHeaderBytes,
  MaxBodyBytes,
  HeaderTimeout,
  IdleTimeout
};

/// A member and, in a list, the index of an item.
struct PathStep
{
  Field mField = Field::Version;
  std::optional<std::size_t> mIndex;

  auto operator<=>(const PathStep&) const = default;
};

/// Steps from the root of the document.
using Path = std::vector<PathStep>;

struct RoutingFinding
{
  FindingSeverity mSeverity = FindingSeverity::Error;
  Path mPath;
  /// Never contains a key of a client account.
  std::string mProblem;
  std::string mExpected;

  auto operator==(const RoutingFinding&) const -> bool = default;
};

/// In the order of the document.
using RoutingFindings = std::vector<RoutingFinding>;

} // namespace cuminslip::routingcheck
