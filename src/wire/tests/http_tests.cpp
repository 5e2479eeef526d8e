#include "wire/testing/rawcaller.h"
#include "wire/tests/httpfixture.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::wire;
using cuminslip::wire::testing::Answer;
using cuminslip::wire::testing::Fetch;
using cuminslip::wire::testing::Fixture;
using cuminslip::wire::testing::kMaxBody;

BOOST_FIXTURE_TEST_SUITE(HttpTests, Fixture)

BOOST_AUTO_TEST_CASE(PassesRequestAndResponse)
{
  auto seen = HttpRequest{};
  Serve([&](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
    seen = aRequest;
    SendResponse(aResponder, { 201, { { "x-a", "b" } }, "made" });
  });

  auto call = Call("POST", "/v1/things", "body");
  call.mRequest.mQuery = "a=1";
  const auto answer = Fetch(*this, call);

  BOOST_TEST((answer.mEnd == CallEnd::Complete));
  BOOST_TEST(answer.mResponse.mStatus == 201);
  BOOST_TEST(answer.mResponse.mBody == "made");
  BOOST_TEST(FindHeader(answer.mResponse.mHeaders, "x-a").value_or("") == "b");
  BOOST_TEST(seen.mPath == "/v1/things");
  BOOST_TEST(seen.mQuery == "a=1");
  BOOST_TEST(seen.mBody == "body");
}

BOOST_AUTO_TEST_CASE(StreamsPieces)
{
  auto responder = ResponderPtr{};
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    responder = aResponder;
    StartStream(aResponder, 200, { { "content-type", "text/event-stream" } });
    SendPiece(aResponder, "one ");
  });
  auto text = std::string{};
  auto end = std::optional<CallEnd>{};
  StartCall(*mClient,
            Call("GET", "/", ""),
            { nullptr,
              [&](std::string_view aPiece) { text += aPiece; },
              [&](CallEnd aEnd) { end = aEnd; } });

  RunUntil([&] { return text == "one "; });
  SendPiece(responder, "two");
  RunUntil([&] { return text == "one two"; });
  FinishStream(responder);
  RunUntil([&] { return end.has_value(); });

  BOOST_TEST((end == CallEnd::Complete));
}

BOOST_AUTO_TEST_CASE(AbortedStreamIsBroken)
{
  auto responder = ResponderPtr{};
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    responder = aResponder;
    StartStream(aResponder, 200, {});
    SendPiece(aResponder, "one");
  });
  auto text = std::string{};
  auto end = std::optional<CallEnd>{};
  StartCall(*mClient,
            Call("GET", "/", ""),
            { nullptr,
              [&](std::string_view aPiece) { text += aPiece; },
              [&](CallEnd aEnd) { end = aEnd; } });

  RunUntil([&] { return text == "one"; });
  AbortStream(responder);
  RunUntil([&] { return end.has_value(); });

  BOOST_TEST((end == CallEnd::Broken));
}

BOOST_AUTO_TEST_CASE(AnAbortedBodyEndsBetweenItsChunks)
{
  auto responder = ResponderPtr{};
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    responder = aResponder;
    StartStream(aResponder, 200, {});
    SendPiece(aResponder, "one");
  });
  auto caller = cuminslip::wire::testing::RawCaller(ListenAddress(*mServer));
  caller.Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  RunUntil([&] {
    caller.IsClosed();
    return caller.Received().ends_with("one\r\n");
  });
  AbortStream(responder);
  RunUntil([&] { return caller.IsClosed(); });

  BOOST_TEST(caller.Received().ends_with("3\r\none\r\n"), caller.Received());
}

BOOST_AUTO_TEST_CASE(AnAbortedBodyWithoutChunksEndsWithAReset)
{
  for (const auto isSending : { false, true }) {
    auto responder = ResponderPtr{};
    Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
      responder = aResponder;
      StartStream(aResponder, 200, {});
      SendPiece(aResponder, "one");
    });
    auto caller = cuminslip::wire::testing::RawCaller(ListenAddress(*mServer));
    caller.Send("GET / HTTP/1.0\r\nhost: a\r\n\r\n");
    RunUntil([&] {
      caller.IsClosed();
      return caller.Received().ends_with("one");
    });
    if (isSending) {
      SendPiece(responder, "two");
    }
    AbortStream(responder);
    RunUntil([&] { return caller.IsClosed(); });

    BOOST_TEST(caller.IsReset(), isSending);
  }
}

