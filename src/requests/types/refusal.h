#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Why a request gets no answer, as told to its caller.
namespace cuminslip::requests {

/// Whether the request ran on an endpoint.
enum class Ran : std::uint8_t
{
  /// No byte reached an endpoint, or the endpoint refused before running.
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

/// A final answer other than the endpoint's.
struct Refusal
{
  RefusalType mType = RefusalType::InvalidRequest;
  std::string mMessage;
  Ran mRan = Ran::No;
  /// When a resend may succeed; none when it can't help.
  std::optional<Millis> mRetryAfter;

  auto operator==(const Refusal&) const -> bool = default;
};

/// The name in answers, logs and metrics, as "no_endpoint".
auto
RefusalName(RefusalType aType) -> std::string_view;

/// "no", "yes" or "unknown".
auto
RanName(Ran aRan) -> std::string_view;

/// The HTTP status that goes with aType.
auto
RefusalStatus(RefusalType aType) -> int;

/// The JSON body of docs/INTERFACES.md.
auto
FormatRefusal(const Refusal& aRefusal, std::string_view aRequestId)
  -> std::string;

} // namespace cuminslip::requests
