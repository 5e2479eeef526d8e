#pragma once

#include "endpoints/types/streamevent.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Puts the numbered pieces of one answer in order across all attempts that
/// contribute to it. Not thread safe.
namespace cuminslip::endpoints {

/// Pieces of one answer, counted by what became of them.
struct PieceCounts
{
  std::int64_t mDelivered = 0;
  /// Of an earlier attempt, or after the end.
  std::int64_t mLate = 0;
  std::int64_t mDoubled = 0;
  /// Came before an earlier one; kept until that one came.
  std::int64_t mReordered = 0;
  /// Of an attempt that is not of this answer.
  std::int64_t mForeign = 0;
  /// Too far ahead to be kept.
  std::int64_t mOverflowed = 0;

  auto operator==(const PieceCounts&) const -> bool = default;
};

inline constexpr std::size_t kMaxHeldPieces = 1024;
inline constexpr std::size_t kMaxHeldBytes = std::size_t{ 64 } * 1024;

/// State of one answer. mNext is the number of the next piece to deliver: a
/// resume begins there.
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

/// What an end mark means for the answer.
enum class EndVerdict : std::uint8_t
{
  Complete,
  /// Pieces before the end are missing.
  Incomplete,
  /// Names fewer pieces than were delivered, or than an earlier mark.
  Contradictory,
  /// Of an earlier or another attempt.
  Ignored
};

/// Takes pieces of aAttempt from now on; what the attempt before it left in
/// the wrong order is dropped. Precondition: aAttempt was not used before.
auto
BeginAttempt(PieceSequencer& aSequencer, const AttemptId& aAttempt) -> void;

/// Takes a piece and returns the texts to deliver now, in order.
auto
TakePiece(PieceSequencer& aSequencer, const StreamPiece& aPiece)
  -> std::vector<std::string>;

/// Takes an end mark.
auto
TakeEnd(PieceSequencer& aSequencer, const StreamEnd& aEnd) -> EndVerdict;

/// True once the end mark came and every piece before it was delivered.
auto
IsComplete(const PieceSequencer& aSequencer) -> bool;

} // namespace cuminslip::endpoints
