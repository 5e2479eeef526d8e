#pragma once

#include "wire/httpclient.h"
#include "wire/httpserver.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>

/// A server and a client on one loop.
namespace cuminslip::wire::testing {

inline constexpr auto kMaxBody = std::size_t{ 1024 } * 1024;
inline constexpr auto kRound = Millis(5);
inline constexpr auto kLongestTest = Seconds(20);

struct Fixture
{
  EventLoopPtr mLoop = CreateEventLoop();
  HttpServerPtr mServer;
  HttpClientPtr mClient = CreateHttpClient(*mLoop);

  auto Serve(RequestHandler aHandler) -> void
  {
    auto outcome = CollectOutcome<HttpServerPtr>([&] {
      return StartHttpServer(
        *mLoop, { "127.0.0.1", 0 }, { kMaxBody, 8, Millis(500) }, aHandler);
    });
    BOOST_REQUIRE(outcome.mValue.has_value());
    mServer = std::move(*outcome.mValue);
  }

  auto RunUntil(const std::function<bool()>& aIsDone) -> void
  {
    const auto limit = MonotonicNow() + kLongestTest;
    while (!aIsDone() && MonotonicNow() < limit) {
      RunLoopOnce(*mLoop, kRound);
    }
    BOOST_REQUIRE(aIsDone());
  }

  auto Call(std::string aMethod, std::string aPath, std::string aBody)
    -> HttpCall
  {
    return {
      ListenAddress(*mServer),
      { std::move(aMethod), std::move(aPath), "", {}, std::move(aBody) }
    };
  }
};

struct Answer
{
  std::optional<CallEnd> mEnd;
  HttpResponse mResponse;
};

inline auto
Fetch(Fixture& aFixture, const HttpCall& aCall) -> Answer
{
  auto answer = Answer{};
  FetchResponse(*aFixture.mClient,
                aCall,
                kMaxBody,
                [&](CallEnd aEnd, const HttpResponse& aResponse) {
                  answer = { aEnd, aResponse };
                });
  aFixture.RunUntil([&] { return answer.mEnd.has_value(); });
  return answer;
}

} // namespace cuminslip::wire::testing
