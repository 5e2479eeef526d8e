#include "policy/prefixhashes.h"
#include "policy/tokens.h"

#include "base/digest.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;

BOOST_AUTO_TEST_SUITE(TokensTests)

BOOST_AUTO_TEST_CASE(RoundsUpToWholeTokens)
{
  BOOST_TEST(EstimateTokens(0) == 0);
  BOOST_TEST(EstimateTokens(1) == 1);
  BOOST_TEST(EstimateTokens(4) == 1);
  BOOST_TEST(EstimateTokens(5) == 2);
}

BOOST_AUTO_TEST_CASE(ClassifiesByTheFirstClassThatIsLongEnough)
{
  const auto classes =
    std::vector<LengthClass>{ { "short", 4000 }, { "long", 100000 } };

  BOOST_TEST(ClassifyLength(4000, classes) == 0U);
  BOOST_TEST(ClassifyLength(4001, classes) == 1U);
  BOOST_TEST(ClassifyLength(1000000, classes) == 1U);
  BOOST_TEST(ClassifyLength(5, {}) == 0U);
}

BOOST_AUTO_TEST_CASE(HashesEachPrefixAsIfItWereHashedAlone)
{
  auto prompt = std::string{};
  for (auto i = 0; i < 3000; ++i) {
    prompt += std::to_string(i);
  }

  const auto hashes = HashPrefixes(prompt);

  BOOST_REQUIRE(hashes.size() == prompt.size() / 2048);
  for (auto i = std::size_t{ 0 }; i < hashes.size(); ++i) {
    BOOST_TEST(hashes[i] ==
               Checksum(std::string_view(prompt).substr(0, (i + 1) * 2048)));
  }
}

BOOST_AUTO_TEST_CASE(FormatsAndParsesHashes)
{
  BOOST_TEST(FormatPrefixHash(0x8f3a) == "0000000000008f3a");
  BOOST_TEST(ParsePrefixHash("8f3a").value() == 0x8f3aU);
  BOOST_TEST(!ParsePrefixHash("8f3g").has_value());
  BOOST_TEST(!ParsePrefixHash("").has_value());
  BOOST_TEST(!ParsePrefixHash("00000000000008f3a").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
