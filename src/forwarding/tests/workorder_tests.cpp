#include "base/digest.h"
#include "forwarding/loadnotice.h"
#include "forwarding/tests/fakeworld.h"

#include <array>
#include <cmath>

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;

namespace {

/// Longer than a claim of engines with one other instance.
constexpr auto kClaimed = Millis(1);
constexpr auto kEngines = 8;

auto
OrderingSettings() -> ForwardSettings
{
  auto settings = ForwardSettings{};
  settings.mOrder.emplace();
  return settings;
}

/// Engines on which another instance prefills, and callers with long prompts.
struct OrderWorld : FakeWorld
{
  std::uint64_t mSequence = 0;

  explicit OrderWorld(ForwardSettings aSettings = OrderingSettings())
    : FakeWorld("10.0.0.1:7000", std::move(aSettings))
  {
    auto document = MakeDocument(1);
    document.mAccounts->push_back({ { "vip" }, { "vip key" }, 0 });
    document.mRoutes[3].mPriority = 2;
    document.mRoutes[2].mServices = { { "engines", 1 } };
    ApplyRouting(*mForwarder, MakeTable(std::move(document)));
    for (auto i = 1; i <= kEngines; ++i) {
      AddEndpoint("e" + std::to_string(i), "engines", i);
    }
    Run(kSettled);
  }

  /// Reports three long prompts in prefill on every engine, and waiting work.
  auto OthersPrefill(double aMillis, std::vector<double> aWaiting = {}) -> void
  {
    auto notice = LoadNotice{ "10.0.0.2:7000", ++mSequence, {} };
    for (auto i = 1; aMillis > 0 && i <= kEngines; ++i) {
      notice.mShares.push_back(
        { Checksum("e" + std::to_string(i)),
          { 0, 0, aMillis, 0, kNoPauseLimitMillis, 0, 3 } });
    }
    notice.mWaitingMillis = std::move(aWaiting);
    HandleLoadNotice(*mForwarder, EncodeLoadNotice(notice));
  }

  auto AskLong(std::int64_t aTokens,
               const std::string& aId = "r1",
               const std::string& aKey = "good key",
               Millis aAllowance = Millis(15000)) -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest("long");
    request.mId = { aId };
    request.mKey = aKey;
    request.mAllowance = aAllowance;
    request.mPrompt = PromptFacts{ aTokens, 800 };
    auto caller = Ask(request);
    Run(kClaimed);
    return caller;
  }

  auto AskShort() -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest("draft");
    request.mPrompt = PromptFacts{ 1000, 800 };
    auto caller = Ask(request);
    Run(kClaimed);
    return caller;
  }

  /// Returns the waiting work in the last notice.
  auto LastStated() -> std::vector<double>
  {
    BOOST_REQUIRE(!mNotices.empty());
    const auto notice = CollectOutcome<LoadNotice>(
      [&] { return DecodeLoadNotice(mNotices.back().second); });
    return notice.mValue.value().mWaitingMillis;
  }

  /// Keeps the engines busy for a time.
  auto StayBusy(Millis aTime) -> void
  {
    for (auto passed = Millis(0); passed < aTime; passed += Millis(1000)) {
      OthersPrefill(1000);
      Run(Millis(1000));
    }
  }
};

struct FixedWorld : OrderWorld
{
  FixedWorld()
    : OrderWorld(ForwardSettings{})
  {
  }
};

auto
DeferringSettings() -> ForwardSettings
{
  auto settings = OrderingSettings();
  settings.mDeferral.emplace();
  return settings;
}

