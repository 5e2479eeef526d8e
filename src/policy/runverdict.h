#pragma once

#include <cstdint>

/// Tells whether a request can have run at an endpoint, from what its sending
/// came to. Pure.
namespace cuminslip {

enum class SendOutcome : std::uint8_t
{
  /// No connection was made, so no byte left this instance.
  NotConnected,
  /// The endpoint answered that it did not run the request.
  RefusedNotRun,
  /// The endpoint's whole answer came.
  Answered,
  /// The connection ended, or was given up, before a whole answer came.
  Unanswered,
  /// What came is no answer of the endpoint to this request.
  NotAnAnswer
};

enum class RunVerdict : std::uint8_t
{
  /// It has not run and never will.
  NotRun,
  MayHaveRun,
  Ran
};

/// Thread safe.
auto
ClassifyOutcome(SendOutcome aOutcome) -> RunVerdict;

enum class RepeatRule : std::uint8_t
{
  /// Only while it is certain that it has not run.
  OnlyIfNotRun,
  Always
};

/// What the request may still be given.
struct RepeatFacts
{
  SendOutcome mOutcome = SendOutcome::Unanswered;
  RepeatRule mRule = RepeatRule::OnlyIfNotRun;
  int mSends = 1;
  int mMaxSends = 1;
  /// Time is left for another endpoint to answer.
  bool mHasTime = true;
  /// The shared budget for repeats allows one.
  bool mHasBudget = true;

  auto operator==(const RepeatFacts&) const -> bool = default;
};

/// True when the request may be sent to another endpoint. Thread safe.
auto
MayRepeat(const RepeatFacts& aFacts) -> bool;

} // namespace cuminslip
