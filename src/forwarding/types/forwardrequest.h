#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "wire/types/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Requests that are passed on to endpoints as they came, and their answers.
namespace cuminslip::forwarding {

/// What a caller says of a prompt.
struct PromptFacts
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;

  auto operator==(const PromptFacts&) const -> bool = default;
};

/// A caller's request, read once from the wire.
struct ForwardRequest
{
  /// The caller's id of this attempt; its answer repeats it.
  RequestId mId;
  /// Headers are only those to be passed on.
  wire::HttpRequest mHttp;
  std::string mKey;
  /// How long the caller waits, if stated.
  std::optional<Millis> mAllowance;
  std::optional<PromptFacts> mPrompt;
  /// The last event that the caller has of a stream that broke.
  std::optional<std::uint64_t> mLastEvent;

  auto operator==(const ForwardRequest&) const -> bool = default;
};

/// Asks an engine to set memory aside, for as long as it is asked again, or to
/// give it back.
struct ReservationOrder
{
  HoldingId mId;
  std::int64_t mTokens = 0;
  /// Time after which the engine frees the memory by itself; 0 gives it back.
  Millis mLease{ 0 };

  auto operator==(const ReservationOrder&) const -> bool = default;
};

/// An engine that reads a part of the prompt.
struct HelperAddress
{
  std::string mAddress;
  /// Memory set aside there for the prompt; empty when it only reads.
  HoldingId mHolding;

  auto operator==(const HelperAddress&) const -> bool = default;
};

/// What goes with one sending of a request.
struct SendFacts
{
  EndpointId mEndpoint;
  /// Empty for a public route.
  AccountId mAccount;
  Millis mAllowance{ 0 };
  /// Go on after this event.
  std::optional<std::uint64_t> mLastEvent;
  std::vector<HelperAddress> mHelpers;

  auto operator==(const SendFacts&) const -> bool = default;
};

/// The endpoint's own count of its work.
struct ReportedLoad
{
  std::int64_t mRunning = 0;
  std::int64_t mWaiting = 0;
  std::int64_t mSlots = 0;

  auto operator==(const ReportedLoad&) const -> bool = default;
};

/// What the head of an answer says.
struct AnswerFacts
{
  /// The endpoint did not run the request and never will.
  bool mHasNotRun = false;
  /// The head is one that the endpoint itself gives to a request that ran.
  bool mIsGenuine = false;
  std::optional<ReportedLoad> mLoad;
  /// Address of another endpoint that is to blame for a refusal.
  std::string mAtFault;
  /// Headers that the caller gets.
  wire::Headers mHeaders;

  auto operator==(const AnswerFacts&) const -> bool = default;
};

enum class FailureKind : std::uint8_t
{
  /// The request itself is wrong.
  BadRequest,
  UnknownKey,
  NoRoute,
  /// No routing document is in force here yet.
  NotReady,
  /// No endpoint can answer it in time now. It has not run.
  NoCapacity,
  /// An endpoint failed after the request may have run.
  EndpointFailed,
  /// The time is over, and the request may have run.
  TimedOut,
  /// The time is over, and the request has not run.
  TooLate
};

/// Name for logs and metrics. Thread safe.
auto
ToText(FailureKind aKind) -> std::string_view;

/// A final answer of this instance's own.
struct Failure
{
  FailureKind mKind = FailureKind::NotReady;
  /// When a new attempt is worth while; only for requests that did not run.
  std::optional<Millis> mRetryAfter;

  auto operator==(const Failure&) const -> bool = default;
};

} // namespace cuminslip::forwarding
