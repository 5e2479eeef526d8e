#include "base/boundedjson.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace cuminslip;

BOOST_AUTO_TEST_SUITE(BoundedJsonTests)

// Review case 9: values much smaller than the memory that they take.
BOOST_AUTO_TEST_CASE(ManyTinyValuesAreRefused)
{
  for (const auto* item : { "0,", "{},", "[],", "\"\"," }) {
    auto text = std::string("[");
    while (text.size() < 1000000) {
      text += item;
    }
    text += "0]";
    auto ec = boost::json::error_code{};
    ParseJson(text, ec);
    BOOST_TEST((ec == boost::system::errc::not_enough_memory), item);
  }
}

BOOST_AUTO_TEST_CASE(ALargeDocumentIsRead)
{
  auto text = std::string("[");
  for (auto n = 0; n < 20000; ++n) {
    text += (n == 0 ? "" : ",") +
            std::string(R"({"name":"r-2yhvz3p","service":"huvo11a",)"
                        R"("timeout_ms":10000,"weights":[90,10]})");
  }
  text += "]";
  auto ec = boost::json::error_code{};
  const auto value = ParseJson(text, ec);
  BOOST_TEST(!ec, ec.message());
  BOOST_TEST(value.as_array().size() == 20000U);
}

BOOST_AUTO_TEST_CASE(ErrorsNameTheirPlace)
{
  auto ec = boost::json::error_code{};
  auto end = std::size_t{ 0 };
  ParseJson("{\"a\": x}", ec, &end);
  BOOST_TEST(!!ec);
  BOOST_TEST(end == 6U);
  ParseJson("{} {}", ec, &end);
  BOOST_TEST((ec == boost::json::error::extra_data));
  ParseJson("{\"a\": 1", ec);
  BOOST_TEST((ec == boost::json::error::incomplete));
  ParseJson(std::string(100, '['), ec);
  BOOST_TEST((ec == boost::json::error::too_deep));
}

BOOST_AUTO_TEST_SUITE_END()
