#include "policy/requestlimits.h"

#include "base/digest.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace cuminslip {

namespace {

auto
IsStricter(const std::optional<double>& aLeft,
           const std::optional<double>& aRight) -> bool
{
  return aLeft && (!aRight || *aLeft < *aRight);
}

auto
CountHolders(double aRate, std::size_t aInstances, const LimitRules& aRules)
  -> std::size_t
{
  const auto whole =
    std::min(std::floor(aRate), static_cast<double>(aInstances));
  return std::clamp(static_cast<std::size_t>(whole) + aRules.mExtraHolders,
                    std::size_t{ 1 },
                    std::max<std::size_t>(aInstances, 1));
}

/// Returns the positions of aInstances in the order in which they become
/// holders: those of the endpoint's failure domain, then the others, each in an
/// order of the endpoint's own (rendezvous hashing).
auto
RankHolders(const LimitedEndpoint& aEndpoint,
            std::span<const directory::EntryInstance> aInstances)
  -> std::vector<std::size_t>
{
  auto ranks = std::vector<std::tuple<bool, std::uint64_t, std::size_t>>{};
  for (auto i = std::size_t{ 0 }; i < aInstances.size(); ++i) {
    ranks.emplace_back(aInstances[i].mFailureDomain != aEndpoint.mFailureDomain,
                       Checksum(aInstances[i].mPeerAddress, aEndpoint.mKey),
                       i);
  }
  std::sort(ranks.begin(), ranks.end());
  auto order = std::vector<std::size_t>{};
  for (const auto& [isFar, rank, i] : ranks) {
    order.push_back(i);
  }
  return order;
}

} // namespace

auto
ApplyAnswer(const RequestLimit& aKnown,
            std::optional<double> aStated,
            bool aIsNewer) -> RequestLimit
{
  const auto isTaken = aIsNewer || IsStricter(aStated, aKnown.mRate);
  if (aStated == aKnown.mRate || !isTaken) {
    return aKnown;
  }
  return { aStated, aKnown.mVersion + 1 };
}

auto
MergeLimits(const RequestLimit& aKnown, const RequestLimit& aReported)
  -> RequestLimit
{
  if (aReported.mVersion != aKnown.mVersion) {
    return aReported.mVersion > aKnown.mVersion ? aReported : aKnown;
  }
  return IsStricter(aReported.mRate, aKnown.mRate) ? aReported : aKnown;
}

auto
ShareOfLimit(const LimitedEndpoint& aEndpoint,
             const std::string& aSelf,
             std::span<const directory::EntryInstance> aInstances,
             const LimitRules& aRules) -> double
{
  auto endpoint = aEndpoint;
  endpoint.mRate = std::max(aEndpoint.mRate, aRules.mMinRate);
  return ShareAmongHolders(
    endpoint,
    CountHolders(endpoint.mRate, aInstances.size(), aRules),
    aSelf,
    aInstances);
}

auto
ShareAmongHolders(const LimitedEndpoint& aEndpoint,
                  std::size_t aHolders,
                  const std::string& aSelf,
                  std::span<const directory::EntryInstance> aInstances)
  -> double
{
  const auto holders = std::min(aHolders, aInstances.size());
  if (holders == 0) {
    return 0;
  }
  auto order = RankHolders(aEndpoint, aInstances);
  const auto isFar = [&](std::size_t aInstance) {
    return aInstances[aInstance].mFailureDomain != aEndpoint.mFailureDomain;
  };
  const auto firstFar = std::find_if(order.begin(), order.end(), isFar);
  const auto last = order.begin() + static_cast<std::ptrdiff_t>(holders) - 1;
  if (holders > 1 && firstFar != order.end() && firstFar > last) {
    std::iter_swap(firstFar, last);
  }
  const auto isHolder =
    std::any_of(order.begin(),
                order.begin() +
                  static_cast<std::ptrdiff_t>(std::min(holders, order.size())),
                [&](auto aInstance) {
                  return aInstances[aInstance].mPeerAddress == aSelf;
                });
  return isHolder ? aEndpoint.mRate / static_cast<double>(holders) : 0.0;
}

auto
Replenish(const SendAllowance& aAllowance,
          double aShare,
          TimePoint aNow,
          const LimitRules& aRules) -> SendAllowance
{
  const auto passed = std::max(
    std::chrono::duration<double>(aNow - aAllowance.mUpdatedAt).count(), 0.0);
  const auto burst = std::chrono::duration<double>(aRules.mBurstTime).count();
  const auto most = 1 + aShare * burst;
  return { std::min(aAllowance.mRequests + passed * aShare, most), aNow };
}

auto
TimeUntilSend(const SendAllowance& aAllowance, double aShare)
  -> std::optional<Millis>
{
  if (aShare <= 0) {
    return std::nullopt;
  }
  constexpr auto kMillisPerSecond = 1e3;
  const auto missing = std::max(1 - aAllowance.mRequests, 0.0);
  return Millis(
    static_cast<std::int64_t>(std::ceil(missing / aShare * kMillisPerSecond)));
}

} // namespace cuminslip
