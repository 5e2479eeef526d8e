#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cuminslip::requests {

/// How a non-idempotent run was answered, as kept with its claim.
struct RunRecord
{
  int mStatus = 200;
  std::string mContentType;
  /// Text of a model's answer, or body of a service's.
  std::string mBody;
  /// Finish reason of a model's answer.
  std::string mReason;
  /// False when the answer was too large to be kept.
  bool mIsWhole = true;

  auto operator==(const RunRecord&) const -> bool = default;
};

auto
EncodeRunRecord(const RunRecord& aRecord) -> std::string;

/// No value when the text is not a record.
auto
DecodeRunRecord(std::string_view aText) -> std::optional<RunRecord>;

} // namespace cuminslip::requests
