#include "policy/enginelanes.h"

#include "policy/passmodel.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cuminslip {

namespace {

using routing::EngineTiming;

constexpr auto kNever = std::numeric_limits<double>::infinity();

auto
ToMillis(Millis aTime) -> double
{
  return static_cast<double>(aTime.count());
}

/// Positions of the usable engines in the shared order.
auto
OrderUsable(std::span<const EngineCandidate> aEngines)
  -> std::vector<std::size_t>
{
  auto order = std::vector<std::size_t>{};
  for (auto i = std::size_t{ 0 }; i < aEngines.size(); ++i) {
    if (aEngines[i].mIsUsable) {
      order.push_back(i);
    }
  }
  std::sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aEngines[aLeft].mOrder < aEngines[aRight].mOrder;
  });
  return order;
}

auto
ShortStreams(const EngineWork& aWork) -> std::int64_t
{
  return std::max<std::int64_t>(aWork.mStreams - aWork.mLongStreams, 0);
}

/// Number of engines that the short prompts under way and this one need.
auto
CountPacked(const EngineTiming& aTiming,
            std::span<const EngineCandidate> aEngines,
            std::size_t aUsable,
            const LaneRules& aRules) -> std::size_t
{
  auto streams = std::int64_t{ 1 };
  for (const auto& it : aEngines) {
    streams += ShortStreams(it.mWork);
  }
  const auto each =
    std::max(1.0, static_cast<double>(aTiming.mSlots) * aRules.mPackShare);
  const auto needed = std::ceil(static_cast<double>(streams) / each);
  return std::min(static_cast<std::size_t>(needed), aUsable);
}

/// Time to the first event on one engine; waits for a slot where all are taken.
auto
FirstEventMillis(const EngineTiming& aTiming,
                 const EngineCandidate& aEngine,
                 double aReadMillis) -> double
{
  const auto& work = aEngine.mWork;
  const auto pass = PassMillis(aTiming, work.mStreams + 1, work.mContextTokens);
  const auto over = work.mStreams + 1 - aTiming.mSlots;
  const auto wait = over > 0 ? static_cast<double>(over) * pass * 2 : 0.0;
  return (work.mReadMillis + aReadMillis + pass + wait) * aEngine.mPace;
}

/// The engine of aPlaces with the earliest first event; near ones, then those
/// first in aPlaces, where times are alike.
auto
FindEarliest(const EngineTiming& aTiming,
             std::span<const EngineCandidate> aEngines,
             std::span<const std::size_t> aPlaces,
             double aReadMillis,
             const LaneRules& aRules) -> std::pair<std::size_t, double>
{
  auto best = std::pair{ aPlaces.front(), kNever };
  for (const auto i : aPlaces) {
    const auto distance = aEngines[i].mIsNear ? 0.0 : ToMillis(aRules.mTie);
    const auto time =
      FirstEventMillis(aTiming, aEngines[i], aReadMillis) + distance;
    if (time < best.second) {
      best = { i, time };
    }
  }
  return best;
}

auto
PlaceShort(const EngineTiming& aTiming,
           const PromptWork& aPrompt,
           std::span<const EngineCandidate> aEngines,
           const LaneRules& aRules) -> LaneChoice
{
  auto order = OrderUsable(aEngines);
  const auto read = ReadMillis(aTiming, aPrompt.mPromptTokens);
  const auto packed = CountPacked(aTiming, aEngines, order.size(), aRules);
  const auto places = std::span(order);
  const auto [inside, insideTime] = FindEarliest(
    aTiming, aEngines, places.last(packed), read, aRules);
  if (insideTime <= ToMillis(aPrompt.mAnswerTarget) ||
      packed == order.size()) {
    return { inside, {}, LaneReason::Packed, insideTime };
  }
  const auto [any, anyTime] =
    FindEarliest(aTiming, aEngines, places, read, aRules);
  return { any, {}, LaneReason::Spilled, anyTime };
}