/// Another instance has all slots of the engines.
struct DeferringWorld : OrderWorld
{
  DeferringWorld()
    : OrderWorld(DeferringSettings())
  {
    auto notice = LoadNotice{ "10.0.0.2:7000", ++mSequence, {} };
    for (auto i = 1; i <= kEngines; ++i) {
      notice.mShares.push_back({ Checksum("e" + std::to_string(i)), { 16 } });
    }
    HandleLoadNotice(*mForwarder, EncodeLoadNotice(notice));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkOrderTests)

// Guards against callers that are held for half of their time and then refused
// though nothing changed since they came.
BOOST_FIXTURE_TEST_CASE(APromptWithoutAChanceIsRefusedAtOnce, OrderWorld)
{
  OthersPrefill(30000);
  const auto caller = AskLong(154000);
  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == "no_capacity");
  const auto retry = wire::FindHeader(caller->mResponse->mHeaders, "retry");
  BOOST_REQUIRE(retry.has_value());
  BOOST_TEST(std::stoi(*retry) >= 3600, "the bound, less the spread");
  BOOST_TEST(std::stoi(*retry) <= 4500);
  BOOST_TEST(mSends.empty(), "the refusal is true");
  BOOST_TEST(CountersOf(*mForwarder).mRefusedAtOnce == 1U);
}

// Guards against a forecast that overlooks the work of the other instances.
BOOST_FIXTURE_TEST_CASE(WaitingWorkOfOtherInstancesCountsByPriority, OrderWorld)
{
  OthersPrefill(1000, { 0, 0, 0, 900000 });
  const auto first = AskLong(154000);
  BOOST_TEST(!first->mResponse.has_value(), "it is less urgent");
  OthersPrefill(1000, { 0, 900000 });
  Run(Millis(150));
  BOOST_TEST(first->mResponse.has_value());
  BOOST_TEST(CountersOf(*mForwarder).mRefusedWaiting == 1U);
}

BOOST_FIXTURE_TEST_CASE(WaitingWorkIsStatedInNotices, OrderWorld)
{
  OthersPrefill(1000);
  const auto caller = AskLong(154000);
  Run(Millis(200));
  const auto waiting = LastStated();
  BOOST_REQUIRE(waiting.size() == 3U);
  BOOST_TEST(waiting[1] == 0);
  BOOST_TEST(waiting[2] > 2000);
  caller->mIsDisconnected = true;
  Run(Millis(300));
  BOOST_TEST(LastStated().empty(), "nothing waits any more");
}

// A notice as the previous version sends it, without the field.
BOOST_AUTO_TEST_CASE(NoticesOfThePreviousVersionAreRead)
{
  constexpr auto kBytes = std::to_array<std::uint8_t>(
    { 0x10, 0x11, 0x50, 0x02, 0x05, 0x01, 0x4d, 0x00, 0x00, 0x11, 0x11, 0x72,
      0x11, 0x15, 0x37, 0x00, 0x02, 0xff, 0x31, 0x30, 0x2e, 0x30, 0x2e, 0x30,
      0x2e, 0x32, 0x00, 0x1f, 0x3a, 0x37, 0x30, 0x30, 0x30, 0x11, 0x04, 0x06,
      0x01, 0x05, 0x01, 0x03, 0x03, 0x40, 0x9c, 0x00, 0x02 });
  const auto bytes = std::string(kBytes.begin(), kBytes.end());
  const auto notice =
    CollectOutcome<LoadNotice>([&] { return DecodeLoadNotice(bytes); });
  BOOST_REQUIRE(notice.mValue.has_value());
  BOOST_TEST(notice.mValue->mSequence == 77U);
  BOOST_REQUIRE(notice.mValue->mShares.size() == 1U);
  BOOST_TEST(notice.mValue->mShares[0].mWork.mContextTokens == 40000);
  BOOST_TEST(notice.mValue->mWaitingMillis.empty());
}

BOOST_AUTO_TEST_CASE(StatedWaitingWorkIsBounded)
{
  auto notice = LoadNotice{ "10.0.0.2:7000", 1, {} };
  notice.mWaitingMillis = { 5, -7, NAN, 1, 1, 1, 1, 1, 1, 1 };
  const auto read = CollectOutcome<LoadNotice>(
    [&] { return DecodeLoadNotice(EncodeLoadNotice(notice)); });
  BOOST_REQUIRE(read.mValue.has_value());
  BOOST_TEST((read.mValue->mWaitingMillis ==
              std::vector<double>{ 5, 0, 0, 1, 1, 1, 1, 1 }));
}

