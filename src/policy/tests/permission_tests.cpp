#include "policy/permission.h"

#include "policy/tests/builders.h"

#include <boost/test/unit_test.hpp>

#include <functional>

using namespace cuminslip;

namespace {

struct Case
{
  std::string mName;
  std::function<void(EndpointView&, RequestFacts&, Template&)> mChange;
  Permission mWanted = Permission::Permitted;
};

const auto kCases = std::vector<Case>{
  { "plain", [](auto&, auto&, auto&) {}, Permission::Permitted },
  { "no place named",
    [](auto&, auto&, auto& aForm) { aForm.mRegions.clear(); },
    Permission::RegionNotPermitted },
  { "only a domain named",
    [](auto&, auto&, auto& aForm) {
      aForm.mRegions.clear();
      aForm.mFailureDomains = { { "d1" } };
    },
    Permission::Permitted },
  { "other domain",
    [](auto&, auto&, auto& aForm) { aForm.mFailureDomains = { { "d2" } }; },
    Permission::FailureDomainNotPermitted },
  { "permitted domain of another region",
    [](auto& aView, auto&, auto& aForm) {
      aForm.mFailureDomains = { { "d1" } };
      aView.mRegion = { "r2" };
    },
    Permission::RegionNotPermitted },
  { "other version loaded",
    [](auto& aView, auto&, auto&) { aView.mModels[0].mVersion = { "4" }; },
    Permission::ModelNotLoaded },
  { "prefill engine",
    [](auto& aView, auto&, auto&) { aView.mRole = EngineRole::Prefill; },
    Permission::WrongRole },
  { "leaving",
    [](auto& aView, auto&, auto&) { aView.mState = EndpointState::Leaving; },
    Permission::Leaving },
  { "suspect",
    [](auto& aView, auto&, auto&) { aView.mState = EndpointState::Suspect; },
    Permission::Suspect },
  { "service asked of an engine",
    [](auto&, auto& aRequest, auto&) { aRequest.mService = "booking"; },
    Permission::WrongKind },
  { "service",
    [](auto& aView, auto& aRequest, auto& aForm) {
      aView.mKind = EndpointKind::PlainService;
      aView.mService = "booking";
      aRequest.mService = "booking";
      aForm.mWorkKinds[0].mService = "booking";
    },
    Permission::Permitted },
  { "other service",
    [](auto& aView, auto& aRequest, auto&) {
      aView.mKind = EndpointKind::PlainService;
      aView.mService = "booking";
      aRequest.mService = "claims";
    },
    Permission::WrongKind },
};

} // namespace

BOOST_AUTO_TEST_SUITE(PermissionTests)

BOOST_AUTO_TEST_CASE(ChecksPlaceStateKindAndModel)
{
  for (const auto& item : kCases) {
    BOOST_TEST_CONTEXT(item.mName)
    {
      auto view = MakeEngine("e");
      auto request = MakeRequest(10);
      auto form = MakeTemplate();
      item.mChange(view, request, form);
      BOOST_TEST((CheckPermission(view, request, form) == item.mWanted));
    }
  }
}

BOOST_AUTO_TEST_CASE(RecheckUsesTheTemplateThenInForce)
{
  const auto view = MakeEngine("e");
  const auto request = MakeRequest(10);
  const auto recheck = [&](const Template& aForm) {
    return RecheckPermission(view, request, TemplateInForce{ 2, aForm });
  };
  auto form = MakeTemplate();
  BOOST_TEST((recheck(form) == Permission::Permitted));
  form.mFailureDomains = { { "d2" } };
  BOOST_TEST((recheck(form) == Permission::FailureDomainNotPermitted));
  form = MakeTemplate();
  form.mVersion = { "4" };
  BOOST_TEST((recheck(form) == Permission::ModelNotInForce));
  form = MakeTemplate();
  form.mWorkKinds.clear();
  BOOST_TEST((recheck(form) == Permission::WorkKindNotInForce));
  BOOST_TEST((RecheckPermission(view, request, std::nullopt) ==
              Permission::TemplateWithdrawn));
}

BOOST_AUTO_TEST_SUITE_END()
