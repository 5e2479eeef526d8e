#include "endpoints/piecesequencer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

const auto kFirst = AttemptId{ "a-1" };
const auto kSecond = AttemptId{ "a-2" };
const auto kStranger = AttemptId{ "b-1" };

struct Row
{
  std::string mName;
  std::vector<StreamPiece> mPieces;
  std::string mText;
  PieceCounts mCounts;
};

// Order of counts: delivered, late, doubled, reordered, foreign, overflown.
const auto kRows = std::vector<Row>{
  { "in order",
    { { kSecond, 0, "a" }, { kSecond, 1, "b" }, { kSecond, 2, "c" } },
    "abc",
    { 3 } },
  { "doubled",
    { { kSecond, 0, "a" }, { kSecond, 0, "a" }, { kSecond, 1, "b" } },
    "ab",
    { 2, 0, 1 } },
  { "reordered",
    { { kSecond, 2, "c" }, { kSecond, 1, "b" }, { kSecond, 0, "a" } },
    "abc",
    { 3, 0, 0, 2 } },
  { "doubled while held",
    { { kSecond, 1, "b" }, { kSecond, 1, "b" }, { kSecond, 0, "a" } },
    "ab",
    { 2, 0, 1, 1 } },
  { "late ones of an earlier attempt",
    { { kSecond, 0, "a" }, { kFirst, 1, "x" }, { kSecond, 1, "b" } },
    "ab",
    { 2, 1 } },
  { "foreign",
    { { kStranger, 0, "x" }, { kSecond, 0, "a" } },
    "a",
    { 1, 0, 0, 0, 1 } },
  { "a hole stays",
    { { kSecond, 0, "a" }, { kSecond, 2, "c" } },
    "a",
    { 1, 0, 0, 1 } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(PieceSequencerTests)

BOOST_AUTO_TEST_CASE(PiecesFollowTheFaultTable)
{
  for (const auto& row : kRows) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      auto sequencer = PieceSequencer{};
      BeginAttempt(sequencer, kFirst);
      BeginAttempt(sequencer, kSecond);
      auto text = std::string{};
      for (const auto& piece : row.mPieces) {
        for (const auto& it : TakePiece(sequencer, piece)) {
          text += it;
        }
      }
      BOOST_TEST(text == row.mText);
      BOOST_TEST((sequencer.mCounts == row.mCounts));
    }
  }
}

BOOST_AUTO_TEST_CASE(EndIsCheckedAgainstThePieces)
{
  auto sequencer = PieceSequencer{};
  BeginAttempt(sequencer, kFirst);
  TakePiece(sequencer, { kFirst, 0, "a" });
  TakePiece(sequencer, { kFirst, 1, "b" });

  BOOST_TEST((TakeEnd(sequencer, { kStranger, 2, "" }) == EndVerdict::Ignored));
  BOOST_TEST(
    (TakeEnd(sequencer, { kFirst, 1, "" }) == EndVerdict::Contradictory));
  BOOST_TEST((TakeEnd(sequencer, { kFirst, 3, "" }) == EndVerdict::Incomplete));
  BOOST_TEST(!IsComplete(sequencer));
  BOOST_TEST(
    (TakeEnd(sequencer, { kFirst, 4, "" }) == EndVerdict::Contradictory));
  TakePiece(sequencer, { kFirst, 3, "beyond the end" });
  BOOST_TEST(TakePiece(sequencer, { kFirst, 2, "c" }).size() == 1U);
  BOOST_TEST(IsComplete(sequencer));
  BOOST_TEST(TakePiece(sequencer, { kFirst, 3, "d" }).empty());
  BOOST_TEST(sequencer.mCounts.mLate == 2);
}

BOOST_AUTO_TEST_CASE(ANewAttemptGoesOnWhereTheDeliveryStopped)
{
  auto sequencer = PieceSequencer{};
  BeginAttempt(sequencer, kFirst);
  TakePiece(sequencer, { kFirst, 0, "a" });
  TakePiece(sequencer, { kFirst, 2, "held and dropped" });

  BeginAttempt(sequencer, kSecond);
  BOOST_TEST(sequencer.mNext == 1);
  BOOST_TEST(sequencer.mHeldBytes == 0U);
  BOOST_TEST(TakePiece(sequencer, { kSecond, 1, "b" }).size() == 1U);
  BOOST_TEST((TakeEnd(sequencer, { kFirst, 3, "" }) == EndVerdict::Ignored));
  BOOST_TEST((TakeEnd(sequencer, { kSecond, 2, "" }) == EndVerdict::Complete));
}

BOOST_AUTO_TEST_CASE(HeldPiecesAreBounded)
{
  auto sequencer = PieceSequencer{};
  BeginAttempt(sequencer, kFirst);
  for (auto i = 1; i < 5000; ++i) {
    TakePiece(sequencer, { kFirst, i, std::string(200, 'x') });
  }
  BOOST_TEST(sequencer.mHeldBytes <= kMaxHeldBytes);
  BOOST_TEST(sequencer.mCounts.mOverflowed > 0);
}

BOOST_AUTO_TEST_CASE(ShuffledAndDoubledPiecesMakeTheSameAnswer)
{
  for (const auto seed : { 1U, 2U, 3U, 5U, 8U, 13U }) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937(seed);
      auto pieces = std::vector<StreamPiece>{};
      auto expected = std::string{};
      for (auto i = 0; i < 200; ++i) {
        pieces.push_back({ kFirst, i, std::to_string(i) + " " });
        expected += pieces.back().mText;
      }
      for (auto i = 0; i < 100; ++i) {
        pieces.push_back(pieces[random() % 200]);
        pieces.push_back({ kStranger, i, "x" });
      }
      std::shuffle(pieces.begin(), pieces.end(), random);
      auto sequencer = PieceSequencer{};
      BeginAttempt(sequencer, kFirst);
      TakeEnd(sequencer, { kFirst, 200, "length" });
      auto text = std::string{};
      for (const auto& piece : pieces) {
        for (const auto& it : TakePiece(sequencer, piece)) {
          text += it;
        }
      }
      BOOST_TEST(text == expected);
      BOOST_TEST(IsComplete(sequencer));
      BOOST_TEST(sequencer.mCounts.mForeign == 100);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
