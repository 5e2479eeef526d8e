#include "templates/templates.h"

#include "documents/units.h"
#include "templates/internal/priorities.h"

#include <yaml-cpp/yaml.h>

namespace cuminslip {

namespace {

template<class IdType>
auto
EmitIds(YAML::Emitter& aOut, const char* aKey, const std::vector<IdType>& aIds)
  -> void
{
  aOut << YAML::Key << aKey << YAML::Value << YAML::Flow << YAML::BeginSeq;
  for (const auto& id : aIds) {
    aOut << YAML::DoubleQuoted << id.mValue;
  }
  aOut << YAML::EndSeq;
}

auto
EmitText(YAML::Emitter& aOut, const char* aKey, const std::string& aText)
  -> void
{
  aOut << YAML::Key << aKey << YAML::Value << YAML::DoubleQuoted << aText;
}

template<class T>
auto
EmitValue(YAML::Emitter& aOut, const char* aKey, const T& aValue) -> void
{
  aOut << YAML::Key << aKey << YAML::Value << aValue;
}

auto
EmitWorkKind(YAML::Emitter& aOut, const WorkKind& aKind) -> void
{
  using documents::FormatDuration;
  aOut << YAML::BeginMap;
  EmitText(aOut, "name", aKind.mName.mValue);
  EmitValue(aOut,
            "priority",
            documents::NameOf(aKind.mPriority, templates::kPriorityChoices));
  EmitValue(aOut, "deadline", FormatDuration(aKind.mDeadline));
  EmitValue(aOut, "queue_time", FormatDuration(aKind.mQueueTime));
  EmitValue(aOut, "first_token", FormatDuration(aKind.mFirstTokenTarget));
  EmitValue(aOut, "idempotent", aKind.mIsIdempotent);
  EmitValue(aOut, "value", aKind.mValue);
  if (aKind.mService) {
    EmitText(aOut, "service", *aKind.mService);
  }
  aOut << YAML::EndMap;
}

auto
EmitLengthClass(YAML::Emitter& aOut, const LengthClass& aClass) -> void
{
  aOut << YAML::Flow << YAML::BeginMap;
  EmitText(aOut, "name", aClass.mName);
  EmitValue(aOut, "max_tokens", aClass.mMaxTokens);
  aOut << YAML::EndMap;
}

auto
EmitLimits(YAML::Emitter& aOut, const AccountLimits& aLimits) -> void
{
  aOut << YAML::Key << "limits" << YAML::Value << YAML::BeginMap;
  EmitValue(aOut, "tokens_per_second", aLimits.mTokensPerSecond);
  EmitValue(aOut, "burst_tokens", aLimits.mBurstTokens);
  EmitValue(aOut, "waiting_requests", aLimits.mMaxWaitingRequests);
  EmitValue(
    aOut, "waiting_bytes", documents::FormatBytes(aLimits.mMaxWaitingBytes));
  EmitValue(aOut, "weight", aLimits.mWeight);
  aOut << YAML::EndMap;
}

auto
EmitIsolation(YAML::Emitter& aOut, const IsolationRule& aRule) -> void
{
  aOut << YAML::Key << "isolation" << YAML::Value << YAML::BeginMap;
  EmitValue(aOut, "may_serve", aRule.mMayServe);
  EmitValue(aOut, "longest", documents::FormatDuration(aRule.mLongest));
  aOut << YAML::EndMap;
}

} // namespace

auto
FormatTemplate(const Template& aTemplate) -> std::string
{
  auto out = YAML::Emitter{};
  out << YAML::BeginMap;
  EmitText(out, "account", aTemplate.mAccount.mValue);
  EmitIds(out, "failure_domains", aTemplate.mFailureDomains);
  EmitIds(out, "regions", aTemplate.mRegions);
  if (!aTemplate.mModel.mValue.empty()) {
    EmitText(out, "model", aTemplate.mModel.mValue);
  }
  if (!aTemplate.mVersion.mValue.empty()) {
    EmitText(out, "version", aTemplate.mVersion.mValue);
  }
  out << YAML::Key << "work_kinds" << YAML::Value << YAML::BeginSeq;
  for (const auto& kind : aTemplate.mWorkKinds) {
    EmitWorkKind(out, kind);
  }
  out << YAML::EndSeq;
  out << YAML::Key << "length_classes" << YAML::Value << YAML::BeginSeq;
  for (const auto& lengthClass : aTemplate.mLengthClasses) {
    EmitLengthClass(out, lengthClass);
  }
  out << YAML::EndSeq;
  EmitLimits(out, aTemplate.mLimits);
  EmitIsolation(out, aTemplate.mIsolation);
  out << YAML::EndMap << YAML::Newline;
  return out.c_str();
}

} // namespace cuminslip
