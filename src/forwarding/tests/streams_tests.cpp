#include "forwarding/eventsplitter.h"
#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

namespace {

auto
Event(int aId) -> std::string
{
  const auto id = std::to_string(aId);
  return "id: " + id + "\ndata: piece " + id + "\n\n";
}

auto
Events(int aFirst, int aLast) -> std::string
{
  auto text = std::string{};
  for (auto i = aFirst; i <= aLast; ++i) {
    text += Event(i);
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventSplitterTests)

BOOST_AUTO_TEST_CASE(EventsAreReassembledFromAnySplit)
{
  const auto text = std::string("id: 7\ndata: a\n\n"
                                "x-weight-versions: 2\r\nid:8\r\n\r\n"
                                "data: no id\n\nid: 9\nhalf");
  for (auto cut = std::size_t{ 0 }; cut <= text.size(); ++cut) {
    auto splitter = EventSplitter{};
    auto events = SplitEvents(splitter, text.substr(0, cut));
    for (auto& it : SplitEvents(splitter, text.substr(cut))) {
      events.push_back(std::move(it));
    }
    BOOST_REQUIRE(events.size() == 3U);
    BOOST_TEST(events[0].mId.value_or(0) == 7U);
    BOOST_TEST(events[1].mId.value_or(0) == 8U);
    BOOST_TEST(!events[2].mId.has_value());
    BOOST_TEST(events[0].mBytes + events[1].mBytes + events[2].mBytes +
                 splitter.mRest ==
               text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StreamTests, ReadyWorld)

BOOST_AUTO_TEST_CASE(ALateCopyDoesNotPromiseThatARequestHasNotRun)
{
  for (const auto* route : { "book", "once" }) {
    const auto sends = mSends.size();
    const auto caller = Ask(MakeRequest(route));
    End(LastSend(), ExchangeEnd::Unattributed);
    BOOST_REQUIRE(caller->mResponse.has_value());
    BOOST_TEST(caller->mResponse->mBody == ToText(FailureKind::EndpointFailed));
    BOOST_TEST(mSends.size() == sends + 1);
  }
  for (const auto* route : { "read", "draft" }) {
    const auto caller = Ask(MakeRequest(route));
    End(LastSend(), ExchangeEnd::Unattributed);
    Run(Millis(60));
    Answer(LastSend(), 503, { { "id", "r1" }, { "not-run", "1" } }, "");
    BOOST_REQUIRE(caller->mResponse.has_value());
    BOOST_TEST(caller->mResponse->mBody == ToText(FailureKind::EndpointFailed));
  }
}

BOOST_AUTO_TEST_CASE(EventsPassAsTheyCome)
{
  const auto caller = Ask(MakeRequest("draft"));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Event(1));
  BOOST_TEST(caller->mStreamStatus == 200);
  BOOST_TEST(caller->mStreamed == Event(1));
  Piece(LastSend(), Event(2).substr(0, 9));
  BOOST_TEST(caller->mStreamed == Event(1),
             "an incomplete event is not forwarded");
  Piece(LastSend(), Event(2).substr(9));
  End(LastSend(), ExchangeEnd::Complete);

  BOOST_TEST(caller->mStreamed == Events(1, 2));
  BOOST_TEST(caller->mIsFinished);
}

BOOST_AUTO_TEST_CASE(ABrokenStreamResumesElsewhereWithoutLostOrRepeatedEvents)
{
  const auto caller = Ask(MakeRequest("draft"));
  const auto first = LastSend().Header("endpoint");
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Events(1, 3) + "id: 4\ndata: pie");
  End(LastSend(), ExchangeEnd::Broken);
  BOOST_TEST(LastSend().Header("endpoint") != first);
  BOOST_TEST(LastSend().Header("after") == "3");
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Events(3, 6));
  End(LastSend(), ExchangeEnd::Complete);

  BOOST_TEST(caller->mStreamed == Events(1, 6));
  BOOST_TEST(caller->mIsFinished);
  BOOST_TEST(CountersOf(*mForwarder).mResumed == 1U);
}

BOOST_AUTO_TEST_CASE(AStreamWithAnEventMissingIsNotPassedOn)
{
  const auto caller = Ask(MakeRequest("draft"));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Event(1) + Event(3));
  BOOST_TEST(caller->mStreamed == Event(1));
  BOOST_TEST(mSends.front()->mIsCancelled);
  BOOST_TEST(LastSend().Header("after") == "1");
}