/// Readers with which reading takes no more than its share of the target.
auto
CountReaders(const EngineTiming& aTiming,
             const PromptWork& aPrompt,
             const LaneRules& aRules) -> std::size_t
{
  const auto read = ReadMillis(aTiming, aPrompt.mPromptTokens);
  const auto limit = ToMillis(aPrompt.mAnswerTarget) * aRules.mReadShare;
  const auto wanted = std::ceil(read / std::max(limit, 1.0));
  return std::clamp(
    static_cast<std::size_t>(wanted), std::size_t{ 1 }, aRules.mMaxReaders);
}

auto
PlaceLong(const EngineTiming& aTiming,
          const PromptWork& aPrompt,
          std::span<const EngineCandidate> aEngines,
          const LaneRules& aRules) -> LaneChoice
{
  auto order = OrderUsable(aEngines);
  const auto packed =
    CountPacked(aTiming, aEngines, order.size() - 1, aRules);
  const auto lane = std::span(order).first(order.size() - packed);
  const auto read = ReadMillis(aTiming, aPrompt.mPromptTokens);
  auto idle = std::vector<std::size_t>{};
  for (const auto i : lane) {
    if (aEngines[i].mWork.mStreams == 0 && aEngines[i].mWork.mReadMillis <= 0) {
      idle.push_back(i);
    }
  }
  if (idle.empty()) {
    const auto [engine, time] =
      FindEarliest(aTiming, aEngines, lane, read, aRules);
    return { engine, {}, LaneReason::Queued, time };
  }
  std::stable_sort(idle.begin(), idle.end(), [&](auto aLeft, auto aRight) {
    return aEngines[aLeft].mIsNear > aEngines[aRight].mIsNear;
  });
  const auto readers =
    std::min(CountReaders(aTiming, aPrompt, aRules), idle.size());
  auto choice = LaneChoice{ idle.front(), {}, LaneReason::Idle, 0 };
  choice.mHelpers.assign(
    idle.begin() + 1, idle.begin() + static_cast<std::ptrdiff_t>(readers));
  choice.mFirstEventMillis =
    FirstEventMillis(aTiming,
                     aEngines[idle.front()],
                     read / static_cast<double>(readers));
  return choice;
}

} // namespace

auto
AddWork(const EngineWork& aLeft, const EngineWork& aRight) -> EngineWork
{
  return { aLeft.mStreams + aRight.mStreams,
           aLeft.mContextTokens + aRight.mContextTokens,
           std::max(aLeft.mReadMillis, aRight.mReadMillis),
           aLeft.mLongStreams + aRight.mLongStreams };
}

auto
ToText(LaneReason aReason) -> std::string_view
{
  switch (aReason) {
    case LaneReason::Packed:
      return "packed";
    case LaneReason::Spilled:
      return "spilled";
    case LaneReason::Idle:
      return "idle";
    case LaneReason::Queued:
      return "queued";
    case LaneReason::None:
      return "none";
    case LaneReason::TooLarge:
      return "too_large";
  }
  return "unknown";
}

auto
IsLongPrompt(const EngineTiming& aTiming, const PromptWork& aPrompt) -> bool
{
  const auto pause = ReadMillis(aTiming, aPrompt.mPromptTokens) +
                     PassMillis(aTiming, 1, aPrompt.mPromptTokens);
  return pause > ToMillis(aPrompt.mStrictestPause);
}

auto
ChooseEngines(const EngineTiming& aTiming,
              const PromptWork& aPrompt,
              std::span<const EngineCandidate> aEngines,
              const LaneRules& aRules) -> LaneChoice
{
  const auto hasUsable =
    std::any_of(aEngines.begin(), aEngines.end(), [](const auto& aItem) {
      return aItem.mIsUsable;
    });
  if (!hasUsable) {
    return {};
  }
  if (aPrompt.mPromptTokens > aTiming.mMemoryTokens) {
    return { {}, {}, LaneReason::TooLarge, 0 };
  }
  return IsLongPrompt(aTiming, aPrompt)
           ? PlaceLong(aTiming, aPrompt, aEngines, aRules)
           : PlaceShort(aTiming, aPrompt, aEngines, aRules);
}

} // namespace cuminslip