BOOST_AUTO_TEST_CASE(AClosingServerEndsEachConnectionWithItsAnswer)
{
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    SendResponse(aResponder, { 200, {}, "ok" });
  });
  auto caller = cuminslip::wire::testing::RawCaller(ListenAddress(*mServer));
  caller.Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  RunUntil([&] {
    caller.IsClosed();
    return caller.Received().ends_with("ok");
  });
  BOOST_TEST(!caller.IsClosed());
  CloseAfterAnswers(*mServer);
  caller.Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  RunUntil([&] { return caller.IsClosed(); });

  BOOST_TEST(caller.Received().find("ok", caller.Received().find("ok") + 1) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(AbortWhileSendingClosesTheConnection)
{
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    StartStream(aResponder, 200, {});
    AbortStream(aResponder);
  });

  const auto answer = Fetch(*this, Call("GET", "/", ""));

  BOOST_TEST((answer.mEnd == CallEnd::Broken));
  RunUntil([&] { return CountConnections(*mServer) == 0; });
}

// h2o frees closed sockets before it calls back for a write that is done, and
// then never left its loop.
BOOST_AUTO_TEST_CASE(AnAbortOutsideTheLoopWaitsForTheWrite)
{
  constexpr auto kRounds = 50;
  auto responder = ResponderPtr{};
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    responder = aResponder;
  });
  for (auto n = 0; n < kRounds; ++n) {
    auto end = std::optional<CallEnd>{};
    StartCall(*mClient,
              Call("GET", "/", ""),
              { nullptr, nullptr, [&](CallEnd aEnd) { end = aEnd; } });
    RunUntil([&] { return responder != nullptr; });
    // NOTE: its socket may get the memory of the one that is closed.
    const auto other =
      cuminslip::wire::testing::RawCaller(ListenAddress(*mServer));
    StartStream(responder, 200, {});
    SendPiece(responder, "one");
    AbortStream(std::exchange(responder, nullptr));
    RunUntil([&] { return end.has_value(); });
    BOOST_TEST((*end == CallEnd::Broken));
  }
  RunUntil([&] { return CountConnections(*mServer) == 0; });
}

// A 503 would promise that the request has not run.
BOOST_AUTO_TEST_CASE(AnAbortedResponseThatHasNotBegunIsNoAnswer)
{
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    AbortStream(aResponder);
  });

  auto caller = cuminslip::wire::testing::RawCaller(ListenAddress(*mServer));
  caller.Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  RunUntil([&] { return caller.IsClosed(); });

  BOOST_TEST(caller.Received().empty(), caller.Received());
  RunUntil([&] { return CountConnections(*mServer) == 0; });
}

// Responses of callers that had left kept connections, bodies and descriptors.
BOOST_AUTO_TEST_CASE(TheConnectionOfACallerThatLeftEndsWithItsResponse)
{
  for (const auto hasBegun : { false, true }) {
    auto responder = ResponderPtr{};
    Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
      responder = aResponder;
      if (hasBegun) {
        StartStream(aResponder, 200, {});
      }
    });
    {
      auto caller =
        cuminslip::wire::testing::RawCaller(ListenAddress(*mServer));
      caller.Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
      RunUntil([&] { return responder != nullptr; });
    }
    RunUntil([&] { return IsClosed(responder); });
    BOOST_TEST(CountOpenResponses(*mServer) == 1U);
    AbortStream(responder);
    RunUntil([&] { return CountConnections(*mServer) == 0; });
    BOOST_TEST(CountOpenResponses(*mServer) == 0U);
  }
}

// Incident LOST: a second head ended the process.
BOOST_AUTO_TEST_CASE(EverySequenceOfCallsGivesOneResponse)
{
  enum class Step
  {
    Respond,
    Start,
    Piece,
    Finish,
    Abort
  };
  constexpr auto kSteps = 5;
  constexpr auto kLength = std::size_t{ 4 };
  constexpr auto kSequences = kSteps * kSteps * kSteps * kSteps;
  const auto apply = [](const ResponderPtr& aResponder, Step aStep) {
    switch (aStep) {
      case Step::Respond:
        return SendResponse(aResponder, { 200, {}, "whole" });
      case Step::Start:
        return StartStream(aResponder, 200, {});
      case Step::Piece:
        return SendPiece(aResponder, "piece");
      case Step::Finish:
        return FinishStream(aResponder);
      case Step::Abort:
        return AbortStream(aResponder);
    }
  };
  for (auto n = 0; n < 2 * kSequences; ++n) {
    const auto runsBetween = n >= kSequences;
    auto steps = std::vector<Step>{};
    auto rest = n;
    while (steps.size() < kLength) {
      steps.push_back(static_cast<Step>(rest % kSteps));
      rest /= kSteps;
    }
    // NOTE: ends what the sequence leaves open.
    steps.push_back(Step::Abort);
    auto expected = Answer{};
    auto isOpen = false;
    for (const auto it : steps) {
      if (expected.mEnd) {
        break;
      }
      const auto isFirst = !isOpen;
      if (isFirst && it == Step::Respond) {
        expected = { CallEnd::Complete, { 200, {}, "whole" } };
      } else if (isFirst && it == Step::Abort) {
        expected = { CallEnd::Broken, { 0, {}, "" } };
      } else if (isFirst) {
        isOpen = it == Step::Start;
      } else if (it == Step::Piece) {
        expected.mResponse.mBody += "piece";
      } else {
        expected.mEnd =
          it == Step::Finish ? CallEnd::Complete : CallEnd::Broken;
        expected.mResponse.mStatus = 200;
      }
    }

    auto responder = ResponderPtr{};
    Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
      responder = aResponder;
      for (const auto it : runsBetween ? std::vector<Step>{} : steps) {
        apply(aResponder, it);
      }
    });
    auto answer = Answer{};
    FetchResponse(*mClient,
                  Call("GET", "/", ""),
                  kMaxBody,
                  [&](CallEnd aEnd, const HttpResponse& aResponse) {
                    answer = { aEnd, aResponse };
                  });
    RunUntil([&] { return responder != nullptr; });
    for (const auto it : runsBetween ? steps : std::vector<Step>{}) {
      apply(responder, it);
      RunLoopOnce(*mLoop, Millis(0));
    }
    RunUntil([&] { return answer.mEnd.has_value(); });

    BOOST_TEST((answer.mEnd == expected.mEnd), n);
    const auto isWhole = answer.mEnd == CallEnd::Complete;
    BOOST_TEST(
      (!isWhole || (answer.mResponse.mStatus == expected.mResponse.mStatus &&
                    answer.mResponse.mBody == expected.mResponse.mBody)),
      n);
    BOOST_TEST(expected.mResponse.mBody.starts_with(answer.mResponse.mBody), n);
  }
}

