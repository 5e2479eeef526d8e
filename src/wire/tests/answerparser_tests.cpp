#include "wire/internal/answerparser.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace cuminslip::wire;

namespace {

/// What an answer given in pieces adds up to.
struct Parsed
{
  AnswerPhase mPhase = AnswerPhase::Head;
  int mStatus = 0;
  std::string mBody;
  std::string mLeft;

  auto operator==(const Parsed&) const -> bool = default;
};

/// Feeds the bytes in two pieces, cut at aCut.
auto
ParseCut(const std::string& aBytes, std::size_t aCut) -> Parsed
{
  auto parser = AnswerParser{};
  auto parsed = Parsed{};
  auto buf = std::string{};
  for (const auto& piece : { aBytes.substr(0, aCut), aBytes.substr(aCut) }) {
    buf += piece;
    while (!buf.empty() && parser.mPhase != AnswerPhase::Done &&
           parser.mPhase != AnswerPhase::Failed) {
      const auto part = ParseAnswer(parser, buf.data(), buf.size());
      if (part.mHead) {
        parsed.mStatus = part.mHead->mStatus;
      }
      parsed.mBody += part.mPiece;
      const auto isDone = parser.mPhase == AnswerPhase::Done;
      if (part.mConsumed == 0 && !part.mHead && !isDone) {
        break;
      }
      buf = buf.substr(part.mConsumed, part.mLeft);
    }
  }
  parsed.mPhase = parser.mPhase;
  parsed.mLeft = buf;
  return parsed;
}

/// Checks that the answer means the same wherever it is cut.
auto
CheckEverywhere(const std::string& aBytes, const Parsed& aExpected) -> void
{
  for (auto cut = std::size_t{ 0 }; cut <= aBytes.size(); ++cut) {
    const auto parsed = ParseCut(aBytes, cut);
    BOOST_TEST((parsed == aExpected), "cut at " << cut);
  }
}

auto
CheckFails(const std::string& aBytes) -> void
{
  for (auto cut = std::size_t{ 0 }; cut <= aBytes.size(); ++cut) {
    const auto parsed = ParseCut(aBytes, cut);
    BOOST_TEST((parsed.mPhase == AnswerPhase::Failed),
               aBytes << " cut at " << cut);
    BOOST_TEST(parsed.mStatus == 0);
  }
}

auto
HeadOf(const std::string& aBytes) -> AnswerHead
{
  auto parser = AnswerParser{};
  auto buf = aBytes;
  const auto part = ParseAnswer(parser, buf.data(), buf.size());
  return part.mHead.value_or(AnswerHead{});
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerParserTests)

BOOST_AUTO_TEST_CASE(ABodyOfStatedLengthEndsThere)
{
  CheckEverywhere("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                  { AnswerPhase::Done, 200, "hello", "" });
}

BOOST_AUTO_TEST_CASE(ChunksAreJoinedAndTheLastOneEnds)
{
  CheckEverywhere("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
                  { AnswerPhase::Done, 200, "abcdefg", "" });
}

BOOST_AUTO_TEST_CASE(AChunkedBodyWithoutItsLastChunkIsNotDone)
{
  CheckEverywhere("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n",
                  { AnswerPhase::ChunkedBody, 200, "abc", "" });
}

BOOST_AUTO_TEST_CASE(ABodyWithoutLengthStaysOpen)
{
  CheckEverywhere("HTTP/1.1 200 OK\r\n\r\nsome bytes",
                  { AnswerPhase::OpenBody, 200, "some bytes", "" });
}

BOOST_AUTO_TEST_CASE(BytesBehindTheAnswerAreLeft)
{
  const auto bytes =
    std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n");
  const auto parsed = ParseCut(bytes, bytes.size());

  BOOST_TEST(parsed.mBody == "abc");
  BOOST_TEST(parsed.mLeft == "HTTP/1.1 200 OK\r\n");
}

BOOST_AUTO_TEST_CASE(AnInterimAnswerIsFollowedByTheFinalOne)
{
  CheckEverywhere("HTTP/1.1 100 Continue\r\n\r\n"
                  "HTTP/1.1 204 No Content\r\n\r\n",
                  { AnswerPhase::Done, 204, "", "" });
}

BOOST_AUTO_TEST_CASE(WhatIsNoAnswerFails)
{
  for (const auto* bytes : { "garbage without sense\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
                             "\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                             "\r\nnot hex\r\n" }) {
    const auto text = std::string(bytes);
    const auto parsed = ParseCut(text, text.size());
    BOOST_TEST((parsed.mPhase == AnswerPhase::Failed), text);
  }
}

// Statuses below 100 counted as interim, so that a body which looks like an
// answer was taken for the final one.
BOOST_AUTO_TEST_CASE(AStatusThatNoAnswerHasFails)
{
  for (const auto* status :
       { "000", "001", "099", "101", "600", "700", "999" }) {
    CheckFails("HTTP/1.1 " + std::string(status) +
               " Status\r\nContent-Length: 38\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  for (const auto* status : { "200", "299", "404", "500", "599" }) {
    CheckEverywhere("HTTP/1.1 " + std::string(status) +
                      " Status\r\nContent-Length: 1\r\n\r\nb",
                    { AnswerPhase::Done, std::stoi(status), "b", "" });
  }
  for (const auto* status : { "100", "102", "103" }) {
    CheckEverywhere("HTTP/1.1 " + std::string(status) +
                      " Status\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
                    { AnswerPhase::Done, 204, "", "" });
  }
}

BOOST_AUTO_TEST_CASE(SeveralTransferCodingsFail)
{
  for (const auto* codings : { "Transfer-Encoding: chunked\r\n"
                               "Transfer-Encoding: gzip\r\n",
                               "Transfer-Encoding: gzip\r\n"
                               "Transfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: chunked\r\n"
                               "Transfer-Encoding: chunked\r\n",
                               "Transfer-Encoding: chunked, chunked\r\n",
                               "Transfer-Encoding: chunked\r\n"
                               "Transfer-Encoding:\r\n",
                               "Transfer-Encoding:\r\n" }) {
    CheckFails("HTTP/1.1 200 OK\r\n" + std::string(codings) +
               "\r\n4\r\nbody\r\n0\r\n\r\n");
  }
}

BOOST_AUTO_TEST_CASE(ANameWithABlankOrAControlByteFails)
{
  for (const auto* name :
       { "X A", "X ", "X\tA", "X\x01", "\x7fX", "X\r", "", "X\x0b", "X\x80" }) {
    CheckFails("HTTP/1.1 200 OK\r\nX-First: 1\r\n" + std::string(name) +
               ": 2\r\nContent-Length: 0\r\n\r\n");
  }
  CheckFails("HTTP/1.1 200 OK\r\n X: 2\r\nContent-Length: 0\r\n\r\n");
  CheckFails("HTTP/1.1 200 OK\r\n" + std::string("X\0A", 3) + ": 2\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(TrailersAreDropped)
{
  for (const auto* name : { "X-A", "X A", "X\x01", "Content-Length" }) {
    CheckEverywhere("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1\r\nb\r\n0\r\n" +
                      std::string(name) + ": 2\r\n\r\n",
                    { AnswerPhase::Done, 200, "b", "" });
  }
}

BOOST_AUTO_TEST_CASE(AHeadThatNeverEndsIsTooLarge)
{
  auto parser = AnswerParser{};
  parser.mMaxHeadBytes = 100;
  auto bytes = "HTTP/1.1 200 OK\r\nx: " + std::string(100, 'y');
  ParseAnswer(parser, bytes.data(), bytes.size());

  BOOST_TEST((parser.mPhase == AnswerPhase::TooLarge));
}

BOOST_AUTO_TEST_CASE(TheHeadTellsWhetherTheConnectionIsKept)
{
  const auto kept =
    HeadOf("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7, max=9\r\n\r\n");
  BOOST_TEST(kept.mIsPersistent);
  BOOST_TEST(kept.mKeepAliveSeconds.value_or(0) == 7);
  BOOST_TEST(
    !HeadOf("HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n").mIsPersistent);
  BOOST_TEST(!HeadOf("HTTP/1.0 200 OK\r\n\r\n").mIsPersistent);
}

BOOST_AUTO_TEST_CASE(AHeaderOnTwoLinesKeepsItsName)
{
  auto bytes = std::string("HTTP/1.1 200 OK\r\nX-A: one\r\n  two\r\n\r\n");
  auto parser = AnswerParser{};
  const auto part = ParseAnswer(parser, bytes.data(), bytes.size());
  BOOST_REQUIRE(part.mHead.has_value());
  BOOST_TEST(part.mHead->mHeaders.size() == 1U);
  BOOST_TEST(FindHeader(part.mHead->mHeaders, "x-a").value_or("") ==
             "one   two");
}

BOOST_AUTO_TEST_SUITE_END()
