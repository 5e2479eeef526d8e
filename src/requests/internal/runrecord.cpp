#include "requests/internal/runrecord.h"

#include <boost/json.hpp>

namespace cuminslip::requests {

namespace {

namespace json = boost::json;

auto
TextOf(const json::object& aObject, std::string_view aKey) -> std::string
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->as_string());
}

} // namespace

auto
EncodeRunRecord(const RunRecord& aRecord) -> std::string
{
  return json::serialize(json::object{ { "status", aRecord.mStatus },
                                       { "type", aRecord.mContentType },
                                       { "body", aRecord.mBody },
                                       { "reason", aRecord.mReason },
                                       { "whole", aRecord.mIsWhole } });
}

auto
DecodeRunRecord(std::string_view aText) -> std::optional<RunRecord>
{
  auto ec = json::error_code{};
  const auto value = json::parse(aText, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  const auto& object = value.as_object();
  const auto* status = object.if_contains("status");
  const auto* isWhole = object.if_contains("whole");
  if (status == nullptr || !status->is_int64() || isWhole == nullptr ||
      !isWhole->is_bool()) {
    return std::nullopt;
  }
  return RunRecord{ static_cast<int>(status->as_int64()),
                    TextOf(object, "type"),
                    TextOf(object, "body"),
                    TextOf(object, "reason"),
                    isWhole->as_bool() };
}

} // namespace cuminslip::requests
