#include "policy/tokens.h"

namespace cuminslip {

auto
EstimateTokens(std::int64_t aBytes) -> std::int64_t
{
  return (aBytes + kBytesPerToken - 1) / kBytesPerToken;
}

auto
ClassifyLength(std::int64_t aTokens, const std::vector<LengthClass>& aClasses)
  -> std::size_t
{
  for (auto i = std::size_t{ 0 }; i < aClasses.size(); ++i) {
    if (aTokens <= aClasses[i].mMaxTokens) {
      return i;
    }
  }
  return aClasses.empty() ? 0 : aClasses.size() - 1;
}

} // namespace cuminslip
