#include "routingcheck/routingcheck.h"

#include "base/digest.h"
#include "routing/routing.h"

#include <algorithm>
#include <map>
#include <set>

namespace cuminslip::routingcheck {

namespace {

using routing::ClientAccount;
using routing::Route;
using routing::RouteKind;
using routing::RoutingDocument;
using routing::Service;

constexpr auto kDigestDigits = 8;

auto
AddError(RoutingFindings& aFindings,
         Path aPath,
         std::string aProblem,
         std::string aExpected) -> void
{
  aFindings.push_back({ FindingSeverity::Error,
                        std::move(aPath),
                        std::move(aProblem),
                        std::move(aExpected) });
}

auto
AddWarning(RoutingFindings& aFindings,
           Path aPath,
           std::string aProblem,
           std::string aExpected) -> void
{
  aFindings.push_back({ FindingSeverity::Warning,
                        std::move(aPath),
                        std::move(aProblem),
                        std::move(aExpected) });
}

auto
MillisText(Millis aTime) -> std::string
{
  return std::to_string(aTime.count()) + " ms";
}

auto
CheckWeights(const Route& aRoute,
             const PathStep& aStep,
             const std::set<std::string>& aServices,
             RoutingFindings& aFindings) -> void
{
  const auto hasPositive =
    std::any_of(aRoute.mServices.begin(),
                aRoute.mServices.end(),
                [](const auto& aItem) { return aItem.mWeight > 0; });
  if (!hasPositive) {
    AddError(aFindings,
             { aStep, { Field::RouteServices, {} } },
             "no weight is above 0",
             "weights of 0 or more, one above 0");
  }
  for (auto i = std::size_t{ 0 }; i < aRoute.mServices.size(); ++i) {
    const auto& it = aRoute.mServices[i];
    const auto item = PathStep{ Field::RouteServices, i };
    if (it.mWeight < 0) {
      AddError(aFindings,
               { aStep, item, { Field::Weight, {} } },
               "is " + std::to_string(it.mWeight),
               "0 or more");
    }
    if (it.mWeight == 0 && hasPositive) {
      AddWarning(aFindings,
                 { aStep, item, { Field::Weight, {} } },
                 "is 0, so the service gets no requests of this route",
                 "1 or more");
    }
    if (!aServices.contains(it.mService)) {
      AddError(aFindings,
               { aStep, item, { Field::ServiceName, {} } },
               "refers to the unknown service " + it.mService,
               "a service of this document");
    }
  }
}

auto
CheckTimes(const Route& aRoute,
           const PathStep& aStep,
           RoutingFindings& aFindings) -> void
{
  if (aRoute.mTimeout <= Millis(0)) {
    AddError(aFindings,
             { aStep, { Field::Timeout, {} } },
             "is " + MillisText(aRoute.mTimeout),
             "at least 1 ms");
  } else if (aRoute.mTimeout <= aRoute.mAnswerTarget) {
    AddWarning(aFindings,
               { aStep, { Field::Timeout, {} } },
               "is " + MillisText(aRoute.mTimeout) +
                 ", not above the answer target of " +
                 MillisText(aRoute.mAnswerTarget),
               "more than the answer target");
  }
  if (aRoute.mPauseTarget > Millis(0) && aRoute.mKind != RouteKind::Streaming) {
    AddWarning(aFindings,
               { aStep, { Field::PauseTarget, {} } },
               "has no effect, because the route is not streaming",
               "none, or a streaming route");
  }
}

auto
CheckRoute(const Route& aRoute,
           const PathStep& aStep,
           const std::set<std::string>& aServices,
           RoutingFindings& aFindings) -> void
{
  const auto& prefix = aRoute.mPathPrefix;
  if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
    AddError(aFindings,
             { aStep, { Field::PathPrefix, {} } },
             "is \"" + prefix + "\"",
             "/ at both ends");
  }
  CheckTimes(aRoute, aStep, aFindings);
  CheckWeights(aRoute, aStep, aServices, aFindings);
  if (aRoute.mMaxAttempts < 1) {
    AddError(aFindings,
             { aStep, { Field::MaxAttempts, {} } },
             "is " + std::to_string(aRoute.mMaxAttempts),
             "at least 1");
  }
  if (aRoute.mMaxAttempts > 1 && aRoute.mKind == RouteKind::NonIdempotent) {
    AddWarning(aFindings,
               { aStep, { Field::MaxAttempts, {} } },
               "is " + std::to_string(aRoute.mMaxAttempts) +
                 ", but requests of this kind are not repeated",
               "1, or another kind");
  }
}

auto
CheckRoutes(const RoutingDocument& aDocument, RoutingFindings& aFindings)
  -> void
{
  auto services = std::set<std::string>{};
  for (const auto& it : aDocument.mServices) {
    services.insert(it.mName);
  }
  auto locations = std::map<std::pair<std::string, std::string>, std::string>{};
  for (auto i = std::size_t{ 0 }; i < aDocument.mRoutes.size(); ++i) {
    const auto& it = aDocument.mRoutes[i];
    const auto step = PathStep{ Field::Routes, i };
    const auto [other, isNew] =
      locations.insert({ { it.mHost, it.mPathPrefix }, it.mName });
    if (!isNew) {
      AddError(aFindings,
               { step },
               "has the host and path prefix of the route " + other->second,
               "a unique pair of host and path prefix");
    }
    CheckRoute(it, step, services, aFindings);
  }
}

auto
CheckEngine(const routing::EngineTiming& aEngine,
            const PathStep& aStep,
            RoutingFindings& aFindings) -> void
{
  const auto check = [&](Field aField, std::int64_t aValue) {
    if (aValue < 1) {
      AddWarning(aFindings,
                 { aStep, { Field::Engine, {} }, { aField, {} } },
                 "is " + std::to_string(aValue) +
                   ", so the engine can't take a request",
                 "1 or more");
    }
  };
  check(Field::Slots, aEngine.mSlots);
  check(Field::KvCacheTokens, aEngine.mKvCacheTokens);
}

auto
CheckServices(const RoutingDocument& aDocument, RoutingFindings& aFindings)
  -> void
{
  auto used = std::set<std::string>{};
  for (const auto& route : aDocument.mRoutes) {
    for (const auto& it : route.mServices) {
      used.insert(it.mService);
    }
  }
  auto names = std::set<std::string>{};
  for (auto i = std::size_t{ 0 }; i < aDocument.mServices.size(); ++i) {
    const auto& it = aDocument.mServices[i];
    const auto step = PathStep{ Field::Services, i };
    if (it.mName.empty() || !names.insert(it.mName).second) {
      AddError(aFindings,
               { step, { Field::Name, {} } },
               it.mName.empty() ? "is empty"
                                : "is " + it.mName + " for the second time",
               "unique names that are not empty");
    }
    if (!used.contains(it.mName)) {
      AddWarning(aFindings,
                 { step },
                 "no route names the service " + it.mName,
                 "a route that names it");
    }
    if (it.mEngine) {
      CheckEngine(*it.mEngine, step, aFindings);
    }
  }
}

auto
CheckKeys(const ClientAccount& aAccount,
          const PathStep& aStep,
          std::map<std::string, AccountId>& aOwners,
          RoutingFindings& aFindings) -> void
{
  for (auto i = std::size_t{ 0 }; i < aAccount.mKeys.size(); ++i) {
    const auto& key = aAccount.mKeys[i];
    const auto path = Path{ aStep, { Field::Keys, i } };
    if (key.empty()) {
      AddError(aFindings, path, "is empty", "a key");
      continue;
    }
    const auto [owner, isNew] = aOwners.insert({ key, aAccount.mId });
    if (!isNew) {
      AddError(aFindings,
               path,
               "the key " + DigestOfKey(key) +
                 " already belongs to the client account " +
                 owner->second.mValue,
               "each key once");
    }
  }
}

auto
CheckAccounts(const RoutingDocument& aDocument, RoutingFindings& aFindings)
  -> void
{
  const auto needKeys =
    std::none_of(aDocument.mRoutes.begin(),
                 aDocument.mRoutes.end(),
                 [](const auto& aItem) { return aItem.mIsPublic; });
  auto names = std::set<AccountId>{};
  auto owners = std::map<std::string, AccountId>{};
  const auto& accounts = routing::AccountsOf(aDocument);
  if (aDocument.mAccounts && accounts.empty() && needKeys) {
    AddWarning(
      aFindings,
      { { Field::Accounts, {} } },
      "is empty, so that no key is accepted, and every route needs one",
      "at least one client account, or no list");
  }
  for (auto i = std::size_t{ 0 }; i < accounts.size(); ++i) {
    const auto& it = accounts[i];
    const auto step = PathStep{ Field::Accounts, i };
    if (!names.insert(it.mId).second) {
      AddError(aFindings,
               { step, { Field::Name, {} } },
               "is " + it.mId.mValue + " for the second time",
               "each client account once");
    }
    if (it.mKeys.empty() && needKeys) {
      AddWarning(aFindings,
                 { step, { Field::Keys, {} } },
                 "has no key, and every route needs one",
                 "at least one key");
    }
    CheckKeys(it, step, owners, aFindings);
  }
}

auto
CheckLimits(const routing::CallerLimits& aLimits, RoutingFindings& aFindings)
  -> void
{
  const auto limits = PathStep{ Field::Limits, {} };
  if (aLimits.mMaxBodyBytes < 1) {
    AddWarning(aFindings,
               { limits, { Field::MaxBodyBytes, {} } },
               "is " + std::to_string(aLimits.mMaxBodyBytes),
               "1 or more");
  }
  if (aLimits.mIdleTimeout < aLimits.mHeaderTimeout) {
    AddWarning(aFindings,
               { limits, { Field::IdleTimeout, {} } },
               "is " + MillisText(aLimits.mIdleTimeout) +
                 ", below the header timeout of " +
                 MillisText(aLimits.mHeaderTimeout),
               "at least the header timeout");
  }
}

} // namespace

auto
CheckDocument(const RoutingDocument& aDocument) -> RoutingFindings
{
  auto findings = RoutingFindings{};
  if (aDocument.mVersion == 0) {
    AddError(findings, { { Field::Version, {} } }, "is 0", "1 or more");
  }
  CheckRoutes(aDocument, findings);
  CheckServices(aDocument, findings);
  CheckAccounts(aDocument, findings);
  CheckLimits(aDocument.mLimits, findings);
  return findings;
}

auto
DigestOfKey(std::string_view aKey) -> std::string
{
  return Sha256Hex(aKey).substr(0, kDigestDigits);
}

auto
ToText(FindingSeverity aSeverity) -> std::string_view
{
  switch (aSeverity) {
    case FindingSeverity::Error:
      return "error";
    case FindingSeverity::Warning:
      return "warning";
    case FindingSeverity::Difference:
      return "difference";
  }
  return "unknown";
}

} // namespace cuminslip::routingcheck
