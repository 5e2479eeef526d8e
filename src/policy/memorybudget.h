#pragma once

#include <cstddef>

/// Decides whether an instance may take one more request body into its memory.
/// Pure functions; thread safe.
namespace cuminslip {

/// Bytes that a process holds for its callers.
struct MemoryUse
{
  /// What the listeners hold of requests as they came.
  std::size_t mReceived = 0;
  /// Bodies of requests in flight.
  std::size_t mBodies = 0;
  /// Answers that are kept until they are whole.
  std::size_t mAnswers = 0;
  /// Answers that callers have still to read.
  std::size_t mUnsent = 0;

  auto operator==(const MemoryUse&) const -> bool = default;
};

struct MemoryRules
{
  /// Most bytes for callers; 0 for no bound.
  std::size_t mMaxBytes = 0;
  /// Bodies of up to this size are small.
  std::size_t mSmallBody = std::size_t{ 64 } * 1024;
  /// Part of the bytes that is left to requests with small bodies, so that the
  /// others do not shut them out.
  double mSmallShare = 0.125;
  /// Part of the bytes that bodies can't keep answers out of, since requests
  /// end with their answers.
  double mAnswerShare = 0.25;
  /// The bound is left when less than this part of the bytes is in use.
  double mLeftBelow = 0.75;

  auto operator==(const MemoryRules&) const -> bool = default;
};

auto
TotalOf(const MemoryUse& aUse) -> std::size_t;

/// True if a request whose body has aBodyBytes may be taken. aUse contains that
/// body. Requests without a body always may: refusing them frees nothing.
auto
MayTakeBody(const MemoryUse& aUse,
            std::size_t aBodyBytes,
            const MemoryRules& aRules) -> bool;

/// True if aBytes more of an answer may be kept. One that is larger than the
/// share may when there is no other.
auto
MayKeepAnswer(const MemoryUse& aUse,
              std::size_t aBytes,
              const MemoryRules& aRules) -> bool;

/// True once so much is free that a bound that was met counts as left.
auto
IsBoundLeft(const MemoryUse& aUse, const MemoryRules& aRules) -> bool;

} // namespace cuminslip
