#include "wire/testing/rawcaller.h"
#include "wire/tests/httpfixture.h"

#include <vector>

using namespace cuminslip;
using namespace cuminslip::wire;
using namespace cuminslip::wire::testing;

namespace {

struct LimitsFixture : Fixture
{
  int mCalls = 0;

  LimitsFixture()
  {
    Serve([this](const HttpRequest&, const ResponderPtr& aResponder) {
      ++mCalls;
      SendResponse(aResponder, { 200, {}, "ok" });
    });
  }

  auto Connect() -> std::unique_ptr<RawCaller>
  {
    return std::make_unique<RawCaller>(ListenAddress(*mServer));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LimitsTests, LimitsFixture)

BOOST_AUTO_TEST_CASE(ClosesASlowSenderWhileOthersAreServed)
{
  const auto slow = Connect();
  const auto request = std::string("POST / HTTP/1.1\r\nhost: a\r\n"
                                   "content-length: 100000\r\n\r\n");
  constexpr auto kSentOfBody = std::size_t{ 1000 };
  const auto bytes = request + std::string(kSentOfBody, 'x');
  auto sent = std::size_t{ 0 };

  RunUntil([&] {
    if (sent < bytes.size()) {
      slow->Send(bytes.substr(sent, 1));
      ++sent;
    }
    return slow->IsClosed();
  });

  BOOST_TEST(mCalls == 0);
  BOOST_TEST((Fetch(*this, Call("GET", "/", "")).mEnd == CallEnd::Complete));
}

BOOST_AUTO_TEST_CASE(ClosesAnIdleConnection)
{
  const auto silent = Connect();
  const auto used = Connect();
  used->Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");

  RunUntil([&] { return silent->IsClosed() && used->IsClosed(); });

  BOOST_TEST(used->Received().find("200") != std::string::npos);
  RunUntil([&] { return CountConnections(*mServer) == 0; });
}

BOOST_AUTO_TEST_CASE(ClosesAHugeHead)
{
  const auto caller = Connect();
  caller->Send("GET / HTTP/1.1\r\nhost: a\r\nx-long: ");
  const auto chunk = std::string(4096, 'x');

  RunUntil([&] {
    caller->Send(chunk);
    return caller->IsClosed();
  });

  BOOST_TEST(mCalls == 0);
}

BOOST_AUTO_TEST_CASE(AnswersABadRequestLine)
{
  for (const auto* text : { "nonsense\r\n\r\n",
                            "GET\r\n\r\n",
                            "GET / HTTP/9.9\r\n\r\n",
                            "POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n" }) {
    const auto caller = Connect();
    caller->Send(text);
    RunUntil([&] { return caller->IsClosed(); });
  }
  BOOST_TEST(mCalls == 0);
}

BOOST_AUTO_TEST_CASE(BoundsTheNumberOfConnections)
{
  constexpr auto kAllowed = std::size_t{ 8 };
  auto callers = std::vector<std::unique_ptr<RawCaller>>{};
  for (auto i = std::size_t{ 0 }; i < kAllowed; ++i) {
    callers.push_back(Connect());
  }
  RunUntil([&] { return CountConnections(*mServer) == kAllowed; });

  const auto another = Connect();
  RunUntil([&] { return another->IsClosed(); });
  BOOST_TEST(CountConnections(*mServer) <= kAllowed);

  callers.clear();
  RunUntil([&] { return CountConnections(*mServer) == 0; });
  BOOST_TEST((Fetch(*this, Call("GET", "/", "")).mEnd == CallEnd::Complete));
}

BOOST_AUTO_TEST_SUITE_END()
