#pragma once

#include "policy/lanes.h"
#include "policy/types/endpointview.h"
#include "policy/types/requestfacts.h"

#include <string>
#include <vector>

/// Builders of test data for this module.
namespace cuminslip {

inline constexpr auto kTestStart = TimePoint(Seconds(1000));

inline auto
MakeEngine(const std::string& aId, const std::string& aDomain = "d1")
  -> EndpointView
{
  auto view = EndpointView{};
  view.mId = { aId };
  view.mIncarnation = 1;
  view.mFailureDomain = { aDomain };
  view.mRegion = { "r1" };
  view.mModels = { { { "drafter" }, { "3" } } };
  view.mLoad = { 0, 0, 8, 0, 100000, 100000, 10000, 50 };
  return view;
}

inline auto
MakeEngines(std::size_t aCount) -> std::vector<EndpointView>
{
  auto views = std::vector<EndpointView>{};
  for (auto i = std::size_t{ 0 }; i < aCount; ++i) {
    views.push_back(MakeEngine("engine-" + std::to_string(i)));
  }
  return views;
}

inline auto
MakeRequest(std::int64_t aTokens) -> RequestFacts
{
  auto request = RequestFacts{};
  request.mId = { "request" };
  request.mAccount = { "account" };
  request.mKind = { "check" };
  request.mModel = { "drafter" };
  request.mVersion = { "3" };
  request.mPromptTokens = aTokens;
  request.mMaxTokens = 100;
  request.mBodyBytes = aTokens * 4;
  request.mArrived = kTestStart;
  request.mDeadline = kTestStart + Seconds(600);
  return request;
}

inline auto
MakeTemplate() -> Template
{
  auto form = Template{};
  form.mAccount = { "account" };
  form.mRegions = { { "r1" } };
  form.mModel = { "drafter" };
  form.mVersion = { "3" };
  auto kind = WorkKind{};
  kind.mName = { "check" };
  form.mWorkKinds = { kind };
  return form;
}

} // namespace cuminslip
