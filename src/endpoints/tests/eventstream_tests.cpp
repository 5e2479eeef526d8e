#include "endpoints/eventstream.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace cuminslip;
using namespace cuminslip::endpoints;

namespace {

auto
KindsOf(const std::vector<StreamEvent>& aEvents) -> std::string
{
  auto kinds = std::string{};
  for (const auto& event : aEvents) {
    kinds += "pecm"[event.index()];
  }
  return kinds;
}

auto
ParseAll(const std::string& aBytes) -> std::vector<StreamEvent>
{
  auto parser = EventStreamParser{};
  return ParseStreamBytes(parser, aBytes);
}

const auto kStream = std::string(
  ": reading\n\n"
  "data: {\"attempt\": \"a-1\", \"piece\": 0, \"text\": \"one \\n\"}\n\n"
  "data: {\"attempt\": \"a-1\",\r\ndata: \"piece\": 1, \"text\": \"\"}\r\n\r\n"
  "id: 7\nretry: 10\n\n"
  "data: {\"attempt\": \"a-1\", \"end\": true, \"pieces\": 2, \"reason\": "
  "\"length\"}\n\n");

} // namespace

BOOST_AUTO_TEST_SUITE(EventStreamTests)

BOOST_AUTO_TEST_CASE(DistinguishesPiecesEndAndComments)
{
  const auto expected = std::vector<StreamEvent>{
    StreamComment{ "reading" },
    StreamPiece{ { "a-1" }, 0, "one \n" },
    StreamPiece{ { "a-1" }, 1, "" },
    StreamEnd{ { "a-1" }, 2, "length" },
  };
  BOOST_TEST((ParseAll(kStream) == expected));
}

BOOST_AUTO_TEST_CASE(DistinguishesMalformedEvents)
{
  struct Row
  {
    std::string mBytes;
    std::string mKinds;
  };
  const auto rows = std::vector<Row>{
    { "data: {\n\n", "m" },
    { "data: [DONE]\n\n", "m" },
    { "data:\n\n", "m" },
    { "data: {\"attempt\": \"a\", \"piece\": -1, \"text\": \"x\"}\n\n", "m" },
    { "data: {\"attempt\": \"a\", \"piece\": 0}\n\n", "m" },
    { "data: {\"attempt\": \"a\", \"piece\": 0, \"text\": 5}\n\n", "m" },
    { "data: {\"piece\": 0, \"text\": \"x\"}\n\n", "m" },
    { "data: {\"attempt\": \"a\", \"end\": true}\n\n", "m" },
    { "data: {\"attempt\": \"a\", \"piece\": 9999999999, \"text\": \"\"}\n\n",
      "m" },
    { "event: error\ndata: {\"attempt\": \"a\", \"piece\": 0, \"text\": \"x\"}"
      "\n\n",
      "m" },
    { "\n\n\n", "" },
    { ":\n:\n", "cc" },
    { "data: {\"attempt\": \"a\", \"piece\": 0, \"text\": \"x\"}\n", "" },
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.mBytes)
    {
      BOOST_TEST(KindsOf(ParseAll(row.mBytes)) == row.mKinds);
    }
  }
}

BOOST_AUTO_TEST_CASE(AMalformedEventDoesNotAffectTheNext)
{
  BOOST_TEST(KindsOf(ParseAll("data: {\n\n" + kStream)) == "mcppe");
}

BOOST_AUTO_TEST_CASE(BufferIsBounded)
{
  auto parser = EventStreamParser{};
  parser.mMaxEventBytes = 100;

  auto events = ParseStreamBytes(parser, "data: " + std::string(60, ' '));
  BOOST_TEST(events.empty());
  BOOST_TEST(HasPartialEvent(parser));
  events = ParseStreamBytes(parser, std::string(60, ' '));
  BOOST_TEST(KindsOf(events) == "m");
  BOOST_TEST(parser.mHasFailed);
  BOOST_TEST(ParseStreamBytes(parser, "\n\n" + kStream).empty());
  BOOST_TEST(parser.mLine.empty());
}

BOOST_AUTO_TEST_CASE(ManyShortDataLinesAreBoundedToo)
{
  auto parser = EventStreamParser{};
  parser.mMaxEventBytes = 100;
  auto bytes = std::string{};
  for (auto i = 0; i < 50; ++i) {
    bytes += "data: abc\n";
  }
  BOOST_TEST(KindsOf(ParseStreamBytes(parser, bytes)) == "m");
}

BOOST_AUTO_TEST_CASE(SplitPositionsDoNotMatter)
{
  const auto whole = ParseAll(kStream);
  const auto holds = rc::check("the same events come for any cuts", [&whole] {
    const auto step = *rc::gen::inRange<std::size_t>(1, 20);
    auto parser = EventStreamParser{};
    auto events = std::vector<StreamEvent>{};
    for (std::size_t i = 0; i < kStream.size(); i += step) {
      for (auto& it : ParseStreamBytes(parser, kStream.substr(i, step))) {
        events.push_back(std::move(it));
      }
    }
    RC_ASSERT(events == whole);
    RC_ASSERT(!HasPartialEvent(parser));
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
