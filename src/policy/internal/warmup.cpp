#include "policy/warmup.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cuminslip {

namespace {

/// More holders than instances of the largest fleet are of no use.
constexpr auto kMostHolders = 4096.0;

/// Returns the most requests that aHolders, and one that follows one of them,
/// send in a second at a common rate of aRate.
auto
MostInOneSecond(double aRate, double aHolders, double aBurstSeconds) -> double
{
  return aHolders + (1 + aBurstSeconds) * aRate * (aHolders + 1) / aHolders;
}

} // namespace

auto
AllowedPerSecond(const WarmUpBound& aBound) -> double
{
  return aBound.mRate * aBound.mOvershoot + aBound.mSlack;
}

auto
ShareWarmUp(const WarmUpBound& aBound, const LimitRules& aRules) -> WarmUpShares
{
  const auto allowed = AllowedPerSecond(aBound);
  const auto burst = std::chrono::duration<double>(aRules.mBurstTime).count();
  if (allowed <= 1 || aBound.mRate <= 0) {
    return {};
  }
  auto holders = std::clamp(std::ceil(aBound.mRate), 1.0, kMostHolders);
  while (holders > 1 &&
         MostInOneSecond(aBound.mRate, holders, burst) > allowed) {
    holders -= 1;
  }
  // NOTE: one holder has the largest share, and one follows it.
  constexpr auto kFormerAndNext = 2.0;
  const auto most = (allowed - 1) / (kFormerAndNext * (1 + burst));
  const auto rate = holders > 1 ? aBound.mRate : std::min(aBound.mRate, most);
  return { rate, static_cast<std::size_t>(holders) };
}

} // namespace cuminslip
