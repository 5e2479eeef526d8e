#pragma once

#include "base/clock.h"
#include "base/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

/// What a stand-in engine is asked and what it gives out.
namespace cuminslip::fakes {

/// A stream to run; the prompt stands as its digest and length.
struct StreamRequest
{
  std::string mAttempt;
  std::string mOwner;
  Incarnation mOwnerIncarnation = 0;
  std::string mModel;
  std::string mVersion;
  std::string mAdapter;
  std::int64_t mPromptTokens = 0;
  std::uint64_t mDigest = 0;
  std::vector<std::string> mPrefixHashes;
  std::int64_t mMaxTokens = 1;
  int mPriority = 1;
  Millis mAllowance{ 60000 };
  Millis mLease{ 15000 };
  std::int64_t mSkipPieces = 0;

  auto operator==(const StreamRequest&) const -> bool = default;
};

/// A stream to take over from its earlier attempt.
struct ResumeRequest
{
  std::string mAttempt;
  std::string mNewAttempt;
  std::int64_t mFromPiece = 0;
  std::string mOwner;
  Incarnation mOwnerIncarnation = 0;
  Millis mLease{ 15000 };

  auto operator==(const ResumeRequest&) const -> bool = default;
};

/// Memory to hold: a reservation, an export or an import.
struct HoldRequest
{
  std::string mId;
  std::string mKind;
  std::string mOwner;
  Incarnation mOwnerIncarnation = 0;
  Millis mLease{ 15000 };
  std::int64_t mTokens = 0;

  auto operator==(const HoldRequest&) const -> bool = default;
};

/// One part of a long prompt, read into a reservation.
struct PartRequest
{
  std::string mReservation;
  std::string mPart;
  std::int64_t mTokens = 0;
  /// Digest of the prompt up to the end of this part.
  std::uint64_t mDigest = 0;
  int mPriority = 1;

  auto operator==(const PartRequest&) const -> bool = default;
};

/// An order of the placement controller.
struct OrderRequest
{
  std::string mOrder;
  std::uint64_t mFencing = 0;
  Millis mExpiresIn{ 0 };
  std::string mAction;
  std::string mModel;
  std::string mVersion;
  std::string mAdapter;
  std::string mRole;

  auto operator==(const OrderRequest&) const -> bool = default;
};

/// Whether a request was taken; a refusal has run nothing.
struct Verdict
{
  bool mIsAccepted = true;
  int mStatus = 200;
  std::string mReason;
  Millis mRetryAfter{ 0 };

  auto operator==(const Verdict&) const -> bool = default;
};

enum class OutputKind : std::uint8_t
{
  /// Part of the prompt was read.
  Reading,
  Piece,
  /// The stream is over, with mReason and the whole number of pieces.
  End,
  /// A part of a long prompt was read.
  PartRead
};

/// Something for the caller of a stream or part.
struct EngineOutput
{
  OutputKind mKind = OutputKind::Piece;
  std::string mAttempt;
  std::int64_t mPiece = 0;
  std::string mText;
  std::string mReason;

  auto operator==(const EngineOutput&) const -> bool = default;
};

/// A change of the prefix cache.
struct CacheEvent
{
  std::uint64_t mSequence = 0;
  bool mIsStored = true;
  std::string mPrefix;
  std::int64_t mTokens = 0;
  TimePoint mAt;

  auto operator==(const CacheEvent&) const -> bool = default;
};

} // namespace cuminslip::fakes
