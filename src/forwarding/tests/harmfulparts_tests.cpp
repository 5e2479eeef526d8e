#include "base/digest.h"
#include "forwarding/loadnotice.h"
#include "forwarding/tests/fakeworld.h"

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;
using wire::ExchangeEnd;

namespace {

constexpr auto kHold = Millis(1000);
const auto kEvent = std::string("id: 1\ndata: x\n\n");

/// A world with engines, for prompts that share parts.
struct EngineWorld : ReadyWorld
{
  Incarnation mIncarnation = 1;
  int mLastBody = 0;

  EngineWorld()
  {
    for (auto i = 1; i <= 8; ++i) {
      AddEndpoint("n" + std::to_string(i), "engines", 20 + i);
    }
    Run(kSettled);
  }

  auto AskWith(const std::vector<std::uint64_t>& aParts)
    -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest("long");
    request.mPrompt = PromptFacts{ 4960, 1600, aParts };
    // NOTE: no two requests are alike, so that only their parts are judged.
    request.mHttp.mBody = std::to_string(++mLastBody);
    return Ask(request);
  }

  /// Ends the engine of the last request. It is back as a new incarnation.
  auto EndEngine(bool aHasBegun, bool aIsSilent = false) -> void
  {
    auto& send = LastSend();
    const auto id = send.Header("endpoint");
    ++mIncarnation;
    if (aHasBegun) {
      Head(send, 200, kSealed);
    }
    const auto handlers = send.mHandlers;
    handlers.mOnEnd({ ExchangeEnd::Broken, false, false, aIsSilent });
    AddEndpoint(id,
                "engines",
                20 + std::stoi(id.substr(1)),
                mIncarnation,
                directory::NoticeState::Ready,
                mIncarnation);
  }

  /// Lets prompts with these parts end engines in as many episodes.
  auto EndEngines(const std::vector<std::uint64_t>& aParts, int aEpisodes)
    -> void
  {
    for (auto i = 0; i < aEpisodes; ++i) {
      const auto caller = AskWith(aParts);
      EndEngine(true);
      // NOTE: the first one is sent to a second engine.
      if (!caller->mResponse) {
        Piece(LastSend(), "");
        caller->mIsDisconnected = true;
      }
      Run(Millis(400));
    }
  }

  /// Returns the parts of prompts of the last notice that reports any.
  auto LastReport() const -> std::vector<ReportedSuspect>
  {
    auto parts = std::vector<ReportedSuspect>{};
    for (const auto& it : mNotices) {
      const auto notice =
        CollectOutcome<LoadNotice>([&] { return DecodeLoadNotice(it.second); });
      if (notice.mValue && !notice.mValue->mSuspects.empty()) {
        parts = notice.mValue->mSuspects;
        std::erase_if(parts, [](const auto& aItem) {
          return aItem.mDepth == kRequestDepth;
        });
      }
    }
    return parts;
  }

  auto IsRefusedForItsPrompt(const FakeCaller& aCaller) const -> bool
  {
    return aCaller.mResponse && aCaller.mResponse->mBody == "harmful_request";
  }
};

/// A report of as many crashes, 500 ms apart, the last one just now.
auto
Report(SuspectKey aPart, int aCrashes) -> ReportedSuspect
{
  auto part = ReportedSuspect{ aPart, 1, {}, std::nullopt };
  for (auto i = 0; i < aCrashes; ++i) {
    part.mCrashes.push_back({ static_cast<std::uint64_t>(i + 1),
                              Millis(500) * (aCrashes - 1 - i),
                              true,
                              1 });
  }
  return part;
}

auto
NoticeOf(std::vector<ReportedSuspect> aParts) -> std::string
{
  auto notice = LoadNotice{};
  notice.mInstance = "10.0.0.2:7000";
  notice.mSequence = 1;
  notice.mSuspects = std::move(aParts);
  return EncodeLoadNotice(notice);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HarmfulPartTests, EngineWorld)

BOOST_AUTO_TEST_CASE(ARequestWithAHarmfulPartIsRefusedAtOnce)
{
  EndEngines({ 1, 2 }, 3);
  Run(kHold);
  const auto sends = mSends.size();
  const auto refused = AskWith({ 1, 2, 3 });
  BOOST_TEST(IsRefusedForItsPrompt(*refused));
  BOOST_TEST(mSends.size() == sends);
  const auto retry = wire::FindHeader(refused->mResponse->mHeaders, "retry");
  BOOST_TEST(std::stoi(retry.value_or("0")) > 50000, "until the next trial");

  const auto sound = AskWith({ 1, 4 });
  BOOST_TEST(mSends.size() == sends + 1);
  BOOST_TEST(!sound->mResponse.has_value());
}

