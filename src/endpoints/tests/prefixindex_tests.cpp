#include "endpoints/prefixindex.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace cuminslip::endpoints;

namespace {

constexpr std::size_t kMany = 1000;

auto
Stored(std::uint64_t aSequence, std::string aPrefix, std::int64_t aTokens)
  -> CacheEvent
{
  return { aSequence, CacheEventKind::Stored, std::move(aPrefix), aTokens };
}

auto
Evicted(std::uint64_t aSequence, std::string aPrefix) -> CacheEvent
{
  return { aSequence, CacheEventKind::Evicted, std::move(aPrefix), 0 };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PrefixIndexTests)

BOOST_AUTO_TEST_CASE(FindsTheLongestKnownPrefix)
{
  auto index = PrefixIndex{};
  BOOST_TEST(!ApplyCacheEvents(
    index, { 3, { Stored(1, "a", 512), Stored(2, "b", 1024) } }, kMany));

  BOOST_TEST(LongestPrefix(index, { "a", "b", "c" }) == 1024);
  BOOST_TEST(LongestPrefix(index, { "a", "x" }) == 512);
  BOOST_TEST(LongestPrefix(index, { "x" }) == 0);
  ApplyCacheEvents(index, { 4, { Evicted(3, "b") } }, kMany);
  BOOST_TEST(LongestPrefix(index, { "a", "b" }) == 512);
}

BOOST_AUTO_TEST_CASE(GapIsDetectedAndFilledByAResend)
{
  auto index = PrefixIndex{};
  ApplyCacheEvents(index, { 2, { Stored(1, "a", 512) } }, kMany);

  const auto missing =
    ApplyCacheEvents(index, { 4, { Stored(3, "c", 512) } }, kMany);
  BOOST_TEST((missing == std::uint64_t{ 2 }));
  BOOST_TEST(LongestPrefix(index, { "c" }) == 0);
  const auto after = ApplyCacheEvents(
    index, { 4, { Stored(3, "c", 512), Evicted(2, "a") } }, kMany);
  BOOST_TEST(!after.has_value());
  BOOST_TEST(LongestPrefix(index, { "a" }) == 0);
  BOOST_TEST(LongestPrefix(index, { "c" }) == 512);
}

BOOST_AUTO_TEST_CASE(PersistentGapIsSkipped)
{
  auto index = PrefixIndex{};
  ApplyCacheEvents(index, { 2, { Stored(1, "a", 512) } }, kMany);
  auto documents = 1;
  while (ApplyCacheEvents(index, { 10, { Stored(9, "z", 512) } }, kMany)) {
    ++documents;
  }
  BOOST_TEST(documents == kMaxGapAnnouncements);
  BOOST_TEST(LongestPrefix(index, { "a" }) == 0);
  BOOST_TEST(LongestPrefix(index, { "z" }) == 512);
  BOOST_TEST(index.mNextSequence == 10U);
}

BOOST_AUTO_TEST_CASE(LateDocumentsChangeNothing)
{
  auto index = PrefixIndex{};
  ApplyCacheEvents(
    index, { 3, { Stored(1, "a", 512), Evicted(2, "a") } }, kMany);
  BOOST_TEST(!ApplyCacheEvents(index, { 2, { Stored(1, "a", 512) } }, kMany));
  BOOST_TEST(LongestPrefix(index, { "a" }) == 0);
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded)
{
  auto index = PrefixIndex{};
  for (std::uint64_t i = 0; i < 5000; ++i) {
    const auto prefix = std::to_string(i / 2);
    ApplyCacheEvents(
      index,
      { i + 1, { i % 2 == 0 ? Stored(i, prefix, 1) : Evicted(i, prefix) } },
      100);
  }
  BOOST_TEST(index.mTokens.size() <= 100U);
  BOOST_TEST(index.mOrder.size() <= 200U);
}

BOOST_AUTO_TEST_CASE(LostAndDuplicateDocumentsConvergeAfterAResend)
{
  for (const auto seed : { 1U, 2U, 3U, 4U, 5U }) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      auto random = std::mt19937(seed);
      auto events = std::vector<CacheEvent>{};
      auto truth = std::set<std::string>{};
      auto index = PrefixIndex{};
      ApplyCacheEvents(index, {}, kMany);
      for (std::uint64_t i = 0; i < 300; ++i) {
        const auto prefix = std::to_string(random() % 20);
        const auto isStored = random() % 2 == 0;
        events.push_back(isStored ? Stored(i, prefix, 7) : Evicted(i, prefix));
        isStored ? (void)truth.insert(prefix) : (void)truth.erase(prefix);
        if (random() % 4 != 0) {
          ApplyCacheEvents(index, { i + 1, { events.back() } }, kMany);
        }
      }
      const auto next = index.mNextSequence;
      const auto first = events.begin() + static_cast<std::ptrdiff_t>(
                                            std::min<std::size_t>(next, 299));
      ApplyCacheEvents(index, { 300, { first, events.end() } }, kMany);
      if (index.mGapAnnouncements > 0) {
        ApplyCacheEvents(index, { 300, events }, kMany);
      }
      for (auto i = 0; i < 20; ++i) {
        const auto prefix = std::to_string(i);
        const auto believed = LongestPrefix(index, { prefix }) > 0;
        BOOST_TEST((!believed || truth.contains(prefix)));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