BOOST_AUTO_TEST_CASE(NoticesACallerWhoLeaves)
{
  auto responder = ResponderPtr{};
  auto isClosed = false;
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    responder = aResponder;
    SetCloseHandler(aResponder, [&] { isClosed = true; });
    StartStream(aResponder, 200, {});
    SendPiece(aResponder, "one");
  });
  auto text = std::string{};
  const auto id = StartCall(
    *mClient,
    Call("GET", "/", ""),
    { nullptr, [&](std::string_view aPiece) { text += aPiece; }, nullptr });
  RunUntil([&] { return text == "one"; });

  CancelCall(*mClient, id);
  RunUntil([&] { return IsClosed(responder); });
  RunUntil([&] {
    SendPiece(responder, "more");
    return isClosed;
  });
}

BOOST_AUTO_TEST_CASE(RefusesAnOversizeBody)
{
  auto isCalled = false;
  Serve([&](const HttpRequest&, const ResponderPtr&) { isCalled = true; });

  const auto answer =
    Fetch(*this, Call("POST", "/", std::string(kMaxBody + 1, 'x')));

  BOOST_TEST(!isCalled);
  BOOST_TEST(
    (answer.mEnd != CallEnd::Complete || answer.mResponse.mStatus == 413));
}

BOOST_AUTO_TEST_CASE(ReportsThatNothingListens)
{
  Serve([](const HttpRequest&, const ResponderPtr&) {});
  const auto call = Call("GET", "/", "");
  StopAccepting(*mServer);

  const auto answer = Fetch(*this, call);

  BOOST_TEST((answer.mEnd == CallEnd::NotConnected));
}

BOOST_AUTO_TEST_CASE(TimesOutASilentServer)
{
  Serve([](const HttpRequest&, const ResponderPtr&) {});
  auto call = Call("GET", "/", "");
  call.mTimeout = Millis(50);

  const auto answer = Fetch(*this, call);

  BOOST_TEST((answer.mEnd == CallEnd::TimedOut));
}

BOOST_AUTO_TEST_CASE(BoundsTheAnswersHead)
{
  Serve([](const HttpRequest&, const ResponderPtr& aResponder) {
    SendResponse(aResponder,
                 { 200, { { "x-long", std::string(1000000, 'x') } }, "" });
  });

  const auto answer = Fetch(*this, Call("GET", "/", ""));

  BOOST_TEST((answer.mEnd != CallEnd::Complete));
}

BOOST_AUTO_TEST_CASE(TimersFireInOrderAndCanBeStopped)
{
  auto fired = std::string{};
  StartTimer(*mLoop, Millis(20), [&] { fired += "b"; });
  StartTimer(*mLoop, Millis(5), [&] { fired += "a"; });
  const auto stopped = StartTimer(*mLoop, Millis(10), [&] { fired += "x"; });
  StopTimer(*mLoop, stopped);

  RunUntil([&] { return fired.size() == 2; });

  BOOST_TEST(fired == "ab");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AddressTests)

BOOST_AUTO_TEST_CASE(ParsesIpAndPort)
{
  BOOST_TEST(
    (ParseAddress("127.0.0.1:80") == SocketAddress{ "127.0.0.1", 80 }));
  for (const auto* text :
       { "", "127.0.0.1", "host:80", "127.0.0.1:0", "127.0.0.1:70000", ":1" }) {
    BOOST_TEST(!ParseAddress(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
