#include "gateway/internal/gatewaystate.h"
#include "gateway/listener.h"
#include "wire/httpclient.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::gateway;

namespace {

constexpr auto kTestTimeout = Seconds(30);
constexpr auto kPollInterval = Millis(5);
constexpr auto kUnit = std::size_t{ 100 } * 1024;
constexpr auto kUnavailable = 503;

/// A gateway without a routing document, so that requests stay in flight until
/// they are abandoned.
struct MemoryFixture
{
  GatewayPtr mGateway{ new Gateway };
  wire::HttpClientPtr mClient;
  int mEnded = 0;
  int mRefused = 0;

  MemoryFixture()
  {
    auto& gateway = *mGateway;
    gateway.mLoop = wire::CreateEventLoop();
    SetUpClientMemory(
      gateway.mMemory, *gateway.mLoop, gateway.mSettings.mLimits);
    mClient = wire::CreateHttpClient(*gateway.mLoop);
    gateway.mAdapter.mReadRequest = [](const wire::HttpRequest& aRequest) {
      auto request = forwarding::ForwardRequest{};
      request.mHttp = aRequest;
      return request;
    };
    gateway.mAdapter.mCodec.mWriteFailure =
      [](const forwarding::ForwardRequest&,
         const forwarding::Failure& aFailure) {
        return wire::HttpResponse{
          kUnavailable,
          { { "reason", std::string(forwarding::ToText(aFailure.mKind)) },
            { "retry", aFailure.mRetryAfter ? "yes" : "no" } },
          ""
        };
      };
    auto ports = forwarding::ForwardPorts{};
    ports.mNow = MonotonicNow;
    ports.mCodec = gateway.mAdapter.mCodec;
    ports.mTimers.mStart = [&gateway](Micros aDelay, auto aAction) {
      return wire::StartTimer(*gateway.mLoop, aDelay, std::move(aAction));
    };
    ports.mTimers.mStop = [&gateway](wire::TimerId aTimer) {
      wire::StopTimer(*gateway.mLoop, aTimer);
    };
    ports.mExchanges.mCancel = [](wire::ExchangeId) {};
    ports.mSendNotice = [](const auto&, const auto&) {};
    gateway.mForwarder = forwarding::CreateForwarder({}, std::move(ports), 1);
    gateway.mMemory.mCountAnswers = [&gateway] {
      return forwarding::CountBufferedBytes(*gateway.mForwarder);
    };
    auto server = CollectOutcome<wire::HttpServerPtr>([&] {
      return StartListener(*gateway.mLoop,
                           wire::SocketAddress{ "127.0.0.1", 0 },
                           gateway.mSettings.mLimits,
                           { kTestTimeout,
                             gateway.mMemory.mBudget,
                             [&gateway](const auto& aRequest, int aStatus) {
                               return WriteCallerRefusal(
                                 gateway, aRequest, aStatus);
                             } },
                           [&gateway](const auto& aRequest, auto aResponder) {
                             HandleCaller(gateway, aRequest, aResponder);
                           });
    });
    BOOST_REQUIRE(server.mValue.has_value());
    gateway.mCallerServer = std::move(*server.mValue);
  }

  auto Post(std::size_t aBytes) -> void
  {
    auto call = wire::HttpCall{};
    call.mAddress = wire::ListenAddress(*mGateway->mCallerServer);
    call.mRequest.mMethod = "POST";
    call.mRequest.mPath = "/";
    call.mRequest.mBody = std::string(aBytes, 'b');
    wire::FetchResponse(
      *mClient,
      call,
      kUnit,
      [this](wire::CallEnd, const wire::HttpResponse& aResponse) {
        ++mEnded;
        const auto isRefused =
          aResponse.mStatus == kUnavailable &&
          wire::FindHeader(aResponse.mHeaders, "reason") == "no_capacity" &&
          wire::FindHeader(aResponse.mHeaders, "retry") == "yes";
        mRefused += isRefused ? 1 : 0;
      });
  }

  template<class Condition>
  auto RunUntil(Condition aIsMet) -> void
  {
    const auto limit = MonotonicNow() + kTestTimeout;
    while (!aIsMet()) {
      BOOST_REQUIRE(MonotonicNow() < limit);
      wire::RunLoopOnce(*mGateway->mLoop, kPollInterval);
    }
  }

  auto CountTaken() const -> int
  {
    return static_cast<int>(
      forwarding::CountersOf(*mGateway->mForwarder).mRequests);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryTests, MemoryFixture)

// Incident LOST: large requests took a process over its memory, and all that it
// had accepted was lost.
BOOST_AUTO_TEST_CASE(LargeRequestsThatDoNotFitAreRefusedWithARetryTime)
{
  constexpr auto kRequests = 16;
  // Bodies are held once; an eighth of the 20 units is left to small ones.
  constexpr auto kFitting = 8;
  mGateway->mMemory.mRules.mMaxBytes = 20 * kUnit;
  for (auto n = 1; n <= kRequests; ++n) {
    Post(2 * kUnit);
    RunUntil([&] { return CountTaken() + mRefused >= n; });
  }
  const auto use = CountMemory(mGateway->mMemory);
  BOOST_TEST(CountTaken() == kFitting);
  BOOST_TEST(mRefused == kRequests - kFitting);
  BOOST_TEST(TotalOf(use) <= 20 * kUnit);
  BOOST_TEST(use.mBodies == std::size_t{ kFitting } * 2 * kUnit);
  BOOST_TEST(mGateway->mMemory.mIsAtBound);

  Post(100);
  RunUntil([&] { return CountTaken() == kFitting + 1; });

  forwarding::AbandonRequests(*mGateway->mForwarder);
  RunUntil([&] { return mEnded == kRequests + 1; });
  RunUntil([&] { return TotalOf(CountMemory(mGateway->mMemory)) == 0; });
  RunUntil([&] { return !mGateway->mMemory.mIsAtBound; });
  Post(2 * kUnit);
  RunUntil([&] { return CountTaken() == kFitting + 2; });
  BOOST_TEST(mRefused == kRequests - kFitting);
}

BOOST_AUTO_TEST_CASE(WithoutABoundLargeRequestsAreTaken)
{
  for (auto n = 1; n <= 16; ++n) {
    Post(2 * kUnit);
    RunUntil([&] { return CountTaken() == n; });
  }
  BOOST_TEST(mRefused == 0);
}

BOOST_AUTO_TEST_SUITE_END()
