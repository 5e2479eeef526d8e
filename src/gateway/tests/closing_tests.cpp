#include "gateway/internal/gatewaystate.h"
#include "gateway/listener.h"
#include "wire/testing/rawcaller.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::gateway;

namespace {

constexpr auto kTestTimeout = Seconds(30);
constexpr auto kPollInterval = Millis(5);
constexpr auto kCall =
  std::string_view("GET / HTTP/1.1\r\nhost: localhost\r\n\r\n");

/// A gateway with a caller's listener only, on the thread of the test.
struct CallerFixture
{
  GatewayPtr mGateway{ new Gateway };
  int mHandledRequests = 0;

  CallerFixture()
  {
    mGateway->mLoop = wire::CreateEventLoop();
    auto server = CollectOutcome<wire::HttpServerPtr>([&] {
      return StartListener(
        *mGateway->mLoop,
        wire::SocketAddress{ "127.0.0.1", 0 },
        mGateway->mSettings,
        kTestTimeout,
        mGateway->mIsClosed,
        [this](const wire::HttpRequest&, const wire::ResponderPtr& aResponder) {
          ++mHandledRequests;
          wire::SendResponse(aResponder, { 200, {}, "" });
        });
    });
    BOOST_REQUIRE(server.mValue.has_value());
    mGateway->mCallerServer = std::move(*server.mValue);
  }

  auto RunUntilReceived(wire::testing::RawCaller& aCaller,
                        std::string_view aText) const -> void
  {
    const auto limit = MonotonicNow() + kTestTimeout;
    while (aCaller.Received().find(aText) == std::string::npos) {
      BOOST_REQUIRE(MonotonicNow() < limit);
      wire::RunLoopOnce(*mGateway->mLoop, kPollInterval);
      aCaller.IsClosed();
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClosingTests, CallerFixture)

BOOST_AUTO_TEST_CASE(ARequestReceivedAfterCloseIsRefused)
{
  auto caller =
    wire::testing::RawCaller(wire::ListenAddress(*mGateway->mCallerServer));
  caller.Send(kCall);
  RunUntilReceived(caller, " 200 ");
  BOOST_TEST(mHandledRequests == 1);

  caller.Send(kCall);
  CloseGateway(*mGateway);
  RunUntilReceived(caller, " 503 ");
  BOOST_TEST(mHandledRequests == 1);
}

BOOST_AUTO_TEST_CASE(ARequestReceivedDuringDestructionIsNotHandled)
{
  auto caller =
    wire::testing::RawCaller(wire::ListenAddress(*mGateway->mCallerServer));
  caller.Send(kCall);
  RunUntilReceived(caller, " 200 ");

  caller.Send(kCall);
  mGateway.reset();
  BOOST_TEST(mHandledRequests == 1);
  BOOST_TEST(caller.IsClosed());
  BOOST_TEST(
    caller.Received().find(" 200 ", caller.Received().find(" 200 ") + 1) ==
    std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
