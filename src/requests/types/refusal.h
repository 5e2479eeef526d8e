#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Errors that are reported to callers instead of an endpoint's answer.
namespace cuminslip::requests {

/// Whether the request was executed by an endpoint.
enum class Ran : std::uint8_t
{
  /// No byte reached an endpoint, or the endpoint refused before execution.
  No,
  Yes,
  Unknown
};

enum class RefusalType : std::uint8_t
{
  InvalidRequest,
  Unauthorized,
  UnknownKind,
  UnknownModel,
  UnknownService,
  NotPermitted,
  IdempotencyConflict,
  OutcomeUnknown,
  TooLarge,
  RateLimited,
  Overloaded,
  CannotMeetDeadline,
  NoEndpoint,
  Isolated,
  NoQuorum,
  NotReady,
  Stopping,
  EndpointFailed,
  TimedOut,
  NotFound
};

/// An error that is the final answer to a request.
struct Refusal
{
  RefusalType mType = RefusalType::InvalidRequest;
  std::string mMessage;
  Ran mRan = Ran::No;
  /// Delay after which a resend may succeed; unset if a resend cannot help.
  std::optional<Millis> mRetryAfter;

  auto operator==(const Refusal&) const -> bool = default;
};

/// The name used in answers, logs and metrics, for example "no_endpoint".
auto
RefusalName(RefusalType aType) -> std::string_view;

/// "no", "yes" or "unknown".
auto
RanName(Ran aRan) -> std::string_view;

/// The HTTP status code for aType.
auto
RefusalStatus(RefusalType aType) -> int;

/// Formats the JSON error body described in docs/INTERFACES.md.
auto
FormatRefusal(const Refusal& aRefusal, std::string_view aRequestId)
  -> std::string;

} // namespace cuminslip::requests
