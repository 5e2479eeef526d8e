#include "policy/prefixknowledge.h"

#include "policy/prefixhashes.h"
#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cuminslip;

namespace {

const auto kEndpoint = EndpointId{ "engine-0" };
const auto kPrompt = std::vector<PrefixHash>{ 11, 12, 13, 14 };

auto
FindTokens(const PrefixKnowledge& aKnowledge, TimePoint aNow = kTestStart)
  -> std::int64_t
{
  const auto views = MakeEngines(1);
  const auto found = FindCachedPrefixes(aKnowledge, kPrompt, views, aNow);
  return found.empty() ? 0 : found.front().mTokens;
}

auto
Apply(PrefixKnowledge& aKnowledge,
      const std::vector<CacheEvent>& aEvents,
      Incarnation aIncarnation = 1,
      bool aHasGap = false) -> void
{
  ApplyCacheEvents(
    aKnowledge, kEndpoint, aIncarnation, aEvents, aHasGap, kTestStart);
}

auto
Stored(PrefixHash aPrefix, std::int64_t aTokens) -> CacheEvent
{
  return { 1, CacheEventKind::Stored, aPrefix, aTokens };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixKnowledgeTests)

BOOST_AUTO_TEST_CASE(FindsTheLongestStoredPrefixDespiteGaps)
{
  auto knowledge = PrefixKnowledge{};
  Apply(knowledge, { Stored(11, 512), Stored(13, 1536) });
  BOOST_TEST(FindTokens(knowledge) == 1536);
  Apply(knowledge, { { 2, CacheEventKind::Evicted, 13, 1536 } });
  BOOST_TEST(FindTokens(knowledge) == 512);
}

BOOST_AUTO_TEST_CASE(RestartAndDepartureForgetEverything)
{
  auto knowledge = PrefixKnowledge{};
  Apply(knowledge, { Stored(11, 512) });
  Apply(knowledge, {}, 2);
  BOOST_TEST(FindTokens(knowledge) == 0);
  Apply(knowledge, { Stored(11, 512) }, 1);
  BOOST_TEST(FindTokens(knowledge) == 0);
  Apply(knowledge, { Stored(11, 512) }, 2);
  BOOST_TEST(FindTokens(knowledge) == 512);
  ForgetEndpoint(knowledge, kEndpoint);
  BOOST_TEST(FindTokens(knowledge) == 0);
  BOOST_TEST(knowledge.mHolders.empty());
}

BOOST_AUTO_TEST_CASE(CertaintyFallsWithAgeAndLostEvents)
{
  auto knowledge = PrefixKnowledge{};
  RecordSentPrompt(knowledge, kEndpoint, 1, kPrompt, kTestStart);
  const auto views = MakeEngines(1);
  const auto certainty = [&](TimePoint aNow) {
    return FindCachedPrefixes(knowledge, kPrompt, views, aNow)
      .front()
      .mCertainty;
  };
  const auto fresh = certainty(kTestStart);
  const auto old = certainty(kTestStart + knowledge.mSettings.mHalfLife);
  BOOST_TEST(old == fresh / 2, boost::test_tools::tolerance(1e-6));
  ApplyCacheEvents(knowledge, kEndpoint, 1, {}, true, kTestStart + Seconds(1));
  BOOST_TEST(certainty(kTestStart + Seconds(1)) < fresh * 0.51);
}

BOOST_AUTO_TEST_CASE(KeepsSixteenPrefixesForEachDoubling)
{
  auto kept = 0;
  for (auto i = std::size_t{ 0 }; i < kMaxPrefixes; ++i) {
    kept += IsKeptPrefix(i) ? 1 : 0;
  }
  BOOST_TEST(kept == 16 + 7 * 16);
  BOOST_TEST(IsKeptPrefix(kMaxPrefixes - 1));
}

BOOST_AUTO_TEST_CASE(DividesTheWholeBoundBetweenEndpoints)
{
  auto knowledge = PrefixKnowledge{};
  knowledge.mSettings.mMaxPrefixes = 100;
  for (auto round = 0; round < 2; ++round) {
    for (auto i = 0; i < 20; ++i) {
      for (auto prefix = 0U; prefix < 50; ++prefix) {
        const auto events = std::vector<CacheEvent>{ Stored(prefix, 512) };
        ApplyCacheEvents(
          knowledge, { std::to_string(i) }, 1, events, false, kTestStart);
      }
    }
  }
  auto kept = std::size_t{ 0 };
  for (const auto& endpoint : knowledge.mEndpoints) {
    kept += endpoint.mRecent.size();
  }
  BOOST_TEST(kept == 100U);
}

BOOST_AUTO_TEST_CASE(EndpointsThatAreGoneMakeRoomForNewNames)
{
  auto knowledge = PrefixKnowledge{};
  knowledge.mSettings.mMaxEndpoints = 2;
  const auto later = kTestStart + knowledge.mSettings.mForgetAfter + Millis(1);
  for (const auto* id : { "old-1", "old-2" }) {
    RecordSentPrompt(knowledge, { id }, 1, kPrompt, kTestStart);
  }
  RecordSentPrompt(knowledge, kEndpoint, 1, kPrompt, kTestStart);
  BOOST_TEST(FindTokens(knowledge) == 0);
  RecordSentPrompt(knowledge, kEndpoint, 1, kPrompt, later);
  BOOST_TEST(FindTokens(knowledge, later) == 2048);
  BOOST_TEST(knowledge.mSlots.size() == 1U);
}

BOOST_AUTO_TEST_CASE(StaysWithinItsBounds)
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 5; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937_64(seed);
      auto draw = std::uniform_int_distribution<std::uint64_t>(0, 60);
      auto knowledge = PrefixKnowledge{};
      knowledge.mSettings.mMaxPrefixesPerEndpoint = 10;
      knowledge.mSettings.mMaxEndpoints = 4;
      for (auto i = 0; i < 3000; ++i) {
        const auto id = EndpointId{ std::to_string(draw(random) % 6) };
        const auto prefixes =
          std::vector<PrefixHash>{ draw(random), draw(random) };
        if (draw(random) == 0) {
          ForgetEndpoint(knowledge, id);
        } else {
          RecordSentPrompt(
            knowledge, id, 1 + draw(random) / 50, prefixes, kTestStart);
        }
        auto listed = std::size_t{ 0 };
        for (const auto& endpoint : knowledge.mEndpoints) {
          BOOST_REQUIRE(endpoint.mRecent.size() <= 10U);
          BOOST_REQUIRE(endpoint.mRecent.size() == endpoint.mPositions.size());
          listed += endpoint.mRecent.size();
        }
        auto held = std::size_t{ 0 };
        for (const auto& [prefix, holders] : knowledge.mHolders) {
          BOOST_REQUIRE(!holders.empty());
          held += holders.size();
        }
        BOOST_REQUIRE(held == listed);
        BOOST_REQUIRE(knowledge.mEndpoints.size() <= 4U);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
