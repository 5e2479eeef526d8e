#include "wire/internal/requestparser.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace cuminslip::wire;

namespace {

constexpr auto kMaxHead = std::size_t{ 256 };
constexpr auto kMaxBody = std::size_t{ 32 };

/// What a request given in two pieces adds up to.
struct Parsed
{
  RequestPhase mPhase = RequestPhase::Head;
  int mProblem = 0;
  std::string mBody;
  std::string mRest;

  auto operator==(const Parsed&) const -> bool = default;
};

auto
ParseCut(const std::string& aBytes, std::size_t aCut) -> Parsed
{
  auto parser = RequestParser{};
  parser.mMaxHeadBytes = kMaxHead;
  parser.mMaxBodyBytes = kMaxBody;
  auto parsed = Parsed{};
  auto head = std::string{};
  for (const auto& piece : { aBytes.substr(0, aCut), aBytes.substr(aCut) }) {
    auto buf = piece;
    if (parser.mPhase == RequestPhase::Head && !buf.empty()) {
      head += buf;
      auto used = std::size_t{ 0 };
      if (!ParseRequestHead(parser, head, used)) {
        continue;
      }
      buf = head.substr(used);
    }
    while (!buf.empty() && (parser.mPhase == RequestPhase::LengthBody ||
                            parser.mPhase == RequestPhase::ChunkedBody)) {
      const auto part = ParseRequestBody(parser, buf.data(), buf.size());
      parsed.mBody += part.mPayload;
      buf = std::string(part.mRest);
    }
    parsed.mRest += buf;
  }
  parsed.mPhase = parser.mPhase;
  parsed.mProblem = parser.mProblem;
  return parsed;
}

/// Checks that the request means the same wherever it is cut.
auto
CheckEverywhere(const std::string& aBytes, const Parsed& aExpected) -> void
{
  for (auto cut = std::size_t{ 0 }; cut <= aBytes.size(); ++cut) {
    BOOST_TEST((ParseCut(aBytes, cut) == aExpected),
               aBytes << " cut at " << cut);
  }
}

auto
CheckProblem(const std::string& aHeaders, int aStatus) -> void
{
  const auto bytes = "POST / HTTP/1.1\r\n" + aHeaders + "\r\n";
  for (auto cut = std::size_t{ 0 }; cut <= bytes.size(); ++cut) {
    BOOST_TEST(ParseCut(bytes, cut).mProblem == aStatus,
               bytes << " cut at " << cut);
  }
}

auto
HeadOf(const std::string& aBytes) -> RequestHead
{
  auto parser = RequestParser{};
  auto used = std::size_t{ 0 };
  return ParseRequestHead(parser, aBytes, used).value_or(RequestHead{});
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestParserTests)

BOOST_AUTO_TEST_CASE(BodiesEndWhereTheirFramingSays)
{
  const auto next = std::string("GET /b HTTP/1.1\r\n");
  CheckEverywhere("GET /a HTTP/1.1\r\nhost: h\r\n\r\n" + next,
                  { RequestPhase::Done, 0, "", next });
  CheckEverywhere("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello" + next,
                  { RequestPhase::Done, 0, "hello", next });
  CheckEverywhere("POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"
                  "3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n" +
                    next,
                  { RequestPhase::Done, 0, "abcde", next });
  CheckEverywhere("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhello",
                  { RequestPhase::LengthBody, 0, "hello", "" });
  CheckEverywhere("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "3\r\nabc\r\n",
                  { RequestPhase::ChunkedBody, 0, "abc", "" });
}

BOOST_AUTO_TEST_CASE(TheHeadIsTakenApart)
{
  const auto head = HeadOf("PUT /a/b?c=d&e HTTP/1.1\r\nHost: h.example:8\r\n"
                           "X-Name: Value\r\nContent-Length: 4\r\n"
                           "Expect: 100-continue\r\nConnection: Close\r\n"
                           "Upgrade: h2c\r\n\r\n");
  BOOST_TEST(head.mRequest.mMethod == "PUT");
  BOOST_TEST(head.mRequest.mPath == "/a/b");
  BOOST_TEST(head.mRequest.mQuery == "c=d&e");
  BOOST_TEST(head.mRequest.mHost == "h.example:8");
  BOOST_TEST((head.mRequest.mHeaders ==
              Headers{ { "x-name", "Value" }, { "connection", "Close" } }));
  BOOST_TEST(head.mBodyBytes.value_or(0) == 4U);
  BOOST_TEST(head.mExpectsContinue);
  BOOST_TEST(!head.mIsPersistent);
  const auto absolute =
    HeadOf("GET http://a.example/x?y HTTP/1.1\r\nHost: b\r\n\r\n");
  BOOST_TEST(absolute.mRequest.mHost == "a.example");
  BOOST_TEST(absolute.mRequest.mPath == "/x");
  BOOST_TEST(absolute.mRequest.mQuery == "y");
  BOOST_TEST(HeadOf("GET / HTTP/1.1\r\n\r\n").mIsPersistent);
  BOOST_TEST(!HeadOf("GET / HTTP/1.0\r\n\r\n").mIsPersistent);
  BOOST_TEST(
    HeadOf("GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n").mIsPersistent);
  BOOST_TEST(!HeadOf("GET / HTTP/1.0\r\n\r\n").mReadsChunks);
}

// Of two framings a proxy may take the other, and take the body for a request.
BOOST_AUTO_TEST_CASE(AmbiguousHeadsAreRefused)
{
  for (const auto* headers :
       { "Content-Length: 2\r\nContent-Length: 3\r\n",
         "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Transfer-Encoding:\r\n",
         "Content-Length: +2\r\n",
         "Content-Length: -2\r\n",
         "Content-Length: 2, 2\r\n",
         "Content-Length:\r\n",
         "Content-Length: 0x2\r\n",
         "Host: a\r\nHost: b\r\n",
         "X A: 1\r\n",
         "X\x01: 1\r\n",
         "X : 1\r\n",
         "X: 1\r\n folded\r\n" }) {
    CheckProblem(headers, 400);
  }
  CheckProblem("Expect: miracles\r\n", 417);
  BOOST_TEST(
    ParseCut("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 0)
      .mProblem == 400);
  for (const auto* line : { "PRI * HTTP/2.0", "GET x HTTP/1.1", "nonsense" }) {
    BOOST_TEST(ParseCut(line + std::string("\r\n\r\n"), 0).mProblem == 400);
  }
}

BOOST_AUTO_TEST_CASE(WhatExceedsTheLimitsIsRefused)
{
  CheckProblem("Content-Length: 33\r\n", 413);
  CheckProblem("Content-Length: 99999999999999999999999\r\n", 413);
  CheckProblem("X: " + std::string(kMaxHead, 'x') + "\r\n", 431);
  BOOST_TEST(ParseCut("GET / HTTP/1.1\r\nX: " + std::string(kMaxHead, 'x'), 9)
               .mProblem == 431);
  const auto chunked =
    std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  BOOST_TEST(ParseCut(chunked + "21\r\n" + std::string(33, 'b'), 50).mProblem ==
             413);
  for (const auto& endless :
       { "1;" + std::string(16450, 'e'),
         "0\r\n" + std::string(16450, 't'),
         std::string("1\r\nb\r\n1;") + std::string(16450, 'e') }) {
    BOOST_TEST(ParseCut(chunked + endless, 60).mProblem == 400);
  }
}

BOOST_AUTO_TEST_SUITE_END()
