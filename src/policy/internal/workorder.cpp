#include "policy/workorder.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace cuminslip {

namespace {

auto
ToMillis(Millis aTime) -> double
{
  return static_cast<double>(aTime.count());
}

/// Sorts prompts; the lowest comes first.
struct WorkKey
{
  int mPriority = 0;
  bool mIsOverShare = false;
  bool mIsUnpromoted = false;
  bool mIsLate = false;
  /// Negative, so that the greatest loss comes first.
  double mLossPerMilli = 0;
  Millis mAllowance{ 0 };
  std::uint64_t mId = 0;

  auto operator<=>(const WorkKey&) const = default;
};

/// The work of each account that has any. The keys refer to the accounts of the
/// prompts and of the context.
using AccountLoads = std::unordered_map<std::string_view, double>;

auto
SumByAccount(std::span<const WaitingPrompt> aPrompts,
             const WorkContext& aContext) -> AccountLoads
{
  auto loads = AccountLoads{};
  for (const auto& it : aPrompts) {
    loads[it.mAccount.mValue] += it.mEngineMillis;
  }
  for (const auto& it : aContext.mRunning) {
    loads[it.mAccount.mValue] += it.mEngineMillis;
  }
  return loads;
}

/// Keeps the accounts with more than their share of the work.
auto
ListOverShare(std::span<const WaitingPrompt> aPrompts,
              const WorkOrderRules& aRules,
              const WorkContext& aContext) -> AccountLoads
{
  auto loads = SumByAccount(aPrompts, aContext);
  auto sum = 0.0;
  for (const auto& [account, load] : loads) {
    sum += load;
  }
  const auto limit =
    sum * aRules.mMaxAccountShare / static_cast<double>(loads.size());
  std::erase_if(loads,
                [&](const auto& aItem) { return aItem.second <= limit; });
  return loads;
}

auto
ValueOf(const WaitingPrompt& aPrompt, const WorkOrderRules& aRules) -> double
{
  return std::max(1.0,
                  static_cast<double>(aPrompt.mTokens) /
                    std::max(aRules.mTokensPerValue, 1.0));
}

auto
MakeKey(const WaitingPrompt& aPrompt,
        const AccountLoads& aOverShare,
        const WorkOrderRules& aRules,
        const WorkContext& aContext) -> WorkKey
{
  const auto prefill = SharedPrefillMillis(aPrompt, aContext.mEngines, aRules);
  const auto untilStart = ToMillis(aPrompt.mAllowance) - prefill;
  const auto slack =
    ToMillis(aPrompt.mAnswerTarget - aPrompt.mWaited) - prefill;
  const auto isNear = [&](double aMillis) {
    return aMillis >= 0 && aMillis <= ToMillis(aRules.mPromotionTime);
  };
  const auto isPromoted = isNear(untilStart) || isNear(slack);
  const auto isLate =
    ToMillis(aPrompt.mWaited) + prefill > ToMillis(aPrompt.mAnswerTarget);
  const auto loss = ValueOf(aPrompt, aRules) *
                    (isLate ? 1 - aRules.mLateLoss : aRules.mLateLoss);
  return { aPrompt.mPriority,
           !aOverShare.empty() && aOverShare.contains(aPrompt.mAccount.mValue),
           !isPromoted,
           isLate,
           -loss / std::max(aPrompt.mEngineMillis, 1.0),
           aPrompt.mAllowance,
           aPrompt.mId };
}

/// Returns a time within the bounds of Retry-After.
auto
BoundRetry(const WaitingPrompt& aPrompt,
           double aMillis,
           const WorkOrderRules& aRules,
           double aDraw) -> Millis
{
  const auto most = std::max(ToMillis(aPrompt.mAllowance), 0.0) *
                    aRules.mMaxRetryShare / (1 + aRules.mRetrySpread);
  const auto time =
    std::min(std::max(aMillis, ToMillis(aRules.mMinRetry)), most);
  return Millis(std::llround(time * (1 + aRules.mRetrySpread * aDraw)));
}

} // namespace

auto
SharedPrefillMillis(const WaitingPrompt& aPrompt,
                    double aEngines,
                    const WorkOrderRules& aRules) -> double
{
  const auto parts = std::floor(aPrompt.mEngineMillis /
                                std::max(ToMillis(aRules.mMinPartTime), 1.0));
  const auto readers = std::max(
    std::min({ parts, static_cast<double>(aRules.mMaxReaders), aEngines }),
    1.0);
  return aPrompt.mEngineMillis / readers;
}

