#include "endpoints/piecesequencer.h"

namespace cuminslip::endpoints {

namespace {

auto
IsCurrent(const PieceSequencer& aSequencer, const AttemptId& aAttempt) -> bool
{
  return aAttempt == aSequencer.mAttempt && !IsComplete(aSequencer);
}

auto
CountDiscarded(PieceSequencer& aSequencer, const AttemptId& aAttempt) -> void
{
  const auto isOurs = aAttempt == aSequencer.mAttempt ||
                      aSequencer.mEarlierAttempts.contains(aAttempt);
  ++(isOurs ? aSequencer.mCounts.mLate : aSequencer.mCounts.mForeign);
}

auto
Hold(PieceSequencer& aSequencer, const StreamPiece& aPiece) -> void
{
  auto& counts = aSequencer.mCounts;
  const auto size = aSequencer.mHeldBytes + aPiece.mText.size();
  if (aSequencer.mHeld.contains(aPiece.mNumber)) {
    ++counts.mDoubled;
    return;
  }
  if (aSequencer.mHeld.size() >= kMaxHeldPieces || size > kMaxHeldBytes) {
    ++counts.mOverflowed;
    return;
  }
  ++counts.mReordered;
  aSequencer.mHeld.emplace(aPiece.mNumber, aPiece.mText);
  aSequencer.mHeldBytes = size;
}

auto
Deliver(PieceSequencer& aSequencer,
        std::string aText,
        std::vector<std::string>& aTexts) -> void
{
  ++aSequencer.mNext;
  ++aSequencer.mCounts.mDelivered;
  aTexts.push_back(std::move(aText));
}

} // namespace

auto
BeginAttempt(PieceSequencer& aSequencer, const AttemptId& aAttempt) -> void
{
  if (!aSequencer.mAttempt.mValue.empty()) {
    aSequencer.mEarlierAttempts.insert(aSequencer.mAttempt);
  }
  aSequencer.mAttempt = aAttempt;
  aSequencer.mHeld.clear();
  aSequencer.mHeldBytes = 0;
  aSequencer.mPieces.reset();
}

auto
TakePiece(PieceSequencer& aSequencer, const StreamPiece& aPiece)
  -> std::vector<std::string>
{
  auto texts = std::vector<std::string>{};
  if (!IsCurrent(aSequencer, aPiece.mAttempt)) {
    CountDiscarded(aSequencer, aPiece.mAttempt);
    return texts;
  }
  if (aPiece.mNumber < aSequencer.mNext) {
    ++aSequencer.mCounts.mDoubled;
    return texts;
  }
  if (aSequencer.mPieces && aPiece.mNumber >= *aSequencer.mPieces) {
    ++aSequencer.mCounts.mLate;
    return texts;
  }
  if (aPiece.mNumber > aSequencer.mNext) {
    Hold(aSequencer, aPiece);
    return texts;
  }
  Deliver(aSequencer, aPiece.mText, texts);
  auto& held = aSequencer.mHeld;
  while (!held.empty() && held.begin()->first == aSequencer.mNext) {
    auto node = held.extract(held.begin());
    aSequencer.mHeldBytes -= node.mapped().size();
    Deliver(aSequencer, std::move(node.mapped()), texts);
  }
  return texts;
}

auto
TakeEnd(PieceSequencer& aSequencer, const StreamEnd& aEnd) -> EndVerdict
{
  if (!IsCurrent(aSequencer, aEnd.mAttempt)) {
    return EndVerdict::Ignored;
  }
  const auto& held = aSequencer.mHeld;
  const auto isTooShort =
    aEnd.mPieces < aSequencer.mNext ||
    (!held.empty() && held.rbegin()->first >= aEnd.mPieces);
  const auto isOther =
    aSequencer.mPieces.value_or(aEnd.mPieces) != aEnd.mPieces;
  if (isTooShort || isOther) {
    return EndVerdict::Contradictory;
  }
  aSequencer.mPieces = aEnd.mPieces;
  return IsComplete(aSequencer) ? EndVerdict::Complete : EndVerdict::Incomplete;
}

auto
IsComplete(const PieceSequencer& aSequencer) -> bool
{
  return aSequencer.mPieces == aSequencer.mNext;
}

} // namespace cuminslip::endpoints
