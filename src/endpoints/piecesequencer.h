#pragma once

#include "endpoints/types/streamevent.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Orders the numbered pieces of one answer across all attempts that contribute
/// to it. Not thread safe.
namespace cuminslip::endpoints {

/// Counts of one answer's pieces by their handling.
struct PieceCounts
{
  std::int64_t mDelivered = 0;
  /// From an earlier attempt, or after the end.
  std::int64_t mLate = 0;
  /// Received before, delivered or held.
  std::int64_t mDoubled = 0;
  /// Received ahead of order and held until the pieces before it arrived.
  std::int64_t mReordered = 0;
  /// From an attempt that does not belong to this answer.
  std::int64_t mForeign = 0;
  /// Received ahead of order and dropped because the buffer was full.
  std::int64_t mOverflowed = 0;

  auto operator==(const PieceCounts&) const -> bool = default;
};

inline constexpr std::size_t kMaxHeldPieces = 1024;
inline constexpr std::size_t kMaxHeldBytes = std::size_t{ 64 } * 1024;

/// State of one answer. mNext is the number of the next piece to deliver, at
/// which a resume starts.
struct PieceSequencer
{
  AttemptId mAttempt;
  std::set<AttemptId> mEarlierAttempts;
  std::int64_t mNext = 0;
  std::map<std::int64_t, std::string> mHeld;
  std::size_t mHeldBytes = 0;
  std::optional<std::int64_t> mPieces;
  PieceCounts mCounts;
};

/// What an end event means for the answer.
enum class EndVerdict : std::uint8_t
{
  Complete,
  /// Pieces before the end are missing.
  Incomplete,
  /// Its count is below a received piece's, or differs from an earlier end
  /// event's.
  Contradictory,
  /// From an earlier or unknown attempt, or after the answer was complete.
  Ignored
};

/// Accepts pieces of aAttempt from now on and drops the held pieces and the end
/// event of the previous attempt. Precondition: aAttempt was not used before.
auto
BeginAttempt(PieceSequencer& aSequencer, const AttemptId& aAttempt) -> void;

/// Handles a piece and returns the texts to deliver now, in order.
auto
TakePiece(PieceSequencer& aSequencer, const StreamPiece& aPiece)
  -> std::vector<std::string>;

/// Handles an end event.
auto
TakeEnd(PieceSequencer& aSequencer, const StreamEnd& aEnd) -> EndVerdict;

/// True once the end event arrived and every piece before it was delivered.
auto
IsComplete(const PieceSequencer& aSequencer) -> bool;

} // namespace cuminslip::endpoints
