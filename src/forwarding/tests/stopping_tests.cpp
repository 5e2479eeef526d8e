#include "base/digest.h"
#include "forwarding/loadnotice.h"
#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;

namespace {

constexpr auto kStopTime = Millis(7000);

/// A ready instance with one engine whose stop has begun.
struct StoppingWorld : ReadyWorld
{
  StoppingWorld()
  {
    AddEndpoint("e1", "engines", 3);
    BeginStop(*mForwarder, mClock.mNow + kStopTime);
  }

  auto AskFor(const std::string& aRoute,
              Millis aAllowance,
              std::int64_t aOutputTokens) -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest(aRoute);
    request.mAllowance = aAllowance;
    if (aRoute == "long") {
      request.mPrompt = PromptFacts{ 1000, aOutputTokens };
    }
    return Ask(request);
  }
};

auto
IsRefusedForNow(const FakeCaller& aCaller) -> bool
{
  return aCaller.mResponse && aCaller.mResponse->mBody == "not_ready" &&
         wire::FindHeader(aCaller.mResponse->mHeaders, "retry").has_value();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoppingTests, StoppingWorld)

// Report of another operator: requests that came late in a planned stop were
// sent on and cut at its end.
BOOST_AUTO_TEST_CASE(OnlyRequestsThatEndBeforeTheStopAreSent)
{
  struct Case
  {
    const char* mName;
    Millis mAfter;
    std::string mRoute;
    Millis mAllowance;
    std::int64_t mOutputTokens;
    bool mIsSent;
  };
  constexpr auto kWhole = Millis(10000);
  const auto cases = std::vector<Case>{
    { "a plain request", Millis(0), "book", Millis(4000), 0, true },
    { "a short stream", Millis(0), "long", kWhole, 1000, true },
    { "a long stream", Millis(0), "long", kWhole, 9000, false },
    { "a short stream in time", Millis(2900), "long", kWhole, 1000, true },
    { "a longer one in time", Millis(2900), "long", kWhole, 5000, false },
    { "a late stream", Millis(3100), "long", kWhole, 1000, false },
    { "a late request", Millis(3100), "book", Millis(4000), 0, false },
    { "one that ends in time", Millis(5500), "book", Millis(1000), 0, true },
    { "one that may not", Millis(6100), "book", Millis(1000), 0, false },
  };
  for (const auto& it : cases) {
    BOOST_TEST_CONTEXT(it.mName)
    {
      auto world = StoppingWorld{};
      world.Run(it.mAfter);
      const auto caller =
        world.AskFor(it.mRoute, it.mAllowance, it.mOutputTokens);
      BOOST_TEST(world.mSends.size() == (it.mIsSent ? 1U : 0U));
      BOOST_TEST(IsRefusedForNow(*caller) == !it.mIsSent);
    }
  }
}

// A prompt that had waited for engines was placed although its answer could not
// end before the stop.
BOOST_AUTO_TEST_CASE(APromptThatWaitsIsRefusedOnceItCanNotEndInTime)
{
  constexpr auto kNoticeInterval = Millis(500);
  auto sequence = std::uint64_t{ 0 };
  const auto keepEngineBusy = [&] {
    HandleLoadNotice(
      *mForwarder,
      EncodeLoadNotice(
        { "10.0.0.2:7000",
          ++sequence,
          { { Checksum("e1"),
              { 0, 0, 4000, 0, kNoPauseLimitMillis, 0, 3 } } } }));
    Run(kNoticeInterval);
  };
  keepEngineBusy();
  auto request = MakeRequest("long");
  request.mAllowance = Millis(15000);
  request.mPrompt = PromptFacts{ 154000, 800 };
  const auto caller = Ask(request);
  keepEngineBusy();
  BOOST_TEST(!caller->mResponse.has_value(), "there is still time");
  for (auto n = 0; n < 13 && !caller->mResponse; ++n) {
    keepEngineBusy();
  }

  BOOST_TEST(mSends.empty());
  BOOST_TEST(IsRefusedForNow(*caller));
}

BOOST_AUTO_TEST_CASE(ARequestThatMayHaveRunIsNotRefused)
{
  const auto caller = AskFor("read", Millis(4000), 0);
  Run(Millis(3500));
  End(LastSend(), wire::ExchangeEnd::Broken);

  BOOST_TEST(mSends.size() == 2U);
  BOOST_TEST(!caller->mResponse.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