BOOST_AUTO_TEST_CASE(AStreamThatMayNotBeResumedIsCut)
{
  const auto caller = Ask(MakeRequest("once"));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Event(1));
  End(LastSend(), ExchangeEnd::Broken);

  BOOST_TEST(caller->mIsAborted);
  BOOST_TEST(!caller->mIsFinished);
  BOOST_TEST(mSends.size() == 1U);
}

// Incident ORDER: engines broke off streams that ended with their connection.
BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideAnEventIsNotComplete)
{
  for (const auto* rest :
       { "i", "id: 4", "id: 4\n", "id: 4\ndata: piece 4\n", ": comm" }) {
    const auto caller = Ask(MakeRequest("draft"));
    Head(LastSend(), 200, kSealed);
    Piece(LastSend(), Events(1, 3) + rest);
    End(LastSend(), ExchangeEnd::Complete, true);
    BOOST_TEST(!caller->mIsFinished, rest);
    BOOST_TEST(caller->mStreamed == Events(1, 3), rest);
    BOOST_TEST(LastSend().Header("after") == "3", rest);
    Head(LastSend(), 200, kSealed);
    Piece(LastSend(), Events(4, 6));
    End(LastSend(), ExchangeEnd::Complete, true);

    BOOST_TEST(caller->mStreamed == Events(1, 6), rest);
    BOOST_TEST(caller->mIsFinished, rest);
    Run(kSettled);
  }
}

BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideAnEventIsCutWhereItMayNotBeResumed)
{
  const auto caller = Ask(MakeRequest("once"));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Event(1) + "id: 2\ndata: pi");
  End(LastSend(), ExchangeEnd::Complete, true);

  BOOST_TEST(caller->mIsAborted);
  BOOST_TEST(!caller->mIsFinished);
  BOOST_TEST(caller->mStreamed == Event(1));
  BOOST_TEST(mSends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AResumedStreamThatEndsInsideItsFirstEventIsNotComplete)
{
  for (const auto* rest : { "", "id: 4\nda" }) {
    const auto caller = Ask(MakeRequest("draft"));
    Head(LastSend(), 200, kSealed);
    Piece(LastSend(), Events(1, 3));
    End(LastSend(), ExchangeEnd::Broken);
    Head(LastSend(), 200, kSealed);
    if (*rest != '\0') {
      Piece(LastSend(), rest);
    }
    End(LastSend(), ExchangeEnd::Complete, true);

    BOOST_TEST(!caller->mIsFinished, rest);
    BOOST_TEST(caller->mIsAborted, rest);
    Run(kSettled);
  }
}

BOOST_AUTO_TEST_CASE(AResumedStreamWithoutMoreEventsIsCompleteByItsFraming)
{
  const auto caller = Ask(MakeRequest("draft"));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Events(1, 3));
  End(LastSend(), ExchangeEnd::Broken);
  Head(LastSend(), 200, kSealed);
  End(LastSend(), ExchangeEnd::Complete);

  BOOST_TEST(caller->mIsFinished);
  BOOST_TEST(caller->mStreamed == Events(1, 3));
}

// Incident LOST: such an answer ended the process, and all requests in flight.
BOOST_AUTO_TEST_CASE(AWholeAnswerToAResumedStreamDoesNotReachItsCaller)
{
  const auto notRun = wire::Headers{ { "not-run", "1" }, { "id", "r1" } };
  for (const auto status :
       { 201, 204, 302, 400, 404, 421, 429, 500, 503, 504 }) {
    for (const auto& headers : { kSealed, notRun, wire::Headers{} }) {
      const auto caller = Ask(MakeRequest("draft"));
      Head(LastSend(), 200, kSealed);
      Piece(LastSend(), Events(1, 3));
      End(LastSend(), ExchangeEnd::Broken);
      const auto resumed = mSends.size();
      Answer(LastSend(), status, headers, "error text");

      BOOST_TEST(!caller->mResponse.has_value(), status);
      BOOST_TEST(caller->mStreamed == Events(1, 3), status);
      BOOST_TEST(!caller->mIsFinished, status);
      BOOST_TEST(caller->mIsAborted, status);
      BOOST_TEST(mSends.size() == resumed, status);
      BOOST_TEST(IsIdle(*mForwarder), status);
      Run(kSettled);
    }
  }
}