// Guards against a deferred prompt that is passed over until its caller leaves,
// since newer ones in time come first and find no slot either.
BOOST_FIXTURE_TEST_CASE(ADeferredPromptIsRefusedThoughNewerOnesWait,
                        DeferringWorld)
{
  const auto caller = AskShort();
  for (auto i = 0; i < 40; ++i) {
    AskShort();
    Run(Millis(50));
  }
  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == "no_capacity");
  BOOST_TEST(mSends.empty());
}

BOOST_FIXTURE_TEST_CASE(TheUrgencyIsStatedToEngines, OrderWorld)
{
  AskLong(154000);
  BOOST_TEST(LastSend().Header("urgency") == "5");
  AskShort();
  BOOST_TEST(LastSend().Header("urgency") == "3");
  AskLong(154000);
  StayBusy(Millis(4000));
  OthersPrefill(0);
  for (const auto& it : std::vector(mSends)) {
    Head(*it, 200, kSealed);
    Piece(*it, "id: 1\n\n");
  }
  Run(Millis(100));
  BOOST_TEST(LastSend().Header("urgency") == "7");
  BOOST_TEST(CountersOf(*mForwarder).mSentLate == 1U);
}

BOOST_FIXTURE_TEST_CASE(WithoutTheSettingNoUrgencyIsStated, FixedWorld)
{
  AskLong(154000);
  BOOST_TEST(LastSend().Header("urgency").empty());
  OthersPrefill(1000);
  AskLong(154000);
  Run(Millis(200));
  BOOST_TEST(LastStated().empty());
}

BOOST_FIXTURE_TEST_CASE(APromptThatCanBeServedWaitsBeyondHalfOfItsTime,
                        OrderWorld)
{
  OthersPrefill(1000);
  const auto caller = AskLong(154000);
  StayBusy(Millis(9000));
  BOOST_TEST(!caller->mResponse.has_value());
  OthersPrefill(0);
  Run(Millis(100));
  BOOST_TEST(mSends.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(WithoutTheSettingHalfOfTheTimeDecides, FixedWorld)
{
  OthersPrefill(30000);
  const auto caller = AskLong(154000);
  BOOST_TEST(!caller->mResponse.has_value());
  StayBusy(Millis(9000));
  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == "no_capacity");
}

BOOST_FIXTURE_TEST_CASE(ACallerThatReturnedIsNotRefusedAgain, OrderWorld)
{
  OthersPrefill(30000);
  const auto caller = AskLong(154000, "r1", "good key", Millis(10000));
  BOOST_TEST(!caller->mResponse.has_value());
  OthersPrefill(0);
  Run(Millis(100));
  BOOST_TEST(mSends.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(TheGreatestLossForEachMillisecondIsPlacedFirst,
                        OrderWorld)
{
  OthersPrefill(1000);
  AskLong(280000, "large");
  AskLong(154000, "small");
  OthersPrefill(0);
  Run(Millis(100));
  BOOST_REQUIRE(!mSends.empty());
  BOOST_TEST(mSends.front()->Header("id") == "small");
}

BOOST_FIXTURE_TEST_CASE(ThePriorityOfTheAccountPrecedesThatOfTheRoute,
                        OrderWorld)
{
  OthersPrefill(1000);
  AskLong(154000, "other");
  AskLong(280000, "urgent", "vip key");
  OthersPrefill(0);
  Run(Millis(100));
  BOOST_REQUIRE(!mSends.empty());
  BOOST_TEST(mSends.front()->Header("id") == "urgent");
}

BOOST_FIXTURE_TEST_CASE(WithoutTheSettingArrivalDecides, FixedWorld)
{
  OthersPrefill(1000);
  AskLong(280000, "large");
  AskLong(154000, "small");
  OthersPrefill(0);
  Run(Millis(100));
  BOOST_REQUIRE(!mSends.empty());
  BOOST_TEST(mSends.front()->Header("id") == "large");
}

BOOST_AUTO_TEST_SUITE_END()
