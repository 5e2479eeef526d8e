#include "routing/routing.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <string>

using namespace cuminslip;
using namespace cuminslip::routing;

namespace {

auto
MakeRoute(std::string aName, std::string aPrefix, std::string aService) -> Route
{
  auto route = Route{};
  route.mName = std::move(aName);
  route.mHost = "claims.example";
  route.mPathPrefix = std::move(aPrefix);
  route.mTimeout = Millis(1000);
  route.mServices = { { std::move(aService), 1 } };
  return route;
}

auto
MakeDocument() -> RoutingDocument
{
  auto document = RoutingDocument{};
  document.mVersion = 3;
  document.mRoutes = { MakeRoute("all", "/", "plain"),
                       MakeRoute("drafts", "/drafts/", "engines"),
                       MakeRoute("long", "/drafts/long/", "engines") };
  document.mServices = { { "plain", "", 0, {} }, { "engines", "", 0, {} } };
  document.mAccounts = std::vector<routing::ClientAccount>{
    { { "claims" }, { "key-1", "key-2" }, {} },
    { { "dubbing" }, { "key-3" }, 2 }
  };
  return document;
}

struct BadDocument
{
  const char* mWhat;
  std::function<void(RoutingDocument&)> mInvalidate;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutingTests)

BOOST_AUTO_TEST_CASE(TheRouteWithTheLongestPrefixIsChosen)
{
  const auto table = BuildRoutingTable(MakeDocument());
  const auto nameOf = [&](const char* aPath) {
    const auto* route = FindRoute(table, "claims.example", aPath);
    return route ? route->mName : "none";
  };

  BOOST_TEST(nameOf("/drafts/long/1") == "long");
  BOOST_TEST(nameOf("/drafts/longer") == "drafts");
  BOOST_TEST(nameOf("/drafts") == "all");
  BOOST_TEST(nameOf("drafts/") == "none");
  BOOST_TEST(!FindRoute(table, "other.example", "/drafts/"));
}

BOOST_AUTO_TEST_CASE(AKeyIdentifiesItsClientAccount)
{
  const auto table = BuildRoutingTable(MakeDocument());

  BOOST_TEST(FindAccount(table, "key-2")->mId.mValue == "claims");
  BOOST_TEST(FindAccount(table, "key-3")->mId.mValue == "dubbing");
  BOOST_TEST(!FindAccount(table, ""));
  BOOST_TEST(!FindAccount(table, "key-4"));
}

BOOST_AUTO_TEST_CASE(AValidDocumentHasNoFindings)
{
  BOOST_TEST(FormatFindings(CheckRoutingDocument(MakeDocument())) == "");
}

BOOST_AUTO_TEST_CASE(EachInvalidDocumentIsReported)
{
  const auto cases = std::vector<BadDocument>{
    { "unknown service",
      [](auto& aItem) { aItem.mRoutes[0].mServices[0].mService = "nobody"; } },
    { "duplicate host and path prefix",
      [](auto& aItem) { aItem.mRoutes[1].mPathPrefix = "/"; } },
    { "weights of zero",
      [](auto& aItem) { aItem.mRoutes[0].mServices[0].mWeight = 0; } },
    { "negative weight",
      [](auto& aItem) {
        aItem.mRoutes[0].mServices = { { "plain", -1 }, { "engines", 5 } };
      } },
    { "no services", [](auto& aItem) { aItem.mRoutes[0].mServices.clear(); } },
    { "no timeout",
      [](auto& aItem) { aItem.mRoutes[2].mTimeout = Millis(0); } },
    { "no attempts", [](auto& aItem) { aItem.mRoutes[2].mMaxAttempts = 0; } },
    { "prefix without slash",
      [](auto& aItem) { aItem.mRoutes[2].mPathPrefix = "/drafts"; } },
    { "key shared by two accounts",
      [](auto& aItem) { aItem.mAccounts->at(1).mKeys = { "key-1" }; } },
    { "duplicate account",
      [](auto& aItem) { aItem.mAccounts->at(1).mId = { "claims" }; } },
    { "duplicate service",
      [](auto& aItem) { aItem.mServices[1].mName = "plain"; } },
  };
  for (const auto& it : cases) {
    auto document = MakeDocument();
    it.mInvalidate(document);
    BOOST_TEST(!IsEmpty(CheckRoutingDocument(document)), it.mWhat);
  }
}

BOOST_AUTO_TEST_CASE(RequestsAreSplitByWeight)
{
  auto route = MakeRoute("split", "/", "a");
  route.mServices = { { "a", 90 }, { "b", 0 }, { "c", 10 } };
  auto counts = std::map<std::string, int>{};
  constexpr auto kRequests = 10000;
  for (auto i = 0; i < kRequests; ++i) {
    ++counts[ChooseService(route, "request " + std::to_string(i))];
  }

  BOOST_TEST(counts["b"] == 0);
  BOOST_TEST(counts["c"] > 800);
  BOOST_TEST(counts["c"] < 1200);
  BOOST_TEST(ChooseService(route, "same") == ChooseService(route, "same"));
}

BOOST_AUTO_TEST_SUITE_END()