auto
CanMeetTarget(const WaitingPrompt& aPrompt,
              double aEngines,
              const WorkOrderRules& aRules) -> bool
{
  return ToMillis(aPrompt.mWaited) +
           SharedPrefillMillis(aPrompt, aEngines, aRules) <=
         ToMillis(aPrompt.mAnswerTarget);
}

auto
OrderWork(std::span<const WaitingPrompt> aPrompts,
          const WorkOrderRules& aRules,
          const WorkContext& aContext) -> std::vector<std::size_t>
{
  const auto overShare = ListOverShare(aPrompts, aRules, aContext);
  auto keys = std::vector<std::pair<WorkKey, std::size_t>>{};
  keys.reserve(aPrompts.size());
  for (auto i = std::size_t{ 0 }; i < aPrompts.size(); ++i) {
    keys.emplace_back(MakeKey(aPrompts[i], overShare, aRules, aContext), i);
  }
  std::sort(keys.begin(), keys.end());
  auto order = std::vector<std::size_t>{};
  order.reserve(keys.size());
  for (const auto& [key, i] : keys) {
    order.push_back(i);
  }
  return order;
}

auto
QueueOf(std::span<const WaitingPrompt> aPrompts,
        std::size_t aPosition,
        const WorkOrderRules& aRules,
        const WorkContext& aContext) -> OwnQueue
{
  const auto overShare = ListOverShare(aPrompts, aRules, aContext);
  const auto own = MakeKey(aPrompts[aPosition], overShare, aRules, aContext);
  auto queue = OwnQueue{};
  for (const auto& it : aPrompts) {
    const auto isSame = it.mPriority == own.mPriority;
    const auto ahead =
      MakeKey(it, overShare, aRules, aContext) < own ? it.mEngineMillis : 0.0;
    queue.mAheadMillis += ahead;
    queue.mSameAheadMillis += isSame ? ahead : 0;
    queue.mSameMillis += isSame ? it.mEngineMillis : 0;
  }
  return queue;
}

auto
StatedPriority(int aPriority) -> std::size_t
{
  return std::min(static_cast<std::size_t>(std::max(aPriority, 0)),
                  kStatedPriorities - 1);
}

auto
WorkAheadElsewhere(std::span<const double> aWaitingMillis,
                   const WaitingPrompt& aPrompt,
                   const OwnQueue& aQueue) -> double
{
  const auto own = StatedPriority(aPrompt.mPriority);
  const auto fraction =
    (aQueue.mSameAheadMillis + aPrompt.mEngineMillis / 2) /
    std::max(aQueue.mSameMillis, std::max(aPrompt.mEngineMillis, 1.0));
  auto sum = 0.0;
  for (auto i = std::size_t{ 0 }; i <= own && i < aWaitingMillis.size(); ++i) {
    sum += aWaitingMillis[i] * (i < own ? 1.0 : std::min(fraction, 1.0));
  }
  return sum;
}

auto
ToText(WaitVerdict aVerdict) -> std::string_view
{
  switch (aVerdict) {
    case WaitVerdict::Wait:
      return "wait";
    case WaitVerdict::Refuse:
      return "refuse";
  }
  return "unknown";
}

auto
DecideWait(const WaitingPrompt& aPrompt,
           const RoomForecast& aForecast,
           const WorkOrderRules& aRules,
           double aDraw) -> WaitDecision
{
  const auto prefill = SharedPrefillMillis(aPrompt, aForecast.mEngines, aRules);
  const auto left = ToMillis(aPrompt.mAllowance);
  const auto start = aForecast.mBusyMillis +
                     aForecast.mAheadMillis / std::max(aForecast.mEngines, 1.0);
  const auto startBy = left * (1 + aRules.mOverrunShare) - prefill;
  const auto canBeServed = prefill <= left;
  if (aPrompt.mIsReturned ? canBeServed : start <= startBy) {
    return { WaitVerdict::Wait, Millis(0), startBy };
  }
  return { WaitVerdict::Refuse,
           BoundRetry(aPrompt, start, aRules, aDraw),
           aPrompt.mIsReturned ? left - prefill : startBy };
}

auto
UrgencyOf(const WaitingPrompt& aPrompt,
          bool aIsShort,
          double aEngines,
          const WorkOrderRules& aRules) -> int
{
  constexpr auto kShortInTime = 3;
  constexpr auto kLate = 7;
  if (!CanMeetTarget(aPrompt, aEngines, aRules)) {
    return kLate;
  }
  return aIsShort ? kShortInTime : kDefaultUrgency;
}

} // namespace cuminslip
