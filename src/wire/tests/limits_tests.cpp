#include "wire/testing/rawcaller.h"
#include "wire/tests/httpfixture.h"

#include <algorithm>
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

// A close with unread bytes resets the connection, and the answer is lost.
BOOST_AUTO_TEST_CASE(RefusalsReachAClientThatIsStillSending)
{
  struct Case
  {
    std::string mBegin;
    std::string mMore;
    std::string mAnswer;
  };
  const auto post = std::string("POST / HTTP/1.1\r\nhost: a\r\n");
  const auto block = std::string(4096, 'x');
  for (const auto& it :
       { Case{ post + "content-length: 99999999\r\n\r\n", block, "413" },
         Case{ post + "transfer-encoding: chunked\r\n\r\n",
               "1000\r\n" + block + "\r\n",
               "413" },
         Case{ post + "transfer-encoding: chunked\r\n\r\n1;", block, "400" },
         Case{ "GET / HTTP/1.1\r\nx: ", block, "431" },
         Case{ post + "content-length: 1000\r\n\r\n", "", "408" } }) {
    const auto caller = Connect();
    caller->Send(it.mBegin);
    constexpr auto kSendsAfterwards = 50;
    auto sends = 0;
    RunUntil([&] {
      caller->Send(it.mMore);
      const auto isClosed = caller->IsClosed();
      return isClosed ||
             (!caller->Received().empty() && ++sends == kSendsAfterwards);
    });
    BOOST_TEST(caller->Received().starts_with("HTTP/1.1 " + it.mAnswer),
               caller->Received());
    BOOST_TEST(caller->Received().find("Connection: close") !=
               std::string::npos);
    BOOST_TEST(!caller->IsReset());
  }
  BOOST_TEST(mCalls == 0);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInTheirOrder)
{
  auto responders = std::vector<std::pair<std::string, ResponderPtr>>{};
  Serve([&](const HttpRequest& aRequest, const ResponderPtr& aResponder) {
    responders.emplace_back(aRequest.mBody.Bytes(), aResponder);
  });
  const auto caller = Connect();
  auto text = std::string{};
  for (const auto* body : { "a", "b", "c" }) {
    text += std::string("POST / HTTP/1.1\r\nhost: a\r\n"
                        "transfer-encoding: chunked\r\n\r\n1\r\n") +
            body + "\r\n0\r\n\r\n";
  }
  caller->Send(text);
  for (auto n = std::size_t{ 0 }; n < 3; ++n) {
    RunUntil([&] { return responders.size() > n; });
    BOOST_TEST(responders.size() == n + 1);
    SendResponse(responders[n].second, { 200, {}, responders[n].first });
  }
  RunUntil([&] {
    caller->IsClosed();
    return caller->Received().ends_with("c");
  });
  BOOST_TEST(caller->Received().find("\r\n\r\naHTTP") != std::string::npos);
  BOOST_TEST(caller->Received().find("\r\n\r\nbHTTP") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AnExpectedInterimAnswerComesBeforeTheBody)
{
  const auto caller = Connect();
  caller->Send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n"
               "expect: 100-continue\r\n\r\n");
  RunUntil([&] {
    caller->IsClosed();
    return caller->Received() == "HTTP/1.1 100 Continue\r\n\r\n";
  });
  caller->Send("ab");
  RunUntil([&] {
    caller->IsClosed();
    return caller->Received().ends_with("ok");
  });
}

BOOST_AUTO_TEST_CASE(AnAnswerThatNobodyTakesEndsItsConnection)
{
  constexpr auto kLong = std::size_t{ 32 } * 1024 * 1024;
  Serve([&](const HttpRequest&, const ResponderPtr& aResponder) {
    SendResponse(aResponder, { 200, {}, std::string(kLong, 'l') });
  });
  const auto caller = Connect();
  caller->Send("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  RunUntil([&] { return UnsentBytes(*mServer) > 0; });
  RunUntil([&] { return CountConnections(*mServer) == 0; });
  BOOST_TEST(UnsentBytes(*mServer) == 0U);
}

namespace {

/// A listener whose budget has room for aBytes, and closes whoever holds bytes
/// or is idle.
struct BudgetFixture : LimitsFixture
{
  std::size_t mRoom = 100000;
  ServerBudgetPtr mBudget;

  BudgetFixture()
  {
    auto rules = BudgetRules{};
    rules.mMaxConnections = 4;
    rules.mMayHold = [this](std::size_t aMore, std::size_t) {
      const auto use = CountBytes(*mBudget);
      return use.mReceived + use.mBodies + use.mUnsent + aMore <= mRoom;
    };
    rules.mChooseForConnection = [](const auto& aUses) {
      return Find(aUses, [](const ConnectionUse& aUse) {
        return aUse.mPhase == ConnectionPhase::Idle;
      });
    };
    mBudget = CreateServerBudget(rules);
    auto limits = ListenerLimits{ kMaxBody, 0, Millis(500) };
    limits.mBudget = mBudget;
    mServer.reset();
    auto outcome = CollectOutcome<HttpServerPtr>([&] {
      return StartHttpServer(
        *mLoop,
        { "127.0.0.1", 0 },
        limits,
        [this](const HttpRequest&, const ResponderPtr& aResponder) {
          ++mCalls;
          SendResponse(aResponder, { 200, {}, "ok" });
        });
    });
    mServer = std::move(*outcome.mValue);
  }

  template<class Condition>
  static auto Find(const std::vector<ConnectionUse>& aUses, Condition aIsIt)
    -> std::optional<std::size_t>
  {
    const auto it = std::find_if(aUses.begin(), aUses.end(), aIsIt);
    return it == aUses.end()
             ? std::nullopt
             : std::optional(static_cast<std::size_t>(it - aUses.begin()));
  }

  auto Post(std::size_t aBytes, std::size_t aSent) -> std::unique_ptr<RawCaller>
  {
    auto caller = Connect();
    caller->Send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: " +
                 std::to_string(aBytes) + "\r\n\r\n" + std::string(aSent, 'b'));
    return caller;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ABodyWithoutRoomIsRefusedBeforeItComes, BudgetFixture)
{
  const auto first = Post(60000, 10);
  RunUntil([&] { return CountBytes(*mBudget).mReceived > 60000; });
  const auto second = Post(60000, 10);
  RunUntil([&] {
    second->IsClosed();
    return second->Received().starts_with("HTTP/1.1 503");
  });
  BOOST_TEST(CountersOf(*mBudget).mRefusedRequests == 1U);
  first->Send(std::string(60000 - 10, 'b'));
  RunUntil([&] {
    first->IsClosed();
    return first->Received().ends_with("ok");
  });
  RunUntil([&] { return CountConnections(*mBudget) == 0; });
  BOOST_TEST((CountBytes(*mBudget) == ServerBytes{}));
}

BOOST_FIXTURE_TEST_CASE(AnIdleConnectionGivesWayToANewOne, BudgetFixture)
{
  auto idle = std::vector<std::unique_ptr<RawCaller>>{};
  for (auto n = 0; n < 4; ++n) {
    idle.push_back(Connect());
  }
  RunUntil([&] { return CountConnections(*mBudget) == 4; });
  BOOST_TEST((Fetch(*this, Call("GET", "/", "")).mEnd == CallEnd::Complete));
  BOOST_TEST(CountersOf(*mBudget).mEvicted == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
