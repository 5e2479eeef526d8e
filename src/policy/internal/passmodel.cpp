#include "policy/passmodel.h"

#include <algorithm>
#include <cmath>

namespace cuminslip {

auto
PrefillMillis(const routing::EngineTiming& aTiming, std::int64_t aTokens)
  -> double
{
  constexpr auto kMillion = 1e6;
  constexpr auto kMillisPerSecond = 1e3;
  const auto tokens = static_cast<double>(aTokens);
  const auto rate = std::max(aTiming.mPrefilledTokensPerSecond, 1.0);
  const auto pairs = tokens * tokens / 2;
  return tokens / rate * kMillisPerSecond +
         pairs / kMillion * aTiming.mPrefillMillisPerMillionPairs;
}

auto
PassMillis(const routing::EngineTiming& aTiming,
           std::int64_t aWriters,
           std::int64_t aContextTokens) -> double
{
  constexpr auto kThousand = 1e3;
  const auto step =
    aTiming.mStepMillis +
    aTiming.mStepMillisPerDecodingRequest * static_cast<double>(aWriters) +
    aTiming.mStepMillisPerThousandContextTokens *
      static_cast<double>(aContextTokens) / kThousand;
  return step *
         static_cast<double>(std::max<std::int64_t>(aTiming.mStepsPerPass, 1));
}

auto
DecodeMillis(const routing::EngineTiming& aTiming,
             std::int64_t aTokens,
             std::int64_t aWriters,
             std::int64_t aContextTokens) -> double
{
  const auto stride = std::max<std::int64_t>(aTiming.mStepsPerPass, 1);
  const auto passes = (aTokens + stride - 1) / stride;
  return static_cast<double>(passes) *
         PassMillis(aTiming, aWriters + 1, aContextTokens);
}

} // namespace cuminslip
