#include "base/digest.h"
#include "forwarding/loadnotice.h"
#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

namespace {

/// Longer than a claim of a slot with one other instance.
constexpr auto kClaimed = Millis(1);
constexpr auto kSlots = 4;

auto
DeferringSettings() -> ForwardSettings
{
  auto settings = ForwardSettings{};
  settings.mDeferral.emplace();
  return settings;
}

/// One engine with a few slots, and callers with short prompts.
struct SlotWorld : FakeWorld
{
  std::vector<std::shared_ptr<FakeCaller>> mCallers;

  explicit SlotWorld(ForwardSettings aSettings = DeferringSettings())
    : FakeWorld("10.0.0.1:7000", std::move(aSettings))
  {
    auto document = MakeDocument(1);
    document.mRoutes[2].mServices = { { "engines", 1 } };
    document.mServices[1].mEngine->mSlots = kSlots;
    ApplyRouting(*mForwarder, MakeTable(std::move(document)));
    AddEndpoint("e1", "engines", 1);
    Run(kSettled);
  }

  auto AskShort() -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest("draft");
    request.mPrompt = PromptFacts{ 1000, 800 };
    mCallers.push_back(Ask(request));
    return mCallers.back();
  }

  /// Takes all slots and starts their streams.
  auto FillSlots() -> void
  {
    for (auto i = 0; i < kSlots; ++i) {
      AskShort();
      Run(kClaimed);
    }
    BOOST_REQUIRE(mSends.size() == kSlots);
    for (const auto& it : mSends) {
      Head(*it, 200, kSealed);
      Piece(*it, "id: 1\ndata: x\n\n");
    }
  }

  auto EndStream(std::size_t aSend) -> void
  {
    End(*mSends[aSend], ExchangeEnd::Complete);
  }

  /// Reports claims of slots of the engine by the other instance.
  auto OtherClaims(std::int64_t aStreams, std::uint64_t aSequence) -> void
  {
    auto work = EngineWork{};
    work.mStreams = aStreams;
    work.mClaimedStreams = aStreams;
    HandleLoadNotice(
      *mForwarder,
      EncodeLoadNotice(
        { "10.0.0.2:7000", aSequence, { { Checksum("e1"), work } } }));
  }

  /// Returns true if this instance is granted a slot before the other one.
  static auto IsRankedFirst() -> bool
  {
    const auto key = Checksum("e1");
    return Checksum("10.0.0.1:7000", key) < Checksum("10.0.0.2:7000", key);
  }
};

struct UnchangedWorld : SlotWorld
{
  UnchangedWorld()
    : SlotWorld(ForwardSettings{})
  {
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DeferralTests)

BOOST_FIXTURE_TEST_CASE(APromptWithoutAFreeSlotWaitsForOne, SlotWorld)
{
  FillSlots();
  const auto caller = AskShort();
  Run(kClaimed);
  BOOST_TEST(mSends.size() == kSlots, "it would wait in the engine");

  EndStream(0);
  Run(Millis(50));
  BOOST_TEST(mSends.size() == kSlots + 1);
  BOOST_TEST(!caller->mResponse.has_value());
}

BOOST_FIXTURE_TEST_CASE(WithoutTheSettingItIsSentAtOnce, UnchangedWorld)
{
  FillSlots();
  AskShort();
  BOOST_TEST(mSends.size() == kSlots + 1);
}

BOOST_FIXTURE_TEST_CASE(ALatePromptLeavesTheSlotToOneInTime, SlotWorld)
{
  FillSlots();
  AskShort();
  Run(Millis(500));
  EndStream(0);
  Run(Millis(200));
  BOOST_TEST(mSends.size() == kSlots, "the last slot is kept");

  const auto fresh = AskShort();
  Run(kClaimed);
  BOOST_REQUIRE(mSends.size() == kSlots + 1);
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), "id: 1\ndata: x\n\n");
  BOOST_TEST(fresh->mStreamStatus == 200);

  EndStream(1);
  EndStream(2);
  Run(Millis(200));
  BOOST_TEST(mSends.size() == kSlots + 2, "the late one follows");
}

BOOST_FIXTURE_TEST_CASE(ItIsRefusedBeforeItsCallerLeaves, SlotWorld)
{
  FillSlots();
  const auto caller = AskShort();
  Run(Millis(2000));
  BOOST_REQUIRE(caller->mResponse.has_value());
  BOOST_TEST(caller->mResponse->mBody == "no_capacity");
  const auto retry = wire::FindHeader(caller->mResponse->mHeaders, "retry");
  BOOST_REQUIRE(retry.has_value());
  BOOST_TEST(std::stoi(*retry) > 0);
  BOOST_TEST(std::stoi(*retry) <= 5000 / 3);
  BOOST_TEST(mSends.size() == kSlots, "the refusal is true");
}

BOOST_FIXTURE_TEST_CASE(ItIsRefusedAlsoWhileOthersInTimeWait, SlotWorld)
{
  FillSlots();
  const auto caller = AskShort();
  for (auto i = 0; i < 10; ++i) {
    Run(Millis(200));
    AskShort();
  }
  BOOST_TEST(caller->mResponse.has_value());
  BOOST_TEST(mSends.size() == kSlots);
}

BOOST_FIXTURE_TEST_CASE(OneOfTwoInstancesTakesTheLastSlot, SlotWorld)
{
  FillSlots();
  EndStream(0);
  AskShort();
  OtherClaims(1, 1);
  Run(kClaimed);
  BOOST_TEST((mSends.size() == kSlots + 1) == IsRankedFirst());
  OtherClaims(0, 2);
  Run(Millis(200));
  BOOST_TEST(mSends.size() == kSlots + 1, "the slot does not stay empty");
}

BOOST_AUTO_TEST_SUITE_END()
