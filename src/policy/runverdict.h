#pragma once

#include <cstdint>

/// Determines from the outcome of sending a request whether it may have run at
/// the endpoint. Pure functions.
namespace cuminslip {

enum class SendOutcome : std::uint8_t
{
  /// No connection was made, so no byte left this instance.
  NotConnected,
  /// The endpoint replied that it did not run the request.
  RefusedNotRun,
  /// The complete answer of the endpoint was received.
  Answered,
  /// The connection ended, or was closed, before a complete answer was
  /// received.
  Unanswered,
  /// The data received is not the endpoint's answer to this request.
  NotAnAnswer
};

enum class RunVerdict : std::uint8_t
{
  /// The request has not run and will not run later.
  NotRun,
  MayHaveRun,
  Ran
};

/// Returns whether the request ran, as far as the outcome proves it. Thread
/// safe.
auto
ClassifyOutcome(SendOutcome aOutcome) -> RunVerdict;

enum class RetryRule : std::uint8_t
{
  /// Only if it is certain that the request has not run.
  OnlyIfNotRun,
  Always
};

/// Conditions for sending a request again.
struct RetryFacts
{
  SendOutcome mOutcome = SendOutcome::Unanswered;
  RetryRule mRule = RetryRule::OnlyIfNotRun;
  int mSends = 1;
  int mMaxSends = 1;
  /// True if enough time remains for another endpoint to answer.
  bool mHasTime = true;
  /// True if the shared retry budget allows one.
  bool mHasBudget = true;

  auto operator==(const RetryFacts&) const -> bool = default;
};

/// Returns true if the request may be sent to another endpoint. Thread safe.
auto
MayRetryRequest(const RetryFacts& aFacts) -> bool;

} // namespace cuminslip