BOOST_AUTO_TEST_CASE(ASoundAnswerInBetweenAcquits)
{
  EndEngines({ 1, 2 }, 2);
  AskWith({ 1, 2 });
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), kEvent);
  EndEngines({ 1, 2 }, 1);
  Run(kHold);
  BOOST_TEST(!IsRefusedForItsPrompt(*AskWith({ 1, 2 })));
}

BOOST_AUTO_TEST_CASE(ASuspectRequestIsNotRepeated)
{
  EndEngines({ 1, 2 }, 1);
  const auto sends = mSends.size();
  const auto caller = AskWith({ 1, 2 });
  EndEngine(true);
  BOOST_TEST(mSends.size() == sends + 1);
  BOOST_TEST(caller->mResponse->mBody == "endpoint_failed");

  AskWith({ 1, 2 });
  EndEngine(false);
  BOOST_TEST(mSends.size() == sends + 3, "its engine had not begun");
}

BOOST_AUTO_TEST_CASE(SilentEnginesAreNoEvidence)
{
  for (auto i = 0; i < 6; ++i) {
    AskWith({ 1, 2 });
    EndEngine(true, true);
    EndEngine(true, true);
    Run(Millis(500));
  }
  Run(kHold);
  BOOST_TEST(!IsRefusedForItsPrompt(*AskWith({ 1, 2 })));
}

BOOST_AUTO_TEST_CASE(TheEvidenceOfAnotherInstanceCounts)
{
  EndEngines({ 5 }, 1);
  const auto sent = LastReport();
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(sent.front().mCrashes.front().mHadBegun);

  HandleLoadNotice(*mForwarder, NoticeOf({ Report(sent.front().mKey, 3) }));
  Run(kHold);
  BOOST_TEST(IsRefusedForItsPrompt(*AskWith({ 5 })));
}

BOOST_AUTO_TEST_CASE(ASoundAnswerHereAcquitsWhatAnotherReports)
{
  EndEngines({ 5 }, 1);
  const auto part = LastReport().front().mKey;
  AskWith({ 5 });
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), kEvent);
  HandleLoadNotice(*mForwarder, NoticeOf({ Report(part, 3) }));
  Run(kHold);
  BOOST_TEST(!IsRefusedForItsPrompt(*AskWith({ 5 })));
  const auto last = LastReport();
  BOOST_REQUIRE(!last.empty());
  BOOST_TEST(last.front().mSoundAge.has_value());
  BOOST_TEST(last.front().mCrashes.empty());
}

BOOST_AUTO_TEST_CASE(AHarmfulPartIsTriedAgainByOneInstance)
{
  EndEngines({ 5 }, 3);
  auto tries = 0;
  for (auto i = 0; i < 600 && tries == 0; ++i) {
    Run(Seconds(1));
    const auto sends = mSends.size();
    const auto caller = AskWith({ 5 });
    tries += mSends.size() > sends ? 1 : 0;
  }
  const auto own = std::string("10.0.0.1:7000");
  const auto part = Checksum("engines") ^ 5U;
  const auto isHolder = Checksum(own, part) < Checksum("10.0.0.2:7000", part);
  BOOST_TEST((tries == 1) == isHolder);
  if (!isHolder) {
    SetEntries(*mForwarder, { { own, { "a" } } });
    AskWith({ 5 });
  }
  BOOST_TEST(IsRefusedForItsPrompt(*AskWith({ 5 })), "one request at a time");
  Head(LastSend(), 200, kSealed);
  Piece(LastSend(), kEvent);
  Run(Millis(100));
  BOOST_TEST(!IsRefusedForItsPrompt(*AskWith({ 5 })));
}

BOOST_AUTO_TEST_CASE(ANoticeReportsABoundedNumberOfParts)
{
  constexpr auto kMaxReported = std::size_t{ 12 };
  for (auto i = std::uint64_t{ 1 }; i < 200; ++i) {
    AskWith({ i * 2, i * 2 + 1 });
    EndEngine(false);
    Run(Millis(20));
  }
  for (const auto& [address, bytes] : mNotices) {
    const auto notice = CollectOutcome<LoadNotice>(
      [&, b = std::string_view(bytes)] { return DecodeLoadNotice(b); });
    BOOST_TEST(notice.mValue->mSuspects.size() <= kMaxReported);
  }
}

BOOST_AUTO_TEST_SUITE_END()
