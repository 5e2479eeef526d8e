#include "client/client.h"
#include "documentation/tests/sources.h"

#include <boost/test/unit_test.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <map>
#include <regex>
#include <set>

using namespace cuminslip::documentation;

namespace {

/// An event's name and severity, as "endpoint_chosen info".
using EventText = std::string;

struct EventEntry
{
  int mNumber;
  EventText mText;
};

auto
ListEventsOfCode() -> std::vector<EventEntry>
{
  const auto pattern = std::regex(
    R"re(Event\{\s*(\d+),\s*"([a-z0-9_]+)",\s*Severity::(\w+)\s*\})re");
  auto events = std::vector<EventEntry>{};
  for (const auto& file : ListSources()) {
    const auto text = ReadPage(file.string());
    auto it = std::sregex_iterator(text.begin(), text.end(), pattern);
    for (; it != std::sregex_iterator{}; ++it) {
      auto severity = (*it)[3].str();
      severity[0] = static_cast<char>(std::tolower(severity[0]));
      events.push_back(
        { std::stoi((*it)[1]), (*it)[2].str() + " " + severity });
    }
  }
  return events;
}

auto
ListEventsOfPage() -> std::vector<EventEntry>
{
  auto events = std::vector<EventEntry>{};
  for (const auto& row : TableRows(ReadPage("docs/EVENTS.md"), "[0-9]{4}")) {
    events.push_back({ std::stoi(row.at(0)), row.at(1) + " " + row.at(2) });
  }
  return events;
}

auto
ByNumber(const std::vector<EventEntry>& aEvents) -> std::map<int, EventText>
{
  auto map = std::map<int, EventText>{};
  for (const auto& event : aEvents) {
    const auto isNew = map.emplace(event.mNumber, event.mText).second;
    BOOST_TEST(isNew, event.mNumber << " stands twice: " << event.mText);
  }
  return map;
}

auto
ListMetricsOfCode() -> std::set<std::string>
{
  auto metrics = std::set<std::string>{};
  for (const auto& file : ListSources()) {
    const auto found =
      FindAll(ReadPage(file.string()), R"re("(cuminslip_[a-z0-9_]+)")re");
    metrics.insert(found.begin(), found.end());
  }
  return metrics;
}

auto
ListMetricsOfPage() -> std::set<std::string>
{
  auto metrics = std::set<std::string>{};
  for (const auto& row :
       TableRows(ReadPage("docs/METRICS.md"), "cuminslip_[a-z0-9_]+")) {
    const auto isNew = metrics.insert(row.at(0)).second;
    BOOST_TEST(isNew, row.at(0) << " stands twice");
  }
  return metrics;
}

auto
Exists(const std::filesystem::path& aPath) -> bool
{
  return std::filesystem::exists(std::filesystem::path(CUMINSLIP_SOURCE_DIR) /
                                 aPath);
}

} // namespace

BOOST_AUTO_TEST_SUITE(PagesTests)

BOOST_AUTO_TEST_CASE(EventsOfCodeAndPageAgree)
{
  const auto code = ByNumber(ListEventsOfCode());
  const auto page = ByNumber(ListEventsOfPage());

  BOOST_TEST(!code.empty());
  for (const auto& [number, text] : code) {
    const auto it = page.find(number);
    BOOST_TEST((it != page.end() && it->second == text),
               number << " " << text << " is not so in docs/EVENTS.md");
  }
  for (const auto& [number, text] : page) {
    BOOST_TEST(code.contains(number),
               number << " " << text << " is not in the code");
  }
}

BOOST_AUTO_TEST_CASE(EventNamesAreUnique)
{
  auto names = std::set<std::string>{};
  for (const auto& event : ListEventsOfCode()) {
    const auto name = event.mText.substr(0, event.mText.find(' '));
    BOOST_TEST(names.insert(name).second, name << " stands twice");
  }
}

BOOST_AUTO_TEST_CASE(MetricsOfCodeAndPageAgree)
{
  const auto code = ListMetricsOfCode();
  const auto page = ListMetricsOfPage();

  BOOST_TEST(!code.empty());
  for (const auto& name : code) {
    BOOST_TEST(page.contains(name), name << " is not in docs/METRICS.md");
  }
  for (const auto& name : page) {
    BOOST_TEST(code.contains(name), name << " is not in the code");
  }
}

BOOST_AUTO_TEST_CASE(MetricNamesFollowTheirTypes)
{
  for (const auto& row :
       TableRows(ReadPage("docs/METRICS.md"), "cuminslip_[a-z0-9_]+")) {
    const auto isCounter = row.at(1) == "counter";
    BOOST_TEST(isCounter == row.at(0).ends_with("_total"), row.at(0));
  }
}

BOOST_AUTO_TEST_CASE(AlertsNameMetricsAndPages)
{
  const auto metrics = ListMetricsOfCode();
  const auto file = YAML::Load(ReadPage("packaging/prometheus-alerts.yaml"));
  auto names = std::set<std::string>{};
  for (const auto& rule : file["groups"][0]["rules"]) {
    const auto name = rule["alert"].as<std::string>();
    BOOST_TEST(names.insert(name).second, name << " stands twice");
    const auto used =
      FindAll(rule["expr"].as<std::string>(), "(cuminslip_[a-z0-9_]+)");
    BOOST_TEST(!used.empty(), name);
    for (const auto& metric : used) {
      BOOST_TEST(metrics.contains(metric), name << " names " << metric);
    }
    const auto page = rule["annotations"]["page"].as<std::string>();
    BOOST_TEST(Exists(page), name << " names " << page);
  }
  BOOST_TEST(!names.empty());
}

BOOST_AUTO_TEST_CASE(ManPageNamesEachCommandAndOption)
{
  auto page = ReadPage("man/cuminslip.1");
  page.erase(std::remove(page.begin(), page.end(), '\\'), page.end());
  const auto usage = cuminslip::ClientUsage();
  for (const auto& option : FindAll(usage, "(--[a-z-]+)")) {
    BOOST_TEST(page.find(option) != std::string::npos, option);
  }
  for (const auto& command : FindAll(usage, "\n  ([a-z]+(?:[ -][a-z]+)*)")) {
    BOOST_TEST(page.find(command) != std::string::npos, command);
  }
}

BOOST_AUTO_TEST_CASE(LinksBetweenPagesHold)
{
  auto pages = std::vector<std::filesystem::path>{ "README.md" };
  const auto root = std::filesystem::path(CUMINSLIP_SOURCE_DIR);
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(root / "docs")) {
    if (entry.path().extension() == ".md") {
      pages.push_back(std::filesystem::relative(entry.path(), root));
    }
  }
  for (const auto& page : pages) {
    const auto links =
      FindAll(ReadPage(page.string()), R"(\]\(([^):#]+)(?:#[^)]*)?\))");
    for (const auto& link : links) {
      BOOST_TEST(Exists(page.parent_path() / link), page << " -> " << link);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
