#include "base/digest.h"
#include "forwarding/loadnotice.h"
#include "forwarding/tests/fakeworld.h"

#include <set>

using namespace cuminslip;
using namespace cuminslip::forwarding;
using namespace cuminslip::forwarding::testing;

namespace {

constexpr auto kEach = 40;

auto
AddressOf(const std::string& aDomain, int aNumber) -> std::string
{
  return "10." + std::string(aDomain == "a" ? "0" : "1") + ".0." +
         std::to_string(aNumber) + ":7000";
}

/// 40 instances and 4 engines in each of two failure domains; this instance is
/// the first one of domain a.
struct LargeWorld : FakeWorld
{
  LargeWorld()
  {
    ApplyRouting(*mForwarder, MakeTable(MakeDocument(1)));
    auto entries = std::vector<directory::EntryInstance>{};
    for (const auto* domain : { "a", "b" }) {
      for (auto i = 1; i <= kEach; ++i) {
        entries.push_back({ AddressOf(domain, i), { domain } });
      }
      for (auto i = 1; i <= 4; ++i) {
        AddEngine(domain, i);
      }
    }
    SetEntries(*mForwarder, std::move(entries));
    Run(kSettled);
  }

  auto AddEngine(const std::string& aDomain, int aNumber) -> void
  {
    auto notice = directory::EndpointNotice{};
    notice.mId = { aDomain + std::to_string(aNumber) };
    notice.mService = "engines";
    notice.mAddress = "10.9." + std::string(aDomain == "a" ? "0." : "1.") +
                      std::to_string(aNumber) + ":80";
    notice.mFailureDomain = { aDomain };
    notice.mSlots = 16;
    notice.mIncarnation = 1;
    notice.mSequence = 1;
    ApplyEndpoints(*mForwarder, { "c1", false, { { notice, false } } });
  }

  auto AskLong() -> std::shared_ptr<FakeCaller>
  {
    auto request = MakeRequest("long");
    request.mPrompt = PromptFacts{ 154000, 800 };
    return Ask(request);
  }

  /// Reports engines of domain a as busy with long prompts.
  auto MakeOwnEnginesBusy(std::uint64_t aSequence) -> void
  {
    auto shares = std::vector<EngineShare>{};
    for (auto i = 1; i <= 4; ++i) {
      shares.push_back({ Checksum("a" + std::to_string(i)),
                         { 0, 0, 9000, 0, kNoPauseLimitMillis, 0, 3 } });
    }
    HandleLoadNotice(
      *mForwarder,
      EncodeLoadNotice({ AddressOf("a", 2), aSequence, shares, false }));
  }

  /// Returns the domains of the instances that received notices, and forgets
  /// these.
  auto TakeNotified() -> std::map<std::string, int>
  {
    auto counts = std::map<std::string, int>{};
    for (const auto& [address, bytes] : std::exchange(mNotices, {})) {
      const auto notice = CollectOutcome<LoadNotice>(
        [&, text = bytes] { return DecodeLoadNotice(text); });
      const auto kind = notice.mValue->mIsSummary        ? "summary "
                        : notice.mValue->mShares.empty() ? "empty "
                                                         : "work ";
      ++counts[kind + std::string(address.starts_with("10.0.") ? "a" : "b")];
    }
    return counts;
  }
};

using Counts = std::map<std::string, int>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadGroupTests, LargeWorld)

BOOST_AUTO_TEST_CASE(WorkOnOwnEnginesIsReportedToTheOwnGroupOnly)
{
  AskLong();
  BOOST_TEST((TakeNotified() == Counts{ { "work a", kEach - 1 } }));
  BOOST_TEST(mSends.empty());
  Run(Millis(8));
  BOOST_REQUIRE(mSends.size() == 1U);
  BOOST_TEST(LastSend().Header("endpoint").starts_with("a"));
}

BOOST_AUTO_TEST_CASE(BusyOwnEnginesMakeAPromptBorrow)
{
  MakeOwnEnginesBusy(1);
  TakeNotified();
  AskLong();
  Run(Millis(500));
  BOOST_TEST(mSends.empty(), "waits for its own group first");
  MakeOwnEnginesBusy(2);
  Run(Millis(500));
  BOOST_REQUIRE(mSends.size() == 1U);
  BOOST_TEST(LastSend().Header("endpoint").starts_with("b"));
  const auto counts = TakeNotified();
  BOOST_TEST(counts.at("work b") == kEach, "the lending group is told");

  Head(LastSend(), 200, kSealed);
  AbandonRequests(*mForwarder);
  Run(Seconds(1));
  BOOST_TEST(TakeNotified()["empty b"] >= kEach, "and told of the end");
}

/// Every instance of another group gets the summary from one instance.
BOOST_AUTO_TEST_CASE(OneInstanceSummarizesForItsCounterparts)
{
  MakeOwnEnginesBusy(1);
  BOOST_TEST((TakeNotified() == Counts{ { "summary b", 1 } }));
  MakeOwnEnginesBusy(2);
  BOOST_TEST(TakeNotified().empty(), "at the minimum interval only");
  Run(Millis(500));
  MakeOwnEnginesBusy(3);
  BOOST_TEST((TakeNotified() == Counts{ { "summary b", 1 } }));
}

BOOST_AUTO_TEST_CASE(ANoticeThatNamesAnEngineTwiceDoesNoHarm)
{
  const auto share =
    EngineShare{ Checksum("a1"), { 0, 0, 9000, 0, kNoPauseLimitMillis, 0, 3 } };
  for (const auto sequence : { 1U, 2U }) {
    HandleLoadNotice(
      *mForwarder,
      EncodeLoadNotice(
        { AddressOf("a", 2), sequence, { share, share }, false }));
  }
  HandleLoadNotice(*mForwarder,
                   EncodeLoadNotice({ AddressOf("a", 2), 3, {}, false }));
  AskLong();
  Run(Millis(8));
  BOOST_TEST(mSends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(BusyEnginesOfOtherGroupsAreNotBorrowed)
{
  auto shares = std::vector<EngineShare>{};
  for (auto i = 1; i <= 4; ++i) {
    shares.push_back({ Checksum("b" + std::to_string(i)),
                       { 0, 0, 9000, 0, kNoPauseLimitMillis, 0, 3 } });
  }
  MakeOwnEnginesBusy(1);
  HandleLoadNotice(*mForwarder,
                   EncodeLoadNotice({ AddressOf("b", 1), 1, shares, true }));
  AskLong();
  Run(Millis(1300));
  BOOST_TEST(mSends.empty());
}

/// A failure domain that is cut off sees no instances and engines but its own.
BOOST_AUTO_TEST_CASE(ADomainThatIsCutOffKeepsItsGroup)
{
  auto entries = std::vector<directory::EntryInstance>{};
  for (auto i = 1; i <= kEach; ++i) {
    entries.push_back({ AddressOf("a", i), { "a" } });
  }
  SetEntries(*mForwarder, std::move(entries));
  AskLong();
  Run(Millis(8));
  BOOST_REQUIRE(mSends.size() == 1U);
  BOOST_TEST(LastSend().Header("endpoint").starts_with("a"));
  for (const auto& it : LastSend().mExchange.mRequest.mHeaders) {
    BOOST_TEST((it.mName != "helper" || it.mValue.starts_with("10.9.0.")));
  }
}

BOOST_AUTO_TEST_SUITE_END()
