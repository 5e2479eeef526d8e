#include "gateway/compression.h"

#include <boost/test/unit_test.hpp>

using namespace cuminslip;
using namespace cuminslip::gateway;

namespace {

auto
Unpack(std::string_view aBytes, std::size_t aMaxSize = 1U << 20U)
  -> std::optional<std::string>
{
  return CollectOutcome<std::string>(
           [&] { return Decompress(aBytes, aMaxSize); })
    .mValue;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CompressionTests)

BOOST_AUTO_TEST_CASE(CompressedTextsRoundTrip)
{
  auto routes = std::string{};
  for (auto i = 0; i < 500; ++i) {
    routes += R"({"name":"route-)" + std::to_string(i) + R"(","weight":1})";
  }
  for (const auto& text :
       { std::string{}, std::string("a"), std::string("a\0b", 3), routes }) {
    BOOST_TEST((Unpack(Compress(text)) == text));
  }
  BOOST_TEST(Compress(routes).size() * 5 < routes.size());
}

BOOST_AUTO_TEST_CASE(DamagedBytesAreRejected)
{
  const auto packed = Compress(std::string(1000, 'x'));
  for (auto n = std::size_t{ 0 }; n < packed.size(); ++n) {
    BOOST_TEST(!Unpack(packed.substr(0, n)).has_value(), "cut at " << n);
  }
  BOOST_TEST(!Unpack("12:not packed").has_value());
  BOOST_TEST(!Unpack("1000:").has_value());
}

BOOST_AUTO_TEST_CASE(AnOversizedDocumentIsRejectedBeforeDecompression)
{
  BOOST_TEST(!Unpack(Compress(std::string(1000, 'x')), 999).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
