#pragma once

#include "base/clock.h"
#include "base/types/ids.h"
#include "forwarding/types/endpointstatement.h"
#include "wire/types/httpmessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Requests that are forwarded unchanged to endpoints, and their answers.
namespace cuminslip::forwarding {

/// The size of a prompt, as stated by the caller.
struct PromptFacts
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mMaxOutputTokens = 0;
  /// Checksums of the parts that other prompts may share, in their order.
  std::vector<std::uint64_t> mSharedParts;

  auto operator==(const PromptFacts&) const -> bool = default;
};

/// A caller's decoded request.
struct ForwardRequest
{
  /// The caller's id of this attempt, repeated in the answer.
  RequestId mId;
  /// Contains only the headers to forward.
  wire::HttpRequest mHttp;
  /// Key of the caller's client account.
  std::string mKey;
  /// How long the caller waits for the answer, if stated.
  std::optional<Millis> mAllowance;
  std::optional<PromptFacts> mPrompt;
  /// Id of the last event that the caller received of a broken stream.
  std::optional<std::uint64_t> mLastEvent;

  auto operator==(const ForwardRequest&) const -> bool = default;
};

/// Reserves memory at an engine under a lease that must be renewed, or releases
/// it.
struct ReservationOrder
{
  HoldingId mId;
  std::int64_t mTokens = 0;
  /// Time after which the engine frees the memory by itself; 0 releases it.
  Millis mLease{ 0 };

  auto operator==(const ReservationOrder&) const -> bool = default;
};

/// An engine that prefills a part of the prompt.
struct HelperAddress
{
  std::string mAddress;
  /// Memory reserved there for the prompt; empty when it only prefills.
  HoldingId mHolding;

  auto operator==(const HelperAddress&) const -> bool = default;
};

/// Parameters of one attempt to send a request.
struct AttemptParameters
{
  /// Empty if another instance chooses the endpoint.
  EndpointId mEndpoint;
  /// Empty for a public route.
  AccountId mAccount;
  Millis mAllowance{ 0 };
  /// Resume after this event.
  std::optional<std::uint64_t> mLastEvent;
  std::vector<HelperAddress> mHelpers;
  /// Order of admission by a full engine, 0 to 9; 0 is first.
  std::optional<int> mUrgency;

  auto operator==(const AttemptParameters&) const -> bool = default;
};

/// Load reported by an endpoint, in requests.
struct ReportedLoad
{
  std::int64_t mRunning = 0;
  std::int64_t mWaiting = 0;
  std::int64_t mSlots = 0;

  auto operator==(const ReportedLoad&) const -> bool = default;
};

/// Facts from the status and headers of an answer.
struct AnswerFacts
{
  /// The endpoint did not run the request and never will.
  bool mHasNotRun = false;
  /// The answer was created by the endpoint itself, for a request that ran.
  bool mIsGenuine = false;
  std::optional<ReportedLoad> mLoad;
  EndpointStatement mStatement;
  /// Address of another endpoint that caused a refusal.
  std::string mAtFault;
  /// Headers to return to the caller.
  wire::Headers mHeaders;

  auto operator==(const AnswerFacts&) const -> bool = default;
};

enum class FailureKind : std::uint8_t
{
  /// The request is invalid.
  BadRequest,
  UnknownKey,
  NoRoute,
  /// No routing document is active yet, or the instance is stopping.
  NotReady,
  /// No endpoint can currently answer in time. The request has not run.
  NoCapacity,
  /// An endpoint failed after the request may have run.
  EndpointFailed,
  /// The deadline has passed, and the request may have run.
  TimedOut,
  /// The deadline has passed, and the request has not run.
  TooLate,
  /// The request, or a part of its prompt, ends endpoints. It has not run.
  HarmfulRequest
};

/// Returns the name used in answers, logs and metrics. Thread safe.
auto
ToText(FailureKind aKind) -> std::string_view;

/// Reads a name of ToText. Thread safe.
auto
ParseFailureKind(std::string_view aText) -> std::optional<FailureKind>;

/// A final answer created by this instance.
struct Failure
{
  FailureKind mKind = FailureKind::NotReady;
  /// When the caller may retry; only for requests that have not run.
  std::optional<Millis> mRetryAfter;

  auto operator==(const Failure&) const -> bool = default;
};

} // namespace cuminslip::forwarding
