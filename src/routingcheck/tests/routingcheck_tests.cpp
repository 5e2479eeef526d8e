#include "routingcheck/routingcheck.h"

#include "routing/routing.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>

using namespace cuminslip;
using namespace cuminslip::routing;
using namespace cuminslip::routingcheck;

namespace {

auto
MakeRoute(const std::string& aName, const std::string& aService) -> Route
{
  auto route = Route{};
  route.mName = aName;
  route.mHost = "claims.example";
  route.mPathPrefix = "/" + aName + "/";
  route.mKind = RouteKind::Streaming;
  route.mTimeout = Millis(1000);
  route.mAnswerTarget = Millis(300);
  route.mPauseTarget = Millis(250);
  route.mMaxAttempts = 2;
  route.mServices = { { aService, 1 } };
  return route;
}

auto
MakeDocument() -> RoutingDocument
{
  auto document = RoutingDocument{};
  document.mVersion = 3;
  document.mRoutes = { MakeRoute("r0", "plain"), MakeRoute("r1", "engines") };
  document.mServices = { { "plain", "/healthz", 9, {} },
                         { "engines", "/healthz", 9, EngineTiming{} } };
  document.mServices[1].mEngine->mKvCacheTokens = 1000;
  document.mAccounts = std::vector<routing::ClientAccount>{
    { { "claims" }, { "key-1", "key-2" }, {} },
    { { "dubbing" }, { "key-3" }, 2 }
  };
  return document;
}

auto
MakeHugeDocument(std::size_t aCount) -> RoutingDocument
{
  auto document = RoutingDocument{};
  document.mVersion = 1;
  document.mAccounts.emplace();
  for (auto i = std::size_t{ 0 }; i < aCount; ++i) {
    const auto n = std::to_string(i);
    document.mRoutes.push_back(MakeRoute("r" + n, "s" + n));
    document.mServices.push_back({ "s" + n, "", 0, {} });
    document.mAccounts->push_back({ { "a" + n }, { "key-" + n }, {} });
  }
  return document;
}

struct Change
{
  FindingSeverity mSeverity;
  Path mPath;
  std::function<void(RoutingDocument&)> mApply;
};

constexpr auto kError = FindingSeverity::Error;
constexpr auto kWarning = FindingSeverity::Warning;

const auto kRoute = PathStep{ Field::Routes, 1 };
const auto kEngines = PathStep{ Field::Services, 1 };
const auto kAccount = PathStep{ Field::Accounts, 1 };
const auto kLimits = PathStep{ Field::Limits, {} };
const auto kEngine = PathStep{ Field::Engine, {} };

auto
At(const PathStep& aStep, Field aField) -> Path
{
  return { aStep, { aField, {} } };
}

const auto kFirst = PathStep{ Field::RouteServices, 0 };
const auto kSecond = PathStep{ Field::RouteServices, 1 };

const auto kErrors = std::vector<Change>{
  { kError, { { Field::Version, {} } }, [](auto& aTo) { aTo.mVersion = 0; } },
  { kError,
    { kRoute },
    [](auto& aTo) {
      aTo.mRoutes[1].mPathPrefix = aTo.mRoutes[0].mPathPrefix;
    } },
  { kError,
    At(kRoute, Field::PathPrefix),
    [](auto& aTo) { aTo.mRoutes[1].mPathPrefix = "r1/"; } },
  { kError,
    At(kRoute, Field::PathPrefix),
    [](auto& aTo) { aTo.mRoutes[1].mPathPrefix = "/r1"; } },
  { kError,
    At(kRoute, Field::Timeout),
    [](auto& aTo) { aTo.mRoutes[1].mTimeout = Millis(0); } },
  { kError,
    At(kRoute, Field::MaxAttempts),
    [](auto& aTo) { aTo.mRoutes[1].mMaxAttempts = 0; } },
  { kError,
    At(kRoute, Field::RouteServices),
    [](auto& aTo) { aTo.mRoutes[1].mServices[0].mWeight = 0; } },
  { kError,
    { kRoute, kSecond, { Field::Weight, {} } },
    [](auto& aTo) {
      aTo.mRoutes[1].mServices.push_back({ "plain", -1 });
    } },
  { kError,
    { kRoute, kSecond, { Field::ServiceName, {} } },
    [](auto& aTo) {
      aTo.mRoutes[1].mServices.push_back({ "other", 1 });
    } },
  { kError,
    { kEngines, { Field::Name, {} } },
    [](auto& aTo) {
      aTo.mServices[1].mName = "plain";
      aTo.mRoutes[1].mServices[0].mService = "plain";
    } },
  { kError,
    At(kAccount, Field::Name),
    [](auto& aTo) { aTo.mAccounts->at(1).mId = aTo.mAccounts->at(0).mId; } },
  { kError,
    { kAccount, { Field::Keys, 1 } },
    [](auto& aTo) { aTo.mAccounts->at(1).mKeys.emplace_back("key-2"); } },
  { kError,
    { kAccount, { Field::Keys, 1 } },
    [](auto& aTo) { aTo.mAccounts->at(1).mKeys.emplace_back(""); } },
};

const auto kWarnings = std::vector<Change>{
  { kWarning,
    { kRoute, kFirst, { Field::Weight, {} } },
    [](auto& aTo) {
      aTo.mRoutes[1].mServices = { { "engines", 0 }, { "plain", 1 } };
    } },
  { kWarning,
    { kEngines },
    [](auto& aTo) {
      aTo.mRoutes[1].mServices = { { "plain", 1 } };
    } },
  { kWarning,
    At(kAccount, Field::Keys),
    [](auto& aTo) { aTo.mAccounts->at(1).mKeys.clear(); } },
  { kWarning,
    At(kRoute, Field::Timeout),
    [](auto& aTo) { aTo.mRoutes[1].mAnswerTarget = aTo.mRoutes[1].mTimeout; } },
  { kWarning,
    At(kRoute, Field::PauseTarget),
    [](auto& aTo) { aTo.mRoutes[1].mKind = RouteKind::Idempotent; } },
  { kWarning,
    At(kRoute, Field::MaxAttempts),
    [](auto& aTo) {
      aTo.mRoutes[1].mKind = RouteKind::NonIdempotent;
      aTo.mRoutes[1].mPauseTarget = Millis(0);
    } },
  { kWarning,
    { kEngines, kEngine, { Field::Slots, {} } },
    [](auto& aTo) { aTo.mServices[1].mEngine->mSlots = 0; } },
  { kWarning,
    { kEngines, kEngine, { Field::KvCacheTokens, {} } },
    [](auto& aTo) { aTo.mServices[1].mEngine->mKvCacheTokens = 0; } },
  { kWarning,
    At(kLimits, Field::MaxBodyBytes),
    [](auto& aTo) { aTo.mLimits.mMaxBodyBytes = 0; } },
  { kWarning,
    At(kLimits, Field::IdleTimeout),
    [](auto& aTo) { aTo.mLimits.mIdleTimeout = Millis(2999); } },
};

auto
Changes() -> std::vector<Change>
{
  auto changes = kErrors;
  changes.insert(changes.end(), kWarnings.begin(), kWarnings.end());
  return changes;
}

auto
HasErrors(const RoutingFindings& aFindings) -> bool
{
  return std::any_of(aFindings.begin(), aFindings.end(), [](const auto& aItem) {
    return aItem.mSeverity == FindingSeverity::Error;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutingCheckTests)

BOOST_AUTO_TEST_CASE(AValidDocumentHasNoFindings)
{
  BOOST_TEST(CheckDocument(MakeDocument()).empty());
  BOOST_TEST(CompareDocuments(MakeDocument(), MakeDocument()).empty());
}

// Guards against a rule that is missing, reports another place, or also reports
// something that is correct.
BOOST_AUTO_TEST_CASE(EachFaultIsFoundAtItsPlaceAndNothingElse)
{
  const auto changes = Changes();
  for (auto i = std::size_t{ 0 }; i < changes.size(); ++i) {
    auto document = MakeDocument();
    changes[i].mApply(document);

    const auto findings = CheckDocument(document);

    BOOST_TEST_CONTEXT("change " << i)
    {
      BOOST_TEST(findings.size() == 1U);
      BOOST_REQUIRE(!findings.empty());
      BOOST_TEST((findings[0].mSeverity == changes[i].mSeverity));
      BOOST_TEST((findings[0].mPath == changes[i].mPath));
    }
  }
}

// Guards against a document that passes this check and is refused when it is
// published. Version 0 is refused by the control log, not by the validation.
BOOST_AUTO_TEST_CASE(ErrorsAreWhatPublishingRefuses)
{
  for (const auto& change : Changes()) {
    auto document = MakeDocument();
    change.mApply(document);
    const auto isRefused =
      document.mVersion == 0 || !IsEmpty(CheckRoutingDocument(document));

    BOOST_TEST(HasErrors(CheckDocument(document)) == isRefused);
  }
}

BOOST_AUTO_TEST_CASE(AnAccountWithoutKeysMayUsePublicRoutes)
{
  auto document = MakeDocument();
  document.mAccounts->at(1).mKeys.clear();
  document.mRoutes[0].mIsPublic = true;

  BOOST_TEST(CheckDocument(document).empty());
}

// Guards against a list of accounts whose last entry is taken away unnoticed.
BOOST_AUTO_TEST_CASE(ChangesThatOpenOrCloseAllRoutesAreNamed)
{
  auto empty = MakeDocument();
  empty.mVersion = 4;
  empty.mAccounts->clear();
  auto absent = empty;
  absent.mAccounts.reset();
  const auto says = [](const RoutingFindings& aFindings,
                       std::string_view aText) {
    return std::any_of(
      aFindings.begin(), aFindings.end(), [&](const auto& aItem) {
        return aItem.mProblem.find(aText) != std::string::npos;
      });
  };

  BOOST_TEST(says(CheckDocument(empty), "no key is accepted"));
  BOOST_TEST(CheckDocument(absent).empty());
  auto isPublic = empty;
  isPublic.mRoutes[0].mIsPublic = true;
  BOOST_TEST(CheckDocument(isPublic).empty());
  BOOST_TEST(says(CompareDocuments(MakeDocument(), absent), "open without"));
  BOOST_TEST(says(CompareDocuments(absent, empty), "now need a key"));
  BOOST_TEST(!says(CompareDocuments(MakeDocument(), empty), "open without"));
}

// Guards against warnings about the lowest values that are consistent.
BOOST_AUTO_TEST_CASE(LimitsAtTheirBoundsHaveNoFindings)
{
  auto document = MakeDocument();
  document.mLimits.mIdleTimeout = document.mLimits.mHeaderTimeout;
  document.mLimits.mMaxBodyBytes = 1;
  document.mRoutes[0].mAnswerTarget = document.mRoutes[0].mTimeout - Millis(1);
  document.mServices[1].mEngine->mSlots = 1;
  document.mServices[1].mEngine->mKvCacheTokens = 1;

  BOOST_TEST(CheckDocument(document).empty());
}

BOOST_AUTO_TEST_CASE(EntriesThatWereAddedOrRemovedAreNamed)
{
  const auto inForce = MakeDocument();
  auto next = inForce;
  next.mVersion = 4;
  next.mRoutes[0].mName = "r2";
  std::reverse(next.mServices.begin(), next.mServices.end());
  next.mAccounts->pop_back();

  const auto findings = CompareDocuments(inForce, next);

  constexpr auto kDifference = FindingSeverity::Difference;
  const auto expected = RoutingFindings{
    { kDifference, { { Field::Routes, 0 } }, "r2 added", "" },
    { kDifference, { { Field::Routes, {} } }, "r0 removed", "" },
    { kDifference, { { Field::Accounts, {} } }, "dubbing removed", "" },
  };
  BOOST_TEST((findings == expected));
}

// Guards against changes of one of several routes of the same name that are
// compared with the wrong one, or not at all.
BOOST_AUTO_TEST_CASE(RoutesOfTheSameNameAreComparedInTheirOrder)
{
  auto inForce = MakeDocument();
  inForce.mRoutes[1].mName = "r0";
  auto next = inForce;
  next.mVersion = 4;
  next.mRoutes[1].mPriority = 5;

  const auto findings = CompareDocuments(inForce, next);

  BOOST_REQUIRE(findings.size() == 1U);
  BOOST_TEST((findings[0].mPath == At(kRoute, Field::Priority)));
  BOOST_TEST(findings[0].mProblem == "changed from 0 to 5");
}

// Publishing such a document is acknowledged, but it never comes into force.
BOOST_AUTO_TEST_CASE(AChangeWithoutAHigherVersionIsAnError)
{
  const auto inForce = MakeDocument();
  auto next = inForce;
  next.mRoutes[0].mPriority = 1;
  BOOST_TEST(HasErrors(CompareDocuments(inForce, next)));
  next.mVersion = 2;
  BOOST_TEST(HasErrors(CompareDocuments(inForce, next)));
  next.mVersion = 4;
  BOOST_TEST(!HasErrors(CompareDocuments(inForce, next)));
}

// Guards against comparisons of each entry with each other one.
BOOST_AUTO_TEST_CASE(AHugeDocumentIsCheckedInUnderASecond)
{
  const auto inForce = MakeHugeDocument(1700);
  auto next = inForce;
  next.mVersion = 2;
  std::reverse(next.mRoutes.begin(), next.mRoutes.end());
  next.mRoutes.front().mPriority = 1;

  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(CheckDocument(next).empty());
  BOOST_TEST(CompareDocuments(inForce, next).size() == 1U);

  const auto took = std::chrono::steady_clock::now() - start;
  BOOST_TEST((took < std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
