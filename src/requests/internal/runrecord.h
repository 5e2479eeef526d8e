#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cuminslip::requests {

/// Answer of a non-idempotent run, as recorded with its claim.
struct RunRecord
{
  int mStatus = 200;
  std::string mContentType;
  /// Text of a model's answer, or body of a service's response.
  std::string mBody;
  /// Finish reason of a model's answer.
  std::string mReason;
  /// False if the answer was too large to be recorded.
  bool mIsWhole = true;

  auto operator==(const RunRecord&) const -> bool = default;
};

auto
EncodeRunRecord(const RunRecord& aRecord) -> std::string;

/// Returns no value if the text is not a valid record.
auto
DecodeRunRecord(std::string_view aText) -> std::optional<RunRecord>;

} // namespace cuminslip::requests
