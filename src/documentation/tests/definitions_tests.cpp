#include "documentation/tests/sources.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <regex>
#include <sstream>
#include <string>

using namespace cuminslip::documentation;

namespace {

/// Types that headers define, by their namespace and name, and where.
auto
ListTypes() -> std::map<std::string, std::vector<std::string>>
{
  const auto space = std::regex(R"(^namespace (cuminslip[a-z:]*)\s*\{?$)");
  const auto type =
    std::regex(R"(^(?:struct|class|enum class) ([A-Z]\w*)(?: .*[^;])?$)");
  auto types = std::map<std::string, std::vector<std::string>>{};
  for (const auto& file : ListSources()) {
    if (file.extension() != ".h") {
      continue;
    }
    auto lines = std::istringstream(ReadPage(file.string()));
    auto present = std::string{};
    auto match = std::smatch{};
    for (auto line = std::string{}; std::getline(lines, line);) {
      if (std::regex_match(line, match, space)) {
        present = match[1];
      } else if (std::regex_match(line, match, type)) {
        types[present + "::" + match[1].str()].push_back(file.string());
      }
    }
  }
  return types;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DefinitionsTests)

BOOST_AUTO_TEST_CASE(ATypeIsDefinedInOneHeader)
{
  const auto types = ListTypes();

  BOOST_TEST(types.contains("cuminslip::RetryBudget"));
  for (const auto& [name, places] : types) {
    // NOTE: of two the linker keeps the functions of one.
    BOOST_TEST(places.size() == 1U,
               name << " stands in " << places.front() << " and in "
                    << places.back());
  }
}

BOOST_AUTO_TEST_SUITE_END()
