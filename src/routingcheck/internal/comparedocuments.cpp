#include "routingcheck/routingcheck.h"

#include "routing/routing.h"

#include <array>
#include <charconv>
#include <map>
#include <set>

namespace cuminslip::routingcheck {

namespace {

using routing::CallerLimits;
using routing::ClientAccount;
using routing::EngineTiming;
using routing::Route;
using routing::RouteKind;
using routing::RoutingDocument;
using routing::Service;

auto
ValueText(const std::string& aValue) -> std::string
{
  return "\"" + aValue + "\"";
}

auto
ValueText(Millis aValue) -> std::string
{
  return std::to_string(aValue.count()) + " ms";
}

auto
ValueText(bool aValue) -> std::string
{
  return aValue ? "true" : "false";
}

auto
ValueText(int aValue) -> std::string
{
  return std::to_string(aValue);
}

auto
ValueText(std::int64_t aValue) -> std::string
{
  return std::to_string(aValue);
}

auto
ValueText(double aValue) -> std::string
{
  // The shortest representation of a double has at most 24 characters.
  auto buf = std::array<char, 32>{};
  const auto result = std::to_chars(buf.begin(), buf.end(), aValue);
  return { buf.begin(), result.ptr };
}

auto
ValueText(const std::optional<int>& aValue) -> std::string
{
  return aValue ? std::to_string(*aValue) : "not set";
}

auto
ValueText(RouteKind aValue) -> std::string
{
  return std::string(routing::ToText(aValue));
}

auto
ValueText(const std::vector<routing::WeightedService>& aValue) -> std::string
{
  auto text = std::string{};
  for (const auto& it : aValue) {
    text += text.empty() ? "" : ", ";
    text += it.mService + " " + std::to_string(it.mWeight);
  }
  return text.empty() ? "empty" : text;
}

/// A member whose values are compared, and printed if they differ.
template<class Item>
struct ComparedField
{
  Field mField;
  bool (*mAreEqual)(const Item&, const Item&);
  std::string (*mText)(const Item&);
};

template<class Item, auto kMember>
constexpr auto
Compared(Field aField) -> ComparedField<Item>
{
  return { aField,
           [](const Item& aLeft, const Item& aRight) {
             return aLeft.*kMember == aRight.*kMember;
           },
           [](const Item& aItem) { return ValueText(aItem.*kMember); } };
}

constexpr auto kRouteFields = std::array{
  Compared<Route, &Route::mHost>(Field::Host),
  Compared<Route, &Route::mPathPrefix>(Field::PathPrefix),
  Compared<Route, &Route::mKind>(Field::Kind),
  Compared<Route, &Route::mTimeout>(Field::Timeout),
  Compared<Route, &Route::mAnswerTarget>(Field::AnswerTarget),
  Compared<Route, &Route::mPauseTarget>(Field::PauseTarget),
  Compared<Route, &Route::mPriority>(Field::Priority),
  Compared<Route, &Route::mServices>(Field::RouteServices),
  Compared<Route, &Route::mMaxAttempts>(Field::MaxAttempts),
  Compared<Route, &Route::mIsPublic>(Field::IsPublic),
  Compared<Route, &Route::mIsResumable>(Field::IsResumable),
};

constexpr auto kServiceFields = std::array{
  Compared<Service, &Service::mHealthPath>(Field::HealthPath),
  Compared<Service, &Service::mMaxConnections>(Field::MaxConnections),
};

constexpr auto kEngineFields = std::array{
  Compared<EngineTiming, &EngineTiming::mSlots>(Field::Slots),
  Compared<EngineTiming, &EngineTiming::mKvCacheTokens>(Field::KvCacheTokens),
  Compared<EngineTiming, &EngineTiming::mStepsPerPass>(Field::StepsPerPass),
  Compared<EngineTiming, &EngineTiming::mStepMillis>(Field::StepMillis),
  Compared<EngineTiming, &EngineTiming::mStepMillisPerDecodingRequest>(
    Field::StepMillisPerDecodingRequest),
  Compared<EngineTiming, &EngineTiming::mStepMillisPerThousandContextTokens>(
    Field::StepMillisPerThousandContextTokens),
  Compared<EngineTiming, &EngineTiming::mPrefilledTokensPerSecond>(
    Field::PrefilledTokensPerSecond),
  Compared<EngineTiming, &EngineTiming::mPrefillMillisPerMillionPairs>(
    Field::PrefillMillisPerMillionPairs),
  Compared<EngineTiming, &EngineTiming::mChunkTokens>(Field::ChunkTokens),
  Compared<EngineTiming, &EngineTiming::mHopMillis>(Field::HopMillis),
  Compared<EngineTiming, &EngineTiming::mReportLag>(Field::ReportLag),
};

constexpr auto kAccountFields = std::array{
  Compared<ClientAccount, &ClientAccount::mPriority>(Field::Priority),
};

constexpr auto kLimitFields = std::array{
  Compared<CallerLimits, &CallerLimits::mMaxHeaderBytes>(Field::MaxHeaderBytes),
  Compared<CallerLimits, &CallerLimits::mMaxBodyBytes>(Field::MaxBodyBytes),
  Compared<CallerLimits, &CallerLimits::mHeaderTimeout>(Field::HeaderTimeout),
  Compared<CallerLimits, &CallerLimits::mIdleTimeout>(Field::IdleTimeout),
};

auto
AddDifference(RoutingFindings& aFindings, Path aPath, std::string aProblem)
  -> void
{
  aFindings.push_back(
    { FindingSeverity::Difference, std::move(aPath), std::move(aProblem), "" });
}

auto
Append(Path aPath, Field aField) -> Path
{
  aPath.push_back({ aField, {} });
  return aPath;
}

template<class Item, std::size_t kCount>
auto
CompareFields(const std::array<ComparedField<Item>, kCount>& aFields,
              const Item& aBefore,
              const Item& aAfter,
              const Path& aPath,
              RoutingFindings& aFindings) -> void
{
  for (const auto& it : aFields) {
    if (!it.mAreEqual(aBefore, aAfter)) {
      AddDifference(aFindings,
                    Append(aPath, it.mField),
                    "changed from " + it.mText(aBefore) + " to " +
                      it.mText(aAfter));
    }
  }
}

auto
CompareItems(const Route& aBefore,
             const Route& aAfter,
             const Path& aPath,
             RoutingFindings& aFindings) -> void
{
  CompareFields(kRouteFields, aBefore, aAfter, aPath, aFindings);
}

auto
CompareItems(const Service& aBefore,
             const Service& aAfter,
             const Path& aPath,
             RoutingFindings& aFindings) -> void
{
  CompareFields(kServiceFields, aBefore, aAfter, aPath, aFindings);
  const auto path = Append(aPath, Field::Engine);
  if (aBefore.mEngine && aAfter.mEngine) {
    CompareFields(
      kEngineFields, *aBefore.mEngine, *aAfter.mEngine, path, aFindings);
  } else if (aBefore.mEngine || aAfter.mEngine) {
    AddDifference(aFindings, path, aAfter.mEngine ? "added" : "removed");
  }
}

auto
CompareItems(const ClientAccount& aBefore,
             const ClientAccount& aAfter,
             const Path& aPath,
             RoutingFindings& aFindings) -> void
{
  CompareFields(kAccountFields, aBefore, aAfter, aPath, aFindings);
  const auto before =
    std::set<std::string>(aBefore.mKeys.begin(), aBefore.mKeys.end());
  const auto after =
    std::set<std::string>(aAfter.mKeys.begin(), aAfter.mKeys.end());
  const auto path = Append(aPath, Field::Keys);
  for (const auto& it : after) {
    if (!before.contains(it)) {
      AddDifference(aFindings, path, "key " + DigestOfKey(it) + " added");
    }
  }
  for (const auto& it : before) {
    if (!after.contains(it)) {
      AddDifference(aFindings, path, "key " + DigestOfKey(it) + " removed");
    }
  }
}

auto
NameOf(const Route& aRoute) -> const std::string&
{
  return aRoute.mName;
}

auto
NameOf(const Service& aService) -> const std::string&
{
  return aService.mName;
}

auto
NameOf(const ClientAccount& aAccount) -> const std::string&
{
  return aAccount.mId.mValue;
}

/// A name and the number of earlier entries with it: the names of routes need
/// not be unique.
using EntryKey = std::pair<std::string, std::size_t>;

template<class Item>
auto
KeysOf(const std::vector<Item>& aItems) -> std::vector<EntryKey>
{
  auto counts = std::map<std::string, std::size_t>{};
  auto keys = std::vector<EntryKey>{};
  for (const auto& it : aItems) {
    keys.emplace_back(NameOf(it), counts[NameOf(it)]++);
  }
  return keys;
}

auto
IndexOf(const std::vector<EntryKey>& aKeys) -> std::map<EntryKey, std::size_t>
{
  auto index = std::map<EntryKey, std::size_t>{};
  for (auto i = std::size_t{ 0 }; i < aKeys.size(); ++i) {
    index.emplace(aKeys[i], i);
  }
  return index;
}

template<class Item>
auto
CompareLists(Field aList,
             const std::vector<Item>& aBefore,
             const std::vector<Item>& aAfter,
             RoutingFindings& aFindings) -> void
{
  const auto before = KeysOf(aBefore);
  const auto after = KeysOf(aAfter);
  const auto indexBefore = IndexOf(before);
  const auto indexAfter = IndexOf(after);
  for (auto i = std::size_t{ 0 }; i < after.size(); ++i) {
    const auto path = Path{ { aList, i } };
    const auto it = indexBefore.find(after[i]);
    if (it == indexBefore.end()) {
      AddDifference(aFindings, path, after[i].first + " added");
    } else {
      CompareItems(aBefore[it->second], aAfter[i], path, aFindings);
    }
  }
  for (const auto& key : before) {
    if (!indexAfter.contains(key)) {
      AddDifference(aFindings, { { aList, {} } }, key.first + " removed");
    }
  }
}

} // namespace

auto
CompareDocuments(const RoutingDocument& aInForce, const RoutingDocument& aNext)
  -> RoutingFindings
{
  auto findings = RoutingFindings{};
  if (aNext.mVersion <= aInForce.mVersion && aNext != aInForce) {
    findings.push_back({ FindingSeverity::Error,
                         { { Field::Version, {} } },
                         "is " + std::to_string(aNext.mVersion) +
                           ", not higher than the version in force",
                         "more than " + std::to_string(aInForce.mVersion) });
  }
  CompareLists(Field::Routes, aInForce.mRoutes, aNext.mRoutes, findings);
  CompareLists(Field::Services, aInForce.mServices, aNext.mServices, findings);
  if (aInForce.mAccounts.has_value() != aNext.mAccounts.has_value()) {
    AddDifference(findings,
                  { { Field::Accounts, {} } },
                  aNext.mAccounts
                    ? "routes that are not public now need a key"
                    : "routes that are not public are now open without a key");
  }
  CompareLists(Field::Accounts,
               routing::AccountsOf(aInForce),
               routing::AccountsOf(aNext),
               findings);
  CompareFields(kLimitFields,
                aInForce.mLimits,
                aNext.mLimits,
                { { Field::Limits, {} } },
                findings);
  return findings;
}

} // namespace cuminslip::routingcheck
