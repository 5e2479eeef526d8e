#include "policy/eviction.h"

#include <tuple>

namespace cuminslip {

namespace {

auto
IsSlow(const ClientUse& aClient, const EvictionRules& aRules) -> bool
{
  return aClient.mRecentBytes < aRules.mSlowBytes &&
         aClient.mAge >= aRules.mSlowAfter;
}

/// Higher ranks are closed first; nothing for connections that stay.
using ClosingRank = std::tuple<int, std::int64_t>;

auto
RankForClosing(const ClientUse& aClient, const EvictionRules& aRules)
  -> std::optional<ClosingRank>
{
  const auto age = aClient.mAge.count();
  switch (aClient.mActivity) {
    case ClientActivity::Leaving:
      return ClosingRank{ 3, age };
    case ClientActivity::Idle:
      if (aClient.mHasServed) {
        return ClosingRank{ 1, age };
      }
      return aClient.mAge >= aRules.mSilentAfter
               ? std::optional(ClosingRank{ 2, age })
               : std::nullopt;
    case ClientActivity::Sending:
      return IsSlow(aClient, aRules)
               ? std::optional(ClosingRank{
                   0, -static_cast<std::int64_t>(aClient.mRecentBytes) })
               : std::nullopt;
    case ClientActivity::Waiting:
      break;
  }
  return std::nullopt;
}

/// Bytes x milliseconds; nothing for clients that keep their memory.
auto
RankForRelease(const ClientUse& aClient, const EvictionRules& aRules)
  -> std::optional<double>
{
  const auto isSlowSender =
    aClient.mActivity == ClientActivity::Sending && IsSlow(aClient, aRules);
  const auto hasLeft = aClient.mActivity == ClientActivity::Waiting &&
                       aClient.mRecentBytes == 0 &&
                       aClient.mAge >= aRules.mUnreadAfter;
  if (aClient.mHeldBytes == 0 || (!isSlowSender && !hasLeft)) {
    return std::nullopt;
  }
  return static_cast<double>(aClient.mHeldBytes) *
         static_cast<double>(aClient.mAge.count());
}

template<class Rank>
auto
FindHighest(const std::vector<ClientUse>& aClients, Rank aRank)
  -> std::optional<std::size_t>
{
  auto highest = decltype(aRank(aClients.front())){};
  auto place = std::optional<std::size_t>{};
  for (auto n = std::size_t{ 0 }; n < aClients.size(); ++n) {
    const auto rank = aRank(aClients[n]);
    if (rank && (!highest || *rank > *highest)) {
      highest = rank;
      place = n;
    }
  }
  return place;
}

} // namespace

auto
ChooseToClose(const std::vector<ClientUse>& aClients,
              const EvictionRules& aRules) -> std::optional<std::size_t>
{
  return FindHighest(aClients, [&](const ClientUse& aClient) {
    return RankForClosing(aClient, aRules);
  });
}

auto
ChooseToRelease(const std::vector<ClientUse>& aClients,
                const EvictionRules& aRules) -> std::optional<std::size_t>
{
  return FindHighest(aClients, [&](const ClientUse& aClient) {
    return RankForRelease(aClient, aRules);
  });
}

} // namespace cuminslip