BOOST_AUTO_TEST_CASE(CommentsAndEmptyLinesMayEndAStream)
{
  for (const auto* rest : { "\n", "\r\n", ": done\n", ": done\r\n\r\n" }) {
    const auto caller = Ask(MakeRequest("draft"));
    Head(LastSend(), 200, kSealed);
    Piece(LastSend(), Events(1, 2) + rest);
    End(LastSend(), ExchangeEnd::Complete, true);

    BOOST_TEST(caller->mIsFinished, rest);
    BOOST_TEST(caller->mStreamed == Events(1, 2) + rest);
    Run(kSettled);
  }
}

BOOST_AUTO_TEST_CASE(AnEventWithoutEndIsGivenUp)
{
  const auto caller = Ask(MakeRequest("once"));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Event(1) + "id: 2\ndata: ");
  const auto piece = std::string(65536, 'x');
  for (auto i = 0; i < 100 && !caller->mIsAborted; ++i) {
    Piece(LastSend(), piece);
  }

  BOOST_TEST(caller->mIsAborted);
  BOOST_TEST(LastSend().mIsCancelled);
  BOOST_TEST(caller->mStreamed == Event(1));
}

BOOST_AUTO_TEST_CASE(ACallerThatDoesNotReadEndsItsStream)
{
  const auto caller = Ask(MakeRequest("once"));
  Head(LastSend(), 200, kSealed);
  caller->mIsReading = false;
  const auto event = "data: " + std::string(65536, 'x') + "\n\n";
  for (auto i = 0; i < 1000 && !caller->mIsAborted; ++i) {
    Piece(LastSend(), event);
  }

  BOOST_TEST(caller->mIsAborted);
  BOOST_TEST(LastSend().mIsCancelled);
}

BOOST_AUTO_TEST_CASE(TheCallersOwnLastEventIsPassedOn)
{
  auto request = MakeRequest("draft");
  request.mLastEvent = 12;
  Ask(request);

  BOOST_TEST(LastSend().Header("after") == "12");
}

BOOST_AUTO_TEST_CASE(AStreamThatEndsWithoutAnEventIsTriedElsewhere)
{
  const auto caller = Ask(MakeRequest("draft"));
  Head(LastSend(), 200, kSealed);
  End(LastSend(), ExchangeEnd::Complete);

  BOOST_TEST(mSends.size() == 2U);
  BOOST_TEST(!caller->mResponse.has_value());
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesMidwayEndsTheWork)
{
  const auto caller = Ask(MakeRequest("draft"));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Event(1));
  caller->mIsDisconnected = true;
  Run(Millis(110));

  BOOST_TEST(LastSend().mIsCancelled);
  BOOST_TEST(mSends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ASlowStreamIsNotCutBeforeItsDeadline)
{
  const auto caller = Ask(MakeRequest("draft"));
  Head(LastSend(), 200, kSealed);
  for (auto i = 1; i <= 4; ++i) {
    Run(Millis(1200));
    Piece(LastSend(), Event(i));
  }
  End(LastSend(), ExchangeEnd::Complete);
  BOOST_TEST(caller->mStreamed == Events(1, 4));
  BOOST_TEST(caller->mIsFinished);
  BOOST_TEST(mSends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(AStreamOfSingleBytesEndsAtItsDeadline)
{
  const auto caller = Ask(MakeRequest("draft"));
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), Event(1));
  for (auto i = 0; i < 10 && !caller->mIsAborted; ++i) {
    Run(Millis(1000));
    Piece(LastSend(), "x");
  }
  BOOST_TEST(caller->mIsAborted);
  BOOST_TEST(!caller->mIsFinished);
  BOOST_TEST(LastSend().mIsCancelled);
  BOOST_TEST(caller->mStreamed == Event(1));
  BOOST_TEST(IsIdle(*mForwarder));
}

BOOST_AUTO_TEST_SUITE_END()
